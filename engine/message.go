package engine

import "slices"

// Report is the status report of the engine on a VM. Identity, epoch and state
// are current; the load figures are AgeMillis old.
type Report struct {
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
	Group       string `json:"group"`
	Epoch       uint64 `json:"epoch"`
	Rank        int    `json:"rank"`
	State       State  `json:"state"`
	Model       string `json:"model"`
	Version     string `json:"version"`
	Fence       uint64 `json:"fence"`
	Running     int    `json:"running"`
	Queued      int    `json:"queued"`
	FreeCache   int    `json:"free-cache"`

	// Leaving is true if the answer with the report contained that the engine leaves. The
	// protocol of package engine has no field for it.
	Leaving bool `json:"-"`

	// Closing is true if the engine closes the connection on which it sent the report. An
	// engine that leaves closes each connection after a response, others do so now and then.
	Closing   bool  `json:"-"`
	AgeMillis int64 `json:"age-ms"`

	// Staged lists the models whose weights are preloaded on the VM's host.
	Staged []string `json:"staged,omitempty"`

	// Sequence is the number of orders that the engine has started to execute
	// since its own start.
	Sequence uint64 `json:"sequence,omitempty"`
}

// Same reports whether all fields of the two reports are equal.
func (report Report) Same(other Report) bool {
	if !slices.Equal(report.Staged, other.Staged) {
		return false
	}
	return report.VM == other.VM && report.Incarnation == other.Incarnation &&
		report.Group == other.Group && report.Epoch == other.Epoch && report.Rank == other.Rank &&
		report.State == other.State && report.Model == other.Model && report.Version == other.Version &&
		report.Fence == other.Fence && report.Running == other.Running && report.Queued == other.Queued &&
		report.FreeCache == other.FreeCache && report.AgeMillis == other.AgeMillis && report.Sequence == other.Sequence
}

// State is the state of the engine on one VM.
type State string

// The states of an engine.
const (
	StateIdle     State = "idle"
	StateLoading  State = "loading"
	StateReady    State = "ready"
	StateDraining State = "draining"

	// StateOpen is the state of a rank 0 that accepts requests after an
	// ActionOpen order. The other members of its group stay in StateReady.
	StateOpen State = "open"

	// StateBroken is the state of a rank 0 that abandoned its group because a
	// member is missing.
	StateBroken State = "broken"
)

// Action is the operation that an order requests from an engine.
type Action string

// The actions of an order.
const (
	ActionLoad    Action = "load"
	ActionDrain   Action = "drain"
	ActionRelease Action = "release"
	ActionVersion Action = "version"

	// ActionOpen makes rank 0 of a ready group accept requests.
	ActionOpen Action = "open"

	// ActionClose makes rank 0 stop at once and abort its running requests.
	ActionClose Action = "close"

	// ActionStage preloads a model's weights onto the host of a VM that need
	// not be in a group.
	ActionStage Action = "stage"
)

// Order instructs the engine of one VM to change its role.
type Order struct {
	ID string `json:"id"`

	// VM is the name of the VM that the order is for.
	VM string `json:"vm,omitempty"`

	// Fence is the fencing number of the leader that sent the order.
	Fence           uint64   `json:"fence"`
	ExpiresInMillis int64    `json:"expires-in-ms"`
	Action          Action   `json:"action"`
	Group           string   `json:"group"`
	Epoch           uint64   `json:"epoch"`
	Rank            int      `json:"rank"`
	Size            int      `json:"size"`
	Members         []string `json:"members"`
	Model           string   `json:"model"`
	Version         string   `json:"version"`

	// MemberVMs lists the names of the members' VMs by rank.
	MemberVMs []string `json:"member-vms,omitempty"`

	// ExpectedSequence is the Sequence of the report on which the order is based.
	// Engines that check it refuse the order if they have started another order
	// since that report.
	ExpectedSequence uint64 `json:"expected,omitempty"`
}

// Generate is a request to rank 0 of a group for generated tokens.
type Generate struct {
	Attempt   string `json:"attempt"`
	Group     string `json:"group"`
	Epoch     uint64 `json:"epoch"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max-tokens"`

	// ResumeIndex is the index of the first piece to generate; ResumeText is
	// the text of the pieces before it.
	ResumeIndex int    `json:"resume-index"`
	ResumeText  string `json:"resume-text"`
	Priority    int    `json:"priority"`

	// Sampling is nil when the caller set no sampling parameter.
	Sampling *Sampling `json:"sampling,omitempty"`
}

// Sampling holds the sampling parameters that the caller set. For parameters
// that are not set, the engine uses its own defaults.
type Sampling struct {
	Temperature      *float64 `json:"temperature,omitempty"`
	TopP             *float64 `json:"top-p,omitempty"`
	PresencePenalty  *float64 `json:"presence-penalty,omitempty"`
	FrequencyPenalty *float64 `json:"frequency-penalty,omitempty"`
	Seed             *int64   `json:"seed,omitempty"`
	Stop             []string `json:"stop,omitempty"`
}

// Piece is one event of a generated stream.
type Piece struct {
	Attempt string `json:"attempt"`
	Index   int    `json:"index"`
	Text    string `json:"text"`

	// Done marks the end of the answer; Index is then its number of pieces.
	Done bool `json:"done"`
}

// Cancel is the body of a request to stop an attempt.
type Cancel struct {
	Attempt string `json:"attempt"`
}
