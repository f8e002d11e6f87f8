package syncer

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/state/mirror"
	"dandelionrock.example/dandelionrock/platform"
)

// read keeps one table fresh from the store while this instance shall.
func (s *Syncer) read(c context.Context, table int) {
	r := reader{spread: s, table: table, last: clock.Boot()}
	for c.Err() == nil {
		if !s.reads(table) {
			r.last = clock.Boot()
			clock.Sleep(c, idleCheck)
			continue
		}
		clock.Sleep(c, r.once(c))
		if table != targets && r.failures > 0 && s.hasRead(table) {
			s.awaitStore(c)
		}
	}
}

// reader reads one table from the store.
type reader struct {
	spread *Syncer
	table  int
	// last is the time of the last answer of the store.
	last     clock.Time
	failures int
	// whole asks for the whole table; returned is when an outage ended.
	whole    bool
	returned clock.Time
}

// once makes one read and returns the pause until the next.
func (r *reader) once(parent context.Context) time.Duration {
	s, c := r.spread, parent
	s.mu.Lock()
	now := clock.Boot()
	v, known, age := s.copies[r.table].Version(), s.copies[r.table].Complete(), s.copies[r.table].Age(now)
	c, stop := context.WithCancel(c)
	s.watches[r.table] = stop
	s.mu.Unlock()
	defer stop()
	whole := r.whole || !known
	var rows platform.Rows
	var err error
	if whole {
		rows, err = s.store.List(c, names[r.table], "")
	} else {
		rows, err = s.store.Changes(c, names[r.table], v, r.wait())
	}
	switch {
	case parent.Err() != nil:
		return 0
	case errors.Is(err, platform.ErrCompacted):
		s.log.Warn().Str("event", "store-history-lost").Str("table", string(names[r.table])).Uint64("version", uint64(v)).Msg("")
		r.whole = true
		return 0
	case err != nil:
		return r.failed(now, err)
	}
	r.answered(now, age)
	s.apply(now, r.table, rows, whole, r.holdsBack(now))
	if whole && !r.holdsBack(now) {
		r.whole = false
	}
	return r.pause()
}

// wait returns how long a read waits for a change.
func (r *reader) wait() time.Duration {
	if r.spread.failing.Load() {
		return 0
	}
	switch r.table {
	case desired:
		return watchDesired
	case own:
		return watchOwn
	}
	return 0
}

// pause spaces the reads; watches that return at once must not follow each
// other without end.
func (r *reader) pause() time.Duration {
	switch r.table {
	case targets:
		return r.spread.paced(pollInterval)
	case own:
		return ownPause
	}
	return desiredPause
}

// holdsBack reports whether removals are not believed yet: the rows of targets
// that live may have lapsed while the store was away.
func (r *reader) holdsBack(now clock.Time) bool {
	return r.table == targets && r.returned != 0 && now.Sub(r.returned) < returnTime
}

func (r *reader) answered(now clock.Time, age time.Duration) {
	if r.failures > 0 {
		r.spread.log.Info().Str("event", "store-regained").Str("table", string(names[r.table])).Dur("away", now.Sub(r.last)).Msg("")
	}
	if r.table == targets && age > r.spread.paced(staleAfter) && age != mirror.NeverRead {
		r.spread.standIn(now)
	}
	if r.table == targets && age > outageAfter && !r.holdsBack(now) && age != mirror.NeverRead {
		r.returned, r.whole = now, true
	}
	r.failures, r.last = 0, now
	if r.table == targets {
		r.spread.failing.Store(false)
	}
}

func (r *reader) failed(now clock.Time, err error) time.Duration {
	if r.failures == 0 {
		r.spread.log.Warn().Str("event", "store-lost").Str("table", string(names[r.table])).Err(err).Dur("since", now.Sub(r.last)).Msg("")
	}
	r.failures++
	if r.table == targets {
		r.spread.abandonWatches()
	}
	d := min(minBackOff<<min(r.failures-1, 4), maxBackOff)
	return d/2 + rand.N(d)
}

// abandonWatches ends the watches in progress when the store doesn't answer: they
// would go on waiting on a connection that has gone silent. Until the store
// answers again, reads don't wait for changes.
func (s *Syncer) abandonWatches() {
	s.failing.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, stop := range s.watches {
		if i != targets && stop != nil {
			stop()
		}
	}
}
