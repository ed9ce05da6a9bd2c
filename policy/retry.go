package policy

const (
	// retryTokensPerResponse is what each served request adds to the retry budget, in attempts.
	retryTokensPerResponse = 0.25
	// maxRetryTokens bounds the retry budget, in attempts.
	maxRetryTokens = 4.0
)

// newRetryBudget returns a full retry budget: it limits retries to a part of the served requests, as in
// Finagle and Linkerd. Without it retries multiply the load just when few requests are served.
func newRetryBudget() *tokenBucket { return newTokenBucket(retryTokensPerResponse, maxRetryTokens) }
