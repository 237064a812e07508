package limiter

import "sync"

// RetryBudget is a token bucket that limits retries to a fraction of the requests.
// Each retry spends one token.
type RetryBudget struct {
	// Ratio is the number of tokens that each request adds.
	Ratio float64
	// Burst is the maximum number of tokens.
	Burst float64

	mu     sync.Mutex
	tokens float64
}

// RecordRequest records a request and adds Ratio tokens, up to Burst.
func (b *RetryBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.Burst, b.tokens+b.Ratio)
}

// CanRetry reports whether there is a token for a retry. It does not spend it.
func (b *RetryBudget) CanRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens >= 1
}

// TryRetry spends a token for a retry. It returns false where there is none.
func (b *RetryBudget) TryRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
