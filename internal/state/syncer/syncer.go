// Package syncer keeps an instance's copies of the store's tables up to date. In
// each region the first instances of an agreed order read the store, and the
// others read their copies. When the copies become stale, the next instances in
// the order read the store as well.
package syncer

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/gate/guard"
	"dandelionrock.example/dandelionrock/internal/relay"
	"dandelionrock.example/dandelionrock/internal/state/alive"
	"dandelionrock.example/dandelionrock/internal/state/delta"
	"dandelionrock.example/dandelionrock/internal/state/mirror"
	"dandelionrock.example/dandelionrock/internal/state/view"
	"dandelionrock.example/dandelionrock/peer"
	"dandelionrock.example/dandelionrock/platform"
	"dandelionrock.example/dandelionrock/schema"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

const (
	// readers is the number of instances of a region that read the store, so
	// that the loss of one of them causes no delay.
	readers = 2
	// usualBound is the bound on the spread of changes for which pollInterval,
	// pullInterval, staleAfter, farAfter and the times of seekLoop are set. They shrink
	// in proportion to a shorter one.
	usualBound = 2500 * time.Millisecond
	// pollInterval is the time between a reader's reads of the targets' table. A
	// change must be read and passed on within the bound.
	pollInterval = time.Second
	// pullInterval is the time between reads of another instance's copies. The
	// readers are asked in turn.
	pullInterval = 400 * time.Millisecond
	// watchDesired and watchOwn bound how long a read waits for a change, and
	// thereby how long a dead connection goes unnoticed.
	watchDesired = 3 * time.Second
	watchOwn     = 5 * time.Second
	// ownPause is the pause between reads of the own table, whose urgent changes the
	// instances announce to each other.
	ownPause = time.Second
	// desiredPause is the pause between reads of the configuration. It limits the
	// rate of reads when the configuration changes often.
	desiredPause = 200 * time.Millisecond
	// staleAfter is the age of the targets' copy after which an instance that is
	// not a reader reads the store. It exceeds pollInterval plus two pulls.
	staleAfter = 1900 * time.Millisecond
	// farAfter is the age after which readers of other regions are asked as well.
	farAfter = 3 * time.Second
	// idleCheck is the interval at which an instance that doesn't read the store
	// checks whether it should.
	idleCheck = 200 * time.Millisecond
	// minBackoff and maxBackoff bound the mean pause after a failed read; the pause
	// varies by half of it.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// outageAfter is the time between two reads of the targets after which the store
	// counts as having been unavailable.
	outageAfter = 2500 * time.Millisecond
	// reregisterTime is the time after an outage within which targets whose rows
	// expired during the outage register again.
	reregisterTime = 2200 * time.Millisecond
	// pullTimeout bounds one read of another instance's copies.
	pullTimeout = 500 * time.Millisecond
)

// Tables in the order used in SyncRequest.
const (
	desired = iota
	targets
	own
	tables
)

var names = [tables]platform.Table{platform.TableDesired, platform.TableTargets, platform.TableOwn}

// Syncer holds the copies of the tables and the view made from them. Use New.
type Syncer struct {
	self  peer.Instance
	store *platform.Store
	pool  *relay.Pool
	alive *alive.Set
	log   zerolog.Logger
	guard *guard.Guard
	// bound is the time within which a change reaches all instances, in nanoseconds.
	bound atomic.Int64

	view atomic.Pointer[view.View]
	// changed is closed and replaced when the view changes.
	changed atomic.Pointer[chan struct{}]

	mu     sync.Mutex
	copies [tables]*mirror.Table
	// watches holds the functions that cancel the reads in progress.
	watches [tables]context.CancelFunc
	// lastStandIn is when this instance last read targets whose copy was stale, in
	// place of the readers; 0 if it never did.
	lastStandIn clock.Time
	// deputy is an instance that reads the store in place of the readers.
	deputy deputy
	// sought is the instance in which the last search found a recent copy.
	sought deputy

	// failing is set for the tables whose last read by readLoop has failed.
	failing [tables]atomic.Bool
	refresher
	// pulls counts the calls of pickSource; it selects the next source.
	pulls  int
	bans   Bans
	wg     sync.WaitGroup
	cancel context.CancelFunc
}

