// Package syncer keeps an instance's copies of the store's tables fresh. In
// each region one instance reads the store, and the others read its copies;
// when a copy becomes stale, the next instance in the order reads the store.
package syncer

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/relay"
	"dandelionrock.example/dandelionrock/internal/state/alive"
	"dandelionrock.example/dandelionrock/internal/state/delta"
	"dandelionrock.example/dandelionrock/internal/state/mirror"
	"dandelionrock.example/dandelionrock/internal/state/view"
	"dandelionrock.example/dandelionrock/peer"
	"dandelionrock.example/dandelionrock/platform"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

const (
	// readers is the number of instances of a region that read the store, so
	// that the loss of one of them delays nothing.
	readers = 2
	// usualDrain is the bound on draining that pollInterval, pullInterval, staleAfter
	// and farAfter are made for; they shrink with a shorter bound.
	usualDrain = 2500 * time.Millisecond
	// pollInterval is the time between a reader's reads of the targets' table.
	// Reading and passing on must end within the bound on draining.
	pollInterval = time.Second
	// pullInterval is the time between reads of another instance's copies; two
	// readers are asked in turn.
	pullInterval = 400 * time.Millisecond
	// watchDesired and watchOwn bound how long a watch waits for a change, and
	// thereby how long a silent connection goes unnoticed.
	watchDesired = 3 * time.Second
	watchOwn     = 5 * time.Second
	// ownPause spaces the reads of the own table, whose urgent changes the
	// instances tell each other.
	ownPause = time.Second
	// desiredPause spaces the reads of a configuration that changes often.
	desiredPause = 200 * time.Millisecond
	// staleAfter is the age of the targets' copy after which an instance that is
	// no reader becomes one; it exceeds pollInterval and two pulls.
	staleAfter = 1900 * time.Millisecond
	// farAfter is the age after which other regions are asked, too.
	farAfter = 3 * time.Second
	// idleCheck is the time after which an instance that doesn't read the store
	// checks again whether it should.
	idleCheck = 200 * time.Millisecond
	// minBackOff and maxBackOff bound the pause after a failed read.
	minBackOff = 200 * time.Millisecond
	maxBackOff = 800 * time.Millisecond
	// outageAfter is the age of the copies at which the store counts as having
	// been away, and returnTime the time in which targets whose rows lapsed
	// meanwhile register again.
	outageAfter = 2500 * time.Millisecond
	returnTime  = 2200 * time.Millisecond
	// pullTimeout bounds one read of another instance's copies.
	pullTimeout = 500 * time.Millisecond
)

// Tables in the order of SyncRequest.
const (
	desired = iota
	targets
	own
	tables
)

var names = [tables]platform.Table{platform.TableDesired, platform.TableTargets, platform.TableOwn}

// Syncer holds the copies. Use New.
type Syncer struct {
	self  peer.Instance
	store *platform.Store
	pool  *relay.Pool
	alive *alive.Set
	log   zerolog.Logger
	// pace is the part of the usual intervals that the bound on draining allows,
	// at most 1.
	pace float64

	view atomic.Pointer[view.View]
	// changed is closed and replaced when the view changes.
	changed atomic.Pointer[chan struct{}]

	mu     sync.Mutex
	copies [tables]*mirror.Table
	// watches ends the reads in progress.
	watches [tables]context.CancelFunc
	// stoodIn is when this instance last read the targets for the readers, whose
	// copies had become stale; 0 if it never did.
	stoodIn clock.Time

	// failing is set while the reads of the targets fail.
	failing atomic.Bool
	// source counts the pulls.
	source int
	group  sync.WaitGroup
	cancel context.CancelFunc
}

// New returns a Syncer that has read nothing. Targets that leave are known
// everywhere within drain.
func New(self peer.Instance, s *platform.Store, p *relay.Pool, a *alive.Set, drain time.Duration, l zerolog.Logger) *Syncer {
	d := &Syncer{self: self, store: s, pool: p, alive: a, log: l, pace: min(1, float64(drain)/float64(usualDrain))}
	d.copies = [tables]*mirror.Table{mirror.New(bytes.Equal, nil), mirror.New(sameTarget, nil), mirror.New(bytes.Equal, delta.Keys{})}
	d.view.Store(view.Empty())
	c := make(chan struct{})
	d.changed.Store(&c)
	return d
}

