package policy

const (
	// retryTokensPerResponse is the number of retries that each served request adds to the retry budget.
	retryTokensPerResponse = 0.25
	// maxRetryTokens is the capacity of the retry budget, in retries.
	maxRetryTokens = 4.0
)

// newRetryBudget returns a full retry budget, which limits retries to a fraction of the served requests, as
// in Finagle and Linkerd. Without it, retries would multiply the load just when few requests are served.
func newRetryBudget() *tokenBucket { return newTokenBucket(retryTokensPerResponse, maxRetryTokens) }
