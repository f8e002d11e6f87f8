package node

import (
	"context"
	"sync"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/table"
)

const (
	// rankDelay is the additional delay of each lower-ranked successor, which takes
	// over only if those ranked before it don't.
	rankDelay = 300 * time.Millisecond
	// awaitPollInterval is how often await checks whether a takeover may start.
	awaitPollInterval = 5 * time.Millisecond
	// maxTakeovers bounds the concurrent takeovers, and thereby the load on the
	// store when many homes are lost together.
	maxTakeovers = 16
)

// takeoverTracker tracks the takeovers of an instance, and other operations on a
// home that exclude a takeover.
type takeoverTracker struct {
	mu sync.Mutex
	// running holds the home rows with an operation under way.
	running map[table.Key]bool
	// vacantSince is when a home row was first seen without a live holder, or a
	// later time if the takeover was postponed.
	vacantSince map[table.Key]clock.Time
	// ended holds the versions of home rows whose term this run of the instance
	// has ended, so that a takeover need not wait for the hold time.
	ended  map[table.Key]table.Version
	signal chan struct{}
}

func (t *takeoverTracker) init() {
	t.running, t.vacantSince = make(map[table.Key]bool), make(map[table.Key]clock.Time)
	t.ended = make(map[table.Key]table.Version)
	t.signal = make(chan struct{}, 1)
}

// wake makes the takeover loop run at once.
func (t *takeoverTracker) wake() {
	select {
	case t.signal <- struct{}{}:
	default:
	}
}

// markEnded records that the term of a home row's version has ended.
func (t *takeoverTracker) markEnded(k table.Key, v table.Version) {
	t.mu.Lock()
	t.ended[k] = v
	t.mu.Unlock()
}

// hasEnded reports whether this instance has ended the term of a home row's
// version.
func (t *takeoverTracker) hasEnded(k table.Key, v table.Version) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return v != 0 && t.ended[k] == v
}

// due reports whether a home has been vacant for long enough that the successor of
// the given rank may take it over. The first call for a home starts the time.
func (t *takeoverTracker) due(k table.Key, rank int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	w, ok := t.vacantSince[k]
	if !ok {
		w = now()
		t.vacantSince[k] = w
	}
	return now().Sub(w) >= time.Duration(rank)*rankDelay
}

// postpone delays the next takeover of the home by d, plus the delay of the rank.
func (t *takeoverTracker) postpone(k table.Key, d time.Duration) {
	t.mu.Lock()
	t.vacantSince[k] = now().Add(d)
	t.mu.Unlock()
}

// clearVacant records that the home isn't vacant.
func (t *takeoverTracker) clearVacant(k table.Key) {
	t.mu.Lock()
	delete(t.vacantSince, k)
	t.mu.Unlock()
}

// begin marks the home as busy. It returns false if it is busy already or
// maxTakeovers homes are.
func (t *takeoverTracker) begin(k table.Key) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running[k] || len(t.running) >= maxTakeovers {
		return false
	}
	t.running[k] = true
	return true
}

// await waits until begin succeeds. It returns the error of c if c ends first.
func (t *takeoverTracker) await(c context.Context, k table.Key) error {
	for !t.begin(k) {
		select {
		case <-c.Done():
			return c.Err()
		case <-time.After(awaitPollInterval):
		}
	}
	return nil
}

// end marks the home as free and wakes the takeover loop.
func (t *takeoverTracker) end(k table.Key) {
	t.mu.Lock()
	delete(t.running, k)
	t.mu.Unlock()
	t.wake()
}