// paced returns the part of a usual interval that the bound on draining allows.
func (s *Syncer) paced(d time.Duration) time.Duration { return time.Duration(s.pace * float64(d)) }

// sameTarget reports whether two rows of a target differ by their heartbeats
// only.
func sameTarget(a, b []byte) bool {
	x, errX := platform.DecodeTarget("-", a)
	y, errY := platform.DecodeTarget("-", b)
	return errX == nil && errY == nil && x == y || errX != nil && errY != nil
}

// Start begins reading.
func (s *Syncer) Start() {
	c, stop := context.WithCancel(context.Background())
	s.cancel = stop
	for i := range tables {
		s.group.Go(func() { s.read(c, i) })
	}
	s.group.Go(func() { s.pull(c) })
}

// Close stops reading and waits for its end.
func (s *Syncer) Close() error {
	s.cancel()
	s.group.Wait()
	return nil
}

// View returns the present snapshot.
func (s *Syncer) View() *view.View { return s.view.Load() }

// Changed returns a channel that is closed at the next change of the view.
func (s *Syncer) Changed() <-chan struct{} { return *s.changed.Load() }

// Age returns the age of the copy of the targets.
func (s *Syncer) Age() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copies[targets].Age(clock.Boot())
}

// OwnConfirmed returns the time at which the copy of the own table was known to
// be complete.
func (s *Syncer) OwnConfirmed() clock.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Boot()
	return now.Add(-s.copies[own].Age(now))
}

// order returns the live instances of the region in the order in which they
// read the store.
func (s *Syncer) order() []peer.Instance {
	n := s.alive.Nearest(s.View(), "reader/"+s.self.Region, peer.Place{Region: s.self.Region})
	for i, v := range n {
		if v.Region != s.self.Region {
			return n[:i]
		}
	}
	return n
}

// rank returns the place of this instance in the order, and the number of
// instances in it.
func (s *Syncer) rank() (int, int) {
	n := s.order()
	for i, v := range n {
		if v.ID == s.self.ID {
			return i, len(n)
		}
	}
	return 0, len(n)
}

// reads reports whether this instance reads a table from the store. The own
// table has one reader, the others two. Other instances stand in for a while
// when their copies of the targets become stale.
func (s *Syncer) reads(table int) bool {
	r, count := s.rank()
	n := readers
	if table == own {
		n = 1
	}
	if r < n {
		return true
	}
	now := clock.Boot()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stoodIn != 0 && now.Sub(s.stoodIn) < standInTime {
		return true
	}
	return standsIn(s.copies[targets].Age(now), s.paced(staleAfter), max(r-readers, 0), count-readers)
}

// apply adds an answer of the store to a copy.
func (s *Syncer) apply(asOf clock.Time, table int, r platform.Rows, whole, holdBack bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var changes []mirror.Change
	if holdBack {
		changes = s.copies[table].Add(r)
		s.copies[table].Refresh(asOf)
	} else {
		changes = s.copies[table].Apply(asOf, r, whole)
	}
	s.publish(table, changes)
}

// publish replaces the view; the caller holds mu.
func (s *Syncer) publish(table int, changes []mirror.Change) {
	if len(changes) == 0 {
		return
	}
	v := s.view.Load()
	var err error
	switch table {
	case desired:
		for _, c := range changes {
			n, fault := v.WithDesired(c)
			v, err = n, errors.CombineErrors(err, fault)
		}
	case targets:
		v, err = v.WithTargets(changes)
	case own:
		v, err = v.WithOwn(changes)
	}
	if err != nil {
		s.log.Warn().Str("event", "row-ignored").Str("table", string(names[table])).Err(err).Msg("")
	}
	for _, c := range changes {
		s.log.Debug().Str("event", "row-changed").Str("table", string(names[table])).Str("key", c.Key).Uint64("version", uint64(c.Version)).Bool("removed", c.Value == nil).Msg("")
	}
	s.view.Store(v)
	n := make(chan struct{})
	close(*s.changed.Swap(&n))
}

// Learn adds a row of the own table that this instance has just written, or has
// been told of.
func (s *Syncer) Learn(key string, value []byte, v platform.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publish(own, s.copies[own].Add(platform.Rows{Rows: []platform.Row{{Key: key, Value: value, Version: v}}}))
}
