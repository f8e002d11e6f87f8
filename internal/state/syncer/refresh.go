package syncer

import (
	"context"
	"sync"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/platform"
	"github.com/cockroachdb/errors"
)

const (
	// refreshTimeout bounds the reads for another instance. It covers those of a slow
	// store, and is less than pullTimeout.
	refreshTimeout = 400 * time.Millisecond
	// refreshPause is the time after a failed read for which no other one is made for
	// other instances. It bounds the load on a store that is unavailable to all.
	refreshPause = time.Second
)

// refresher reads the store for instances that can't.
type refresher struct {
	// refreshing is held while the store is read for another instance.
	refreshing sync.Mutex
	// refreshFailed is when that last failed; 0 if it never did.
	refreshFailed clock.Time
}

// refresh reads the targets and the configuration if the copies are not recent. After
// that, the instance goes on reading for standInTime.
func (s *Syncer) refresh() {
	s.refreshing.Lock()
	defer s.refreshing.Unlock()
	now := clock.Boot()
	if s.Age() <= s.scaled(seekAfter) && !s.failing[desired].Load() || s.refreshFailed != 0 && now.Sub(s.refreshFailed) < refreshPause {
		return
	}
	c, stop := context.WithTimeout(context.Background(), refreshTimeout)
	defer stop()
	var g sync.WaitGroup
	var errs [tables]error
	for _, n := range []int{desired, targets} {
		g.Go(func() { s.guard.Once("refresh", func() { errs[n] = s.readNow(c, n) }) })
	}
	g.Wait()
	if err := errors.CombineErrors(errs[desired], errs[targets]); err != nil {
		s.refreshFailed = clock.Boot()
		s.log.Info().Str("event", "refresh-failed").Err(err).Msg("")
		return
	}
	s.recordStandIn(now)
}

// readNow reads a table without waiting for a change.
func (s *Syncer) readNow(c context.Context, table int) error {
	s.mu.Lock()
	now := clock.Boot()
	v, whole := s.copies[table].Version(), s.copies[table].NeedsWhole()
	s.mu.Unlock()
	r, err := s.fetch(c, table, v, whole, 0)
	if errors.Is(err, platform.ErrCompacted) {
		whole = true
		r, err = s.fetch(c, table, v, whole, 0)
	}
	if err != nil {
		return err
	}
	s.apply(now, table, r, whole)
	return nil
}
