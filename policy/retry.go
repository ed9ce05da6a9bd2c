package policy

const (
	// retryTokensPerResponse is what each served request adds to the retry budget, in attempts.
	retryTokensPerResponse = 0.25
	// maxRetryTokens bounds the retry budget, in attempts.
	maxRetryTokens = 4.0
)

// retryBudget limits retries to a part of the served requests, by a token bucket as in Finagle and
// Linkerd. Without it retries multiply the load just when few requests are served.
type retryBudget struct {
	tokens float64 // retries that may be made
}

// newRetryBudget returns a full budget.
func newRetryBudget() *retryBudget { return &retryBudget{tokens: maxRetryTokens} }

// earn adds the tokens of one served request.
func (r *retryBudget) earn() { r.tokens = min(r.tokens+retryTokensPerResponse, maxRetryTokens) }

// available tells whether one retry may be made.
func (r *retryBudget) available() bool { return r.tokens >= 1 }

// spend takes the token of one retry.
func (r *retryBudget) spend() { r.tokens-- }
