package limiter

import "sync"

// Budget is a token bucket that limits retries to a fraction of the requests.
// Each retry spends one token.
type Budget struct {
	// Fraction is the number of tokens that each request adds.
	Fraction float64
	// Burst is the maximum number of tokens.
	Burst float64

	mu     sync.Mutex
	tokens float64
}

// Earn records a request and adds Fraction tokens, up to Burst.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.Burst, b.tokens+b.Fraction)
}

// HasToken reports whether there is a token for a retry. It does not spend it.
func (b *Budget) HasToken() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens >= 1
}

// Spend spends a token for a retry. It returns false where there is none.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
