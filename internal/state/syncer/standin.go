package syncer

import (
	"context"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/state/mirror"
)

const (
	// standInDelay spreads the instances that stand in for the readers.
	standInDelay = 400 * time.Millisecond
	// standInTry is how long one of them tries to read before it pauses for the
	// next: two reads that get no answer. It bounds how many try at a time in an
	// outage for all, whatever the number of instances.
	standInTry = 2 * time.Second
	// standInPeriod is the least time between the begins of two tries.
	standInPeriod = 8 * time.Second
	// standInTime is how long an instance goes on reading that succeeded.
	standInTime = 5 * time.Second
	// awayTime bounds the pause of the other reads while those of the targets
	// fail. Only some tables may be away.
	awayTime = 3 * time.Second
)

// standsIn reports whether an instance behind the readers tries to read the
// store, by the age of its copy of the targets, the age at which that is stale,
// its rank, which is 0 for the first behind the readers, and the number of such
// instances in the region.
func standsIn(age, stale time.Duration, rank, count int) bool {
	if age == mirror.NeverRead {
		return true
	}
	period := max(standInPeriod, time.Duration(count)*standInDelay)
	over := age - stale - time.Duration(rank)*standInDelay
	return over > 0 && over%period < standInTry
}

// standIn notes that this instance has read targets whose copy was stale.
func (s *Syncer) standIn(now clock.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stoodIn = now
}

// hasRead reports whether there is a whole copy of a table. An instance without
// one serves nobody, and so tries to read the store more often.
func (s *Syncer) hasRead(table int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copies[table].Complete()
}

// awaitStore waits until the targets are read again, at most for awayTime.
func (s *Syncer) awaitStore(c context.Context) {
	for end := clock.Boot().Add(awayTime); c.Err() == nil && s.failing.Load() && clock.Boot() < end; {
		clock.Sleep(c, idleCheck)
	}
}
