// Package explanation holds the question where a request would go now, and its answer.
//
// A node answers from the same decision as for a request, without sending one and without
// changing what later requests get. The answer holds for that node and moment: another node has
// other counts, and the choice between targets of equal cost is random.
//
// # Usage
//
//	answer, err := server.Explain(explanation.Question{Path: "/v1/completions", Workspace: "farul"})
//	if err != nil {
//		return err // errors.NotValid: the question names no route or workspace that exists
//	}
//	fmt.Println(answer.Verdict, answer.Target, answer.Reason)
package explanation

import "time"

// A Question describes a request. It contains no key: the workspace stands for it.
type Question struct {
	// Host is the host of the request. Nodes with the operators' folder ignore it.
	Host      string `json:"host,omitempty"`
	Path      string `json:"path"`
	Workspace string `json:"workspace,omitempty"`

	// Model, Tokens and Parts are those of a request with headers for them. Nodes with the
	// operators' folder take the model from the route and ignore the three.
	Model  string `json:"model,omitempty"`
	Tokens int    `json:"tokens,omitempty"`
	Parts  []Part `json:"parts,omitempty"`

	// Prompt is the text of a draft, as it is sent to engines.
	Prompt string `json:"prompt,omitempty"`

	// DeadlineMillis is how long the caller waits, 0 for the route's timeout.
	DeadlineMillis int64 `json:"deadline-ms,omitempty"`
}

// A Part is a part of the prompt.
type Part struct {
	ID     string `json:"id"`
	Tokens int    `json:"tokens,omitempty"`
}

// A Verdict is what happens to the request.
type Verdict string

// The verdicts.
const (
	// VerdictSend means that the request is sent to the target at once.
	VerdictSend Verdict = "send"

	// VerdictWait means that the request waits for a place or a target.
	VerdictWait Verdict = "wait"

	// VerdictRefuse means that the request is refused as not run.
	VerdictRefuse Verdict = "refuse"
)

// An Answer is where the request would go, and why.
type Answer struct {
	Node      string `json:"node"`
	Route     string `json:"route"`
	Service   string `json:"service,omitempty"`
	Model     string `json:"model,omitempty"`
	Workspace string `json:"workspace,omitempty"`

	Verdict Verdict `json:"verdict"`

	// Target is the selected target, empty if there is none.
	Target string `json:"target,omitempty"`
	Reason string `json:"reason"`

	// RetryAfterMillis is what a refusal would tell the caller. It is partly random.
	RetryAfterMillis int64 `json:"retry-after-ms,omitempty"`

	// BoundMillis is the longest forecast of a first event with which the request is sent, 0
	// if there is none.
	BoundMillis int64 `json:"bound-ms,omitempty"`

	// PromptTokens is the number of tokens of which parts may be held, 0 if held prompts are
	// not weighed.
	PromptTokens int         `json:"prompt-tokens,omitempty"`
	Candidates   []Candidate `json:"candidates"`
}

// A Candidate is a target that the decision has looked at.
type Candidate struct {
	Name          string `json:"name"`
	VM            string `json:"vm,omitempty"`
	FailureDomain string `json:"failure-domain"`
	Near          bool   `json:"near"`

	// Excluded is why the target does not get the request, empty if it may, see
	// route.Exclusion.
	Excluded string `json:"excluded,omitempty"`

	// Load is the estimated number of requests there. LoadAgeMillis is the age of the report
	// that it begins with, -1 if there is none.
	Load          int   `json:"load"`
	LoadAgeMillis int64 `json:"load-age-ms"`

	// HeldTokens is the number of tokens of the prompt that it is believed to hold.
	HeldTokens int `json:"held-tokens,omitempty"`

	// ForecastMillis is the predicted time to the first event, 0 without a forecast.
	ForecastMillis int64 `json:"forecast-ms,omitempty"`

	// WeighedMicros is the sum of times by which the holders of the prompt's parts are
	// compared, 0 if the target was not compared.
	WeighedMicros int64 `json:"weighed-us,omitempty"`
}

// Send sets the verdict on a request that is sent to a target.
func (answer *Answer) Send(target, reason string) {
	answer.Verdict, answer.Target, answer.Reason, answer.RetryAfterMillis = VerdictSend, target, reason, 0
}

// Wait sets the verdict on a request that waits.
func (answer *Answer) Wait(reason string) {
	answer.Verdict, answer.Target, answer.Reason, answer.RetryAfterMillis = VerdictWait, "", reason, 0
}

// Refuse sets the verdict on a request that is refused as not run.
func (answer *Answer) Refuse(reason string, retryAfter time.Duration) {
	answer.Verdict, answer.Target, answer.Reason, answer.RetryAfterMillis = VerdictRefuse, "", reason, retryAfter.Milliseconds()
}

// Milliseconds converts an age that may be unknown.
func Milliseconds(age time.Duration, known bool) int64 {
	if !known {
		return -1
	}
	return age.Milliseconds()
}
