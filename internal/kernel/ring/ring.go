// Package ring provides a bounded queue between goroutines.
package ring

// Ring is a bounded first-in first-out queue, safe for concurrent use.
type Ring[T any] struct {
	items chan T
}

// New returns a Ring that queues at most size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{items: make(chan T, size)}
}

// Offer adds item without blocking, and returns false if the queue is full.
func (rng *Ring[T]) Offer(item T) bool {
	select {
	case rng.items <- item:
		return true
	default:
		return false
	}
}

// Items returns the channel from which to receive the items.
func (rng *Ring[T]) Items() <-chan T { return rng.items }

// Len returns the number of queued items.
func (rng *Ring[T]) Len() int { return len(rng.items) }