// Bans are the bans of requests, which instances pass on with the copies.
type Bans interface {
	// Digest returns a digest of the bans in force; 0 if there are none.
	Digest() uint64
	Export() []*schema.Ban
	Import([]*schema.Ban)
}

// ShareBans passes bans on with the copies. It must be called before Start.
func (s *Syncer) ShareBans(b Bans) { s.bans = b }

// New returns a Syncer with empty copies. A change that the store has confirmed reaches
// all instances within bound.
func New(self peer.Instance, s *platform.Store, p *relay.Pool, a *alive.Set, bound time.Duration, l zerolog.Logger, g *guard.Guard) *Syncer {
	d := &Syncer{self: self, store: s, pool: p, alive: a, log: l, guard: g}
	d.SetBound(bound)
	d.copies = [tables]*mirror.Table{mirror.New(bytes.Equal, nil), mirror.New(sameTarget, nil), mirror.New(bytes.Equal, delta.Keys{})}
	d.copies[targets].DeferRemovals(outageAfter, reregisterTime)
	d.copies[own].DeferRemovalsInNewEra(reregisterTime)
	for i, f := range [tables]func(string, []byte, []byte) (int, bool){compareDesired, compareTargets, compareOwn} {
		d.copies[i].CompareBy(f)
	}
	d.view.Store(view.Empty())
	c := make(chan struct{})
	d.changed.Store(&c)
	return d
}

// SetBound sets the time within which a change reaches all instances.
func (s *Syncer) SetBound(d time.Duration) { s.bound.Store(int64(d)) }

// scaled returns an interval shortened for the bound.
func (s *Syncer) scaled(d time.Duration) time.Duration {
	return time.Duration(min(1, float64(s.bound.Load())/float64(usualBound)) * float64(d))
}

// sameTarget reports whether two rows of a target are the same except for the
// heartbeat.
func sameTarget(a, b []byte) bool {
	x, errX := platform.DecodeTarget("-", a)
	y, errY := platform.DecodeTarget("-", b)
	return errX == nil && errY == nil && x == y || errX != nil && errY != nil
}

// Start starts the goroutines that read.
func (s *Syncer) Start() {
	c, stop := context.WithCancel(context.Background())
	s.cancel = stop
	for i := range tables {
		s.wg.Go(func() { s.guard.Run(c, "read", func() { s.readLoop(c, i) }) })
	}
	s.wg.Go(func() { s.guard.Run(c, "pull", func() { s.pullLoop(c) }) })
	s.wg.Go(func() { s.guard.Run(c, "seek", func() { s.seekLoop(c) }) })
}

// Close stops the goroutines and waits until they have ended.
func (s *Syncer) Close() error {
	s.cancel()
	s.wg.Wait()
	return nil
}

// View returns the current snapshot.
func (s *Syncer) View() *view.View { return s.view.Load() }

// Changed returns a channel that is closed at the next change of the view.
func (s *Syncer) Changed() <-chan struct{} { return *s.changed.Load() }

// Age returns the age of the copy of the targets' table.
func (s *Syncer) Age() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copies[targets].Age(clock.Boot())
}

// ConfigurationAge returns the age of the copy of the configuration. A reader renews it
// when a watch ends.
func (s *Syncer) ConfigurationAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copies[desired].Age(clock.Boot())
}

// KnowsTargets reports whether the copy of the targets' table holds all targets that
// are to be used. That of an instance which has just started may lack those whose
// rows expired before.
func (s *Syncer) KnowsTargets() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copies[targets].Complete() && !s.copies[targets].LacksExpired()
}

// isUnverified reports whether a copy must be read whole: its rows may be gone, and
// further ones missing.
func (s *Syncer) isUnverified(table int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copies[table].NeedsWhole()
}

