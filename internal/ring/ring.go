// Package ring provides the bounded queue that joins the goroutines of an
// instance.
package ring

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrClosed reports that a ring was closed and, for readers, is empty.
var ErrClosed = errors.New("ring is closed")

// ErrFull reports that a ring has no room.
var ErrFull = errors.New("ring is full")

// Ring is a bounded first-in first-out queue, safe for several writers and
// readers. Use New.
type Ring[T any] struct {
	items chan T
	done  chan struct{}
	once  sync.Once
}

// New returns a ring with room for n values; n is at least 1.
func New[T any](n int) *Ring[T] {
	return &Ring[T]{items: make(chan T, max(n, 1)), done: make(chan struct{})}
}

// Offer appends v without waiting. It returns ErrFull or ErrClosed.
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

// Put appends v and waits for room. It returns ErrClosed or the error of c.
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

// Take removes the oldest value and waits for one. After Close it returns the
// values that remain, then ErrClosed; or the error of c.
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

// Len returns the number of values that wait.
func (r *Ring[T]) Len() int { return len(r.items) }

// Close refuses further values. It may be called more than once.
func (r *Ring[T]) Close() { r.once.Do(func() { close(r.done) }) }
