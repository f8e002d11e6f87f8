package ring

import (
	"context"
	"errors"
	"testing"
)

// Guards against values that are lost at Close, and against a ring that holds more
// values than its bound.
func TestRing(t *testing.T) {
	r := New[int](2)
	for i := range 2 {
		if err := r.Offer(i); err != nil {
			t.Fatalf("Offer(%d): %v", i, err)
		}
	}
	if err := r.Offer(2); !errors.Is(err, ErrFull) {
		t.Fatalf("Offer on a full ring: %v, want ErrFull", err)
	}
	r.Close()
	if err := r.Offer(3); !errors.Is(err, ErrClosed) {
		t.Fatalf("Offer on a closed ring: %v, want ErrClosed", err)
	}
	for i := range 2 {
		if v, err := r.Take(context.Background()); err != nil || v != i {
			t.Fatalf("Take = %d, %v, want %d", v, err, i)
		}
	}
	if _, err := r.Take(context.Background()); !errors.Is(err, ErrClosed) {
		t.Fatalf("Take on an empty closed ring: %v, want ErrClosed", err)
	}
}

// Guards against a Take that blocks although its context is cancelled.
func TestTakeCancelled(t *testing.T) {
	c, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := New[int](1).Take(c); !errors.Is(err, context.Canceled) {
		t.Fatalf("Take: %v, want Canceled", err)
	}
}
