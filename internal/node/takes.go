package node

import (
	"context"
	"sync"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/table"
)

const (
	// rankDelay is how much longer each further successor waits, for the case
	// that those before it can't take over.
	rankDelay = 300 * time.Millisecond
	// awaitPoll is how often a handover looks whether it may start.
	awaitPoll = 5 * time.Millisecond
	// maxTakes bounds the takeovers at a time, and thereby the load on the
	// store when many homes are lost together.
	maxTakes = 16
)

// takes keeps track of the takeovers of an instance.
type takes struct {
	mu sync.Mutex
	// running holds the home rows that are being taken over.
	running map[table.Key]bool
	// wanted is since when a home row is without a living holder.
	wanted map[table.Key]clock.Time
	// stopped holds the versions of home rows whose term this run of the
	// instance has ended for good, so that a successor need not wait.
	stopped map[table.Key]table.Version
	signal  chan struct{}
}

func (t *takes) init() {
	t.running, t.wanted = make(map[table.Key]bool), make(map[table.Key]clock.Time)
	t.stopped = make(map[table.Key]table.Version)
	t.signal = make(chan struct{}, 1)
}

// wake makes the take loop look at once.
func (t *takes) wake() {
	select {
	case t.signal <- struct{}{}:
	default:
	}
}

// stop records that the term of a home row's version has ended for good.
func (t *takes) stop(k table.Key, v table.Version) {
	t.mu.Lock()
	t.stopped[k] = v
	t.mu.Unlock()
}

// hasStopped reports whether the term of a home row's version has ended here.
func (t *takes) hasStopped(k table.Key, v table.Version) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return v != 0 && t.stopped[k] == v
}

// due reports whether a home has been wanted for long enough for the successor
// of the given rank.
func (t *takes) due(k table.Key, rank int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	w, ok := t.wanted[k]
	if !ok {
		w = now()
		t.wanted[k] = w
	}
	return now().Sub(w) >= time.Duration(rank)*rankDelay
}

// putOff puts off the next takeover of the home.
func (t *takes) putOff(k table.Key, d time.Duration) {
	t.mu.Lock()
	t.wanted[k] = now().Add(d)
	t.mu.Unlock()
}

func (t *takes) settled(k table.Key) {
	t.mu.Lock()
	delete(t.wanted, k)
	t.mu.Unlock()
}

// begin reports whether a takeover of the home may start.
func (t *takes) begin(k table.Key) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running[k] || len(t.running) >= maxTakes {
		return false
	}
	t.running[k] = true
	return true
}

// await waits until a takeover of the home may start. It returns the error of c.
func (t *takes) await(c context.Context, k table.Key) error {
	for !t.begin(k) {
		select {
		case <-c.Done():
			return c.Err()
		case <-time.After(awaitPoll):
		}
	}
	return nil
}

func (t *takes) end(k table.Key) {
	t.mu.Lock()
	delete(t.running, k)
	t.mu.Unlock()
	t.wake()
}
