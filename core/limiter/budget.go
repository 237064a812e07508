package limiter

import "sync"

// Budget bounds additional attempts to a fraction of the requests.
type Budget struct {
	// Fraction of a token is earned by each request.
	Fraction float64
	// Burst is the most tokens kept.
	Burst float64

	mu     sync.Mutex
	tokens float64
}

// Earn counts a request.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.Burst, b.tokens+b.Fraction)
}

// HasToken reports whether an additional attempt is affordable.
func (b *Budget) HasToken() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens >= 1
}

// Spend takes a token for an additional attempt and reports whether there was
// one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
