// Package ring provides a bounded queue between goroutines.
package ring

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrClosed is returned by writes to a closed ring and by reads from a ring that
// is closed and empty.
var ErrClosed = errors.New("ring is closed")

// ErrFull is returned by Offer if the ring is full.
var ErrFull = errors.New("ring is full")

// Ring is a bounded first-in first-out queue. It is safe for concurrent use. Use
// New.
type Ring[T any] struct {
	items chan T
	done  chan struct{} // closed by Close
	once  sync.Once
}

// New returns a ring that holds at most n values. If n is less than 1, it holds
// one.
func New[T any](n int) *Ring[T] {
	return &Ring[T]{items: make(chan T, max(n, 1)), done: make(chan struct{})}
}

// Offer appends v without blocking. It returns ErrFull if the ring is full and
// ErrClosed after Close.
func (r *Ring[T]) Offer(v T) error {
	select {
	case <-r.done:
		return ErrClosed
	default:
	}
	select {
	case r.items <- v:
		return nil
	default:
		return ErrFull
	}
}

// Put appends v. It blocks while the ring is full and returns ErrClosed after
// Close or the error of c if c ends first.
func (r *Ring[T]) Put(c context.Context, v T) error {
	select {
	case <-r.done:
		return ErrClosed
	default:
	}
	select {
	case r.items <- v:
		return nil
	case <-r.done:
		return ErrClosed
	case <-c.Done():
		return c.Err()
	}
}

// Take removes and returns the oldest value. It blocks while the ring is empty and
// returns the error of c if c ends first. After Close it returns the remaining
// values and then ErrClosed.
func (r *Ring[T]) Take(c context.Context) (T, error) {
	var z T
	select {
	case v := <-r.items:
		return v, nil
	default:
	}
	select {
	case v := <-r.items:
		return v, nil
	case <-c.Done():
		return z, c.Err()
	case <-r.done:
		select {
		case v := <-r.items:
			return v, nil
		default:
			return z, ErrClosed
		}
	}
}

// Len returns the number of values in the ring.
func (r *Ring[T]) Len() int { return len(r.items) }

// Close makes Offer and Put return ErrClosed. It may be called more than once.
func (r *Ring[T]) Close() { r.once.Do(func() { close(r.done) }) }
