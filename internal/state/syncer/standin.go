package syncer

import (
	"context"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/state/mirror"
)

const (
	// standInDelay is the delay between the first tries of successive instances that
	// stand in for the readers.
	standInDelay = 400 * time.Millisecond
	// standInTry is how long such an instance tries to read before it pauses: two
	// reads without an answer. It bounds how many instances try at the same time
	// in a complete outage, whatever their number.
	standInTry = 2 * time.Second
	// standInPeriod is the shortest time from the start of an instance's try to the
	// start of its next one.
	standInPeriod = 8 * time.Second
	// standInTime is how long an instance keeps reading after it has succeeded.
	standInTime = 5 * time.Second
	// maxStoreWait bounds the pause of the reads of other tables while those of the
	// targets fail, because only some tables may be unavailable.
	maxStoreWait = 3 * time.Second
)

// shouldStandIn reports whether an instance that is not a reader tries to read the
// store. age is the age of its copy of the targets, stale the age from which the
// copy is stale, rank its position after the readers, starting at 0, and count the
// number of such instances in the region.
func shouldStandIn(age, stale time.Duration, rank, count int) bool {
	if age == mirror.NeverRead {
		return true
	}
	period := max(standInPeriod, time.Duration(count)*standInDelay)
	over := age - stale - time.Duration(rank)*standInDelay
	return over > 0 && over%period < standInTry
}

// recordStandIn records that this instance has read targets whose copy was stale.
func (s *Syncer) recordStandIn(now clock.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastStandIn = now
}

// hasCopy reports whether there is a complete copy of a table. An instance without
// one can't serve requests, so it reads the store without the longer pause.
func (s *Syncer) hasCopy(table int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copies[table].Complete()
}

// awaitStore waits until the targets can be read again, for at most maxStoreWait.
func (s *Syncer) awaitStore(c context.Context) {
	for end := clock.Boot().Add(maxStoreWait); c.Err() == nil && s.failing[targets].Load() && clock.Boot() < end; {
		clock.Sleep(c, idleCheck)
	}
}
