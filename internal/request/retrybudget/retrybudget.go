// Package retrybudget limits retries to a fraction of the first attempts.
package retrybudget

import "sync"

// Parameters of the token bucket.
const (
	tokensPerRequest = 0.08 // retries allowed per first attempt
	maxTokens        = 20.0 // capacity of the bucket, in retries
)

// Budget is a token bucket: first attempts add tokens, retries take them. It is
// safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// New returns a Budget that allows one retry.
func New() *Budget { return &Budget{tokens: 1} }

// Deposit adds the tokens of one first attempt.
func (bdg *Budget) Deposit() {
	bdg.mu.Lock()
	defer bdg.mu.Unlock()
	bdg.tokens = min(maxTokens, bdg.tokens+tokensPerRequest)
}

// TryWithdraw takes the token of one retry and reports whether the retry is allowed.
func (bdg *Budget) TryWithdraw() bool {
	bdg.mu.Lock()
	defer bdg.mu.Unlock()
	if bdg.tokens < 1 {
		return false
	}
	bdg.tokens--
	return true
}
