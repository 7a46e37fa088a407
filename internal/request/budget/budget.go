// Package budget limits retries to a share of fresh traffic.
package budget

import "sync"

// Shares of the retry budget.
const (
	tokensPerRequest = 0.08 // retries per fresh request
	maxTokens        = 20.0 // retries that may be saved up
)

// Budget is a token bucket that fresh requests fill and retries drain. It is
// safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// New returns a Budget with a small initial allowance.
func New() *Budget { return &Budget{tokens: 1} }

// Deposit notes one first attempt.
func (bdg *Budget) Deposit() {
	bdg.mu.Lock()
	defer bdg.mu.Unlock()
	bdg.tokens = min(maxTokens, bdg.tokens+tokensPerRequest)
}

// TryWithdraw reports whether one more retry is allowed now.
func (bdg *Budget) TryWithdraw() bool {
	bdg.mu.Lock()
	defer bdg.mu.Unlock()
	if bdg.tokens < 1 {
		return false
	}
	bdg.tokens--
	return true
}