// OwnConfirmed returns the last time at which the copy of the own table was known
// to be complete.
func (s *Syncer) OwnConfirmed() clock.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Boot()
	return now.Add(-s.copies[own].Age(now))
}

// OwnEra returns the highest era of the store of which the copy of the own table has
// rows.
func (s *Syncer) OwnEra() platform.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copies[own].Era()
}

// readerOrder returns the live instances of the region in the order in which
// they read the store.
func (s *Syncer) readerOrder() []peer.Instance { return s.regionOrder(s.self.Region) }

// regionOrder returns the live instances of a region in the order in which they
// read the store.
func (s *Syncer) regionOrder(region string) []peer.Instance {
	n := s.alive.Nearest(s.View(), "reader/"+region, peer.Place{Region: region})
	for i, v := range n {
		if v.Region != region {
			return n[:i]
		}
	}
	return n
}

// rank returns the position of this instance in readerOrder and the number of
// instances in the region.
func (s *Syncer) rank() (int, int) {
	n := s.readerOrder()
	for i, v := range n {
		if v.ID == s.self.ID {
			return i, len(n)
		}
	}
	return 0, len(n)
}

// shouldRead reports whether this instance reads a table from the store. The own
// table has one reader, the others have two. Other instances stand in for a while
// when their copies of the targets become stale.
func (s *Syncer) shouldRead(table int) bool {
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
	if s.lastStandIn != 0 && now.Sub(s.lastStandIn) < standInTime {
		return true
	}
	return shouldStandIn(s.copies[targets].Age(now), s.scaled(staleAfter), max(r-readers, 0), count-readers)
}

// apply applies an answer of the store to a copy. It returns how much longer
// removals are deferred.
func (s *Syncer) apply(asOf clock.Time, table int, r platform.Rows, whole bool) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publish(table, s.copies[table].Apply(asOf, r, whole), sourceStore)
	return s.copies[table].DefersFor()
}

// sourceStore and sourceSelf name the store and this instance as sources of rows. Other
// sources are ids of instances.
const (
	sourceStore = "store"
	sourceSelf  = "self"
)

// publish applies changes of a table to the view. The caller holds mu.
func (s *Syncer) publish(table int, changes []mirror.Change, source string) {
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
	s.logEvacuations(s.view.Load().Evacuated, v.Evacuated, source)
	if old := s.view.Load().Desired; v.Desired != nil && (old == nil || old.Version != v.Desired.Version) {
		now := clock.Boot()
		s.log.Info().Str("event", "configuration-changed").Uint64("config", v.Desired.Version).Str("source", source).
			Dur("age", s.copies[desired].Age(now)).Dur("store-age", s.copies[targets].Age(now)).Msg("")
	}
	s.setView(v)
}

// logEvacuations logs the failure domains that are evacuated or taken back.
func (s *Syncer) logEvacuations(old, now map[string]bool, source string) {
	log := func(domain string, evacuated bool) {
		s.log.Info().Str("event", "evacuation-changed").Str("failure-domain-evacuated", domain).Bool("evacuated", evacuated).Str("source", source).Msg("")
	}
	for d := range now {
		if !old[d] {
			log(d, true)
		}
	}
	for d := range old {
		if !now[d] {
			log(d, false)
		}
	}
}

// setView replaces the view. The caller holds mu.
func (s *Syncer) setView(v *view.View) {
	s.view.Store(v)
	n := make(chan struct{})
	close(*s.changed.Swap(&n))
}

// TargetLeaves records that a run of a target has said in a response that it leaves. It
// reports whether that was not known.
func (s *Syncer) TargetLeaves(id string, born int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, changed := s.View().WithLeaving(id, born)
	if changed {
		s.setView(v)
		s.log.Info().Str("event", "target-leaves").Str("target", id).Msg("")
	}
	return changed
}

// Learn adds a row of the own table that this instance has just written or read.
func (s *Syncer) Learn(key string, value []byte, v platform.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publish(own, s.copies[own].Add(platform.Rows{Rows: []platform.Row{{Key: key, Value: value, Version: v}}}), sourceSelf)
}
