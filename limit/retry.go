package limit

// retryBurst is the size of a workspace's bucket in retries. It allows a
// workspace with few requests to survive the loss of one group.
const retryBurst = 10

// A RetryBudget is a token bucket for each workspace: a request adds a fraction
// of a token and a retry takes one token, so that retries cannot multiply the
// load while targets are failing. It is not safe for concurrent use.
type RetryBudget struct {
	percent int

	// hundredths holds the tokens of each workspace, in hundredths of a
	// token.
	hundredths map[string]int
}

// NewRetryBudget returns a budget in which every workspace has a full bucket.
// percent is the number of retries for 100 requests.
func NewRetryBudget(percent int) *RetryBudget {
	return &RetryBudget{percent: percent, hundredths: map[string]int{}}
}

// SetPercent changes the number of retries for 100 requests.
func (budget *RetryBudget) SetPercent(percent int) { budget.percent = percent }

// Request counts a request of a workspace.
func (budget *RetryBudget) Request(workspace string) {
	budget.hundredths[workspace] = min(budget.tokens(workspace)+budget.percent, retryBurst*100)
}

// Retry takes a token. It returns false if there is none.
func (budget *RetryBudget) Retry(workspace string) bool {
	tokens := budget.tokens(workspace)
	if tokens < 100 || budget.percent == 0 {
		return false
	}
	budget.hundredths[workspace] = tokens - 100
	return true
}

func (budget *RetryBudget) tokens(workspace string) int {
	tokens, found := budget.hundredths[workspace]
	if !found {
		return retryBurst * 100
	}
	return tokens
}

// Retain drops the buckets of workspaces that keep does not contain.
func (budget *RetryBudget) Retain(keep map[string]bool) {
	for workspace := range budget.hundredths {
		if !keep[workspace] {
			delete(budget.hundredths, workspace)
		}
	}
}
