package engine

// Report is what a VM's engine says of itself. Identity, epoch and state are
// current; load figures are AgeMillis old.
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
	AgeMillis   int64  `json:"age-ms"`
}

// State is the state of the engine on one VM.
type State string

// The states of an engine.
const (
	StateIdle     State = "idle"
	StateLoading  State = "loading"
	StateReady    State = "ready"
	StateDraining State = "draining"
)

// Action is what an order asks an engine to do.
type Action string

// The actions of an order.
const (
	ActionLoad    Action = "load"
	ActionDrain   Action = "drain"
	ActionRelease Action = "release"
	ActionVersion Action = "version"
)

// Order tells the engine of one VM to change its role.
type Order struct {
	ID string `json:"id"`

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
}

// Generate asks rank 0 of a group for tokens.
type Generate struct {
	Attempt   string `json:"attempt"`
	Group     string `json:"group"`
	Epoch     uint64 `json:"epoch"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max-tokens"`

	// ResumeIndex is the index of the first wanted piece; ResumeText is the
	// text of the pieces before it.
	ResumeIndex int    `json:"resume-index"`
	ResumeText  string `json:"resume-text"`
	Priority    int    `json:"priority"`

	// Sampling is nil when the caller set none of it.
	Sampling *Sampling `json:"sampling,omitempty"`
}

// Sampling are the caller's choices of how tokens are drawn. What is not set
// is left to the engine.
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

	// Done marks the end; Index is then the number of pieces.
	Done bool `json:"done"`
}

// Cancel stops an attempt.
type Cancel struct {
	Attempt string `json:"attempt"`
}
