// Package home runs the home of one upstream: it renews the upstream's grants,
// dispatches requests to it, and moves its shards to other upstreams.
//
// Package lease decides what the home is allowed to do. A home has three
// goroutines: one renews grants, one reads the home row to confirm the term, and
// one moves shards.
package home

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/config"
	"dandelionrock.example/dandelionrock/event"
	"dandelionrock.example/dandelionrock/fence"
	"dandelionrock.example/dandelionrock/lease"
	"dandelionrock.example/dandelionrock/order"
	"dandelionrock.example/dandelionrock/queue"
	"dandelionrock.example/dandelionrock/schema"
	"dandelionrock.example/dandelionrock/shard"
	"dandelionrock.example/dandelionrock/table"
)

// Directory is the part of the instance's directory that a home uses.
type Directory interface {
	Apply(rows ...table.Row) []table.Key
	Row(k table.Key) (table.Row, bool)
	Map(organisation, service string) *shard.Map
}

// Granter sends grant messages to the upstream.
type Granter interface {
	// Grant sends a grant message and returns the answer.
	Grant(c context.Context, m *schema.GrantRequest) (*schema.GrantReply, error)
	Close() error
}

// Sender sends requests to the upstream.
type Sender interface {
	// Send sends a request at most once and returns its outcome. It calls permit
	// immediately before it writes the request. If permit returns an error,
	// nothing is written.
	Send(c context.Context, q *schema.ForwardRequest, t fence.Token, permit func() error) *schema.ForwardReply
	Close() error
}

// Config describes one term of a home.
type Config struct {
	// Key is the key of the home row, Version its version as committed for this
	// term.
	Key     table.Key
	Version table.Version
	// CommitTime is the wall clock time of that commit.
	CommitTime time.Time
	Lease      lease.Config
	Service    *config.Service
	Upstream   *config.Upstream
	// Instance is the id of the instance that runs the home.
	Instance  string
	Directory Directory
	Store     table.Store
	Granter   Granter
	Sender    Sender
	// Announce sends committed rows to the other instances.
	Announce func(rows []table.Row)
	// Targets returns a move to a new owner for each shard of the upstream.
	Targets func() ([]shard.Move, error)
	// Weight returns the weight of a client account.
	Weight func(account string) int
	Events *event.Log
	// Now returns the time of the boot clock.
	Now func() clock.Time
}

// Home is one term of the home of one upstream. Use New.
type Home struct {
	config      Config
	orders      *order.Record[*schema.ForwardReply]
	gate        *queue.Gate[string]
	load        *load
	concurrency *concurrency

	// mu guards the fields from lease to pending.
	mu    sync.Mutex
	lease *lease.Home
	// inFlight holds the requests in flight by shard.
	inFlight map[shard.ID]*shardRequests
	// moves holds the new owner of each shard that has to move, mergeTarget if
	// the shard has to be merged.
	moves map[shard.ID]string
	// ownerships holds the latest ownership of each shard that the upstream owns or
	// owned.
	ownerships map[shard.ID]ownership
	// splits holds the hot keys that have to get a shard of their own.
	splits map[shard.KeyHash]bool
	// synced is set once the shards have been read by a read that was sent after
	// the commit of the term. Older rows may precede a move by the predecessor.
	synced bool
	// drainingSince is when the upstream was first known to drain or Evacuate was
	// called, 0 if neither is the case.
	drainingSince clock.Time
	// evacuate is set if all shards have to move although the upstream doesn't
	// drain.
	evacuate bool
	// pending is a transaction whose result is not known yet, nil if there is
	// none.
	pending *table.Txn

	// failureRecordedAt is when a failed evacuation was last recorded as an event.
	// Only moveLoop uses it.
	failureRecordedAt clock.Time

	renewNow, confirmNow, moveNow chan struct{}
	stop                          context.CancelFunc
	ctx                           context.Context
	wg                            sync.WaitGroup
}

// ownership states the epoch in which the upstream owns a shard and when the home
// learned that.
type ownership struct {
	epoch shard.Epoch
	since time.Time
}

// shardRequests describes the requests on one shard that the upstream may be
// executing.
type shardRequests struct {
	// count is the number of requests that have begun and not ended.
	count int
	// mayRunUntil is when the upstream has certainly stopped executing requests
	// that are not in count, such as those that did not end cleanly.
	mayRunUntil clock.Time
}

// New starts the home of a term whose commit is known.
func New(c Config) *Home {
	x, f := context.WithCancel(context.Background())
	h := &Home{
		config:     c,
		lease:      lease.New(c.Lease),
		orders:     order.NewRecord(order.Options{TermStart: c.CommitTime}, replySize),
		gate:       queue.New[string](queue.Options{Slots: c.Upstream.Slots}),
		load:       newLoad(),
		inFlight:   make(map[shard.ID]*shardRequests),
		moves:      make(map[shard.ID]string),
		ownerships: make(map[shard.ID]ownership),
		splits:     make(map[shard.KeyHash]bool),
		renewNow:   make(chan struct{}, 1),
		confirmNow: make(chan struct{}, 1),
		moveNow:    make(chan struct{}, 1),
		stop:       f,
		ctx:        x,
	}
	h.concurrency = &concurrency{gate: h.gate, slots: c.Upstream.Slots}
	for _, d := range []func(){h.renewLoop, h.confirmLoop, h.moveLoop} {
		h.wg.Go(d)
	}
	c.Events.Record("home-started", string(c.Key), event.Uint("term", uint64(c.Lease.Term)))
	return h
}

// signal wakes the goroutine that waits for ch. If none waits, the next wait
// returns at once.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// wait waits for d or until a signal on ch. It returns false if the home is
// closed.
func (h *Home) wait(ch chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-h.ctx.Done():
		return false
	case <-ch:
	case <-t.C:
	}
	return h.ctx.Err() == nil
}

// Sync adds the shards that the upstream owns according to the directory. It does
// nothing before the first read of the shards in this term.
func (h *Home) Sync() {
	m := h.config.Directory.Map(h.config.Lease.Organisation, h.config.Service.Name)
	if m == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.synced {
		return
	}
	m.All(func(i shard.ID, e shard.Entry) bool {
		if e.Upstream == h.config.Upstream.Name {
			h.delayMoveAfterSplit(m, i)
			h.lease.Add(i, e.Epoch)
			if e.Epoch > h.ownerships[i].epoch {
				h.ownerships[i] = ownership{e.Epoch, time.Now()}
			}
		}
		return true
	})
	signal(h.renewNow)
}

// Superseded reports whether a higher term of the home is known to exist.
func (h *Home) Superseded() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lease.Superseded()
}

// Unavailable reports whether the upstream does not answer or drains, and should
// therefore get no shards.
func (h *Home) Unavailable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.unavailable()
}

// unavailable implements Unavailable. Half of the TTL is two missed renewals. The
// other instances must know before the grants expire; otherwise upstreams that
// fail together are evacuated to one another. The caller holds mu.
func (h *Home) unavailable() bool {
	return h.drainingSince != 0 || h.silentFor(h.config.Now()) > h.config.Lease.TTL/2
}

// Moving reports whether shards are moving away from the upstream or will have to
// move. A handover would stop the moves until the successor restarts them.
func (h *Home) Moving() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.unavailable() || len(h.moves) > 0 || h.pending != nil
}

// silentFor returns the time since the last answer of the upstream in this term,
// or since the commit of the term. The caller holds mu.
func (h *Home) silentFor(now clock.Time) time.Duration {
	t, ok := h.lease.LastResponse()
	if !ok {
		t = h.config.Lease.CommittedAt
	}
	return now.Sub(t)
}

// State returns the state of the lease and the numbers of running and queued
// requests.
func (h *Home) State() (s lease.State, running, queued int) {
	h.mu.Lock()
	s = h.lease.State(h.config.Now())
	h.mu.Unlock()
	q := h.gate.Stats()
	return s, q.InFlight, q.Queued
}

// Configuration returns the configuration of the service and the upstream that
// the home was started with.
func (h *Home) Configuration() (*config.Service, *config.Upstream) {
	return h.config.Service, h.config.Upstream
}

// Evacuate makes the home move all shards to other upstreams, whether or not the
// upstream drains.
func (h *Home) Evacuate() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.evacuate = true
	if h.drainingSince == 0 {
		h.drainingSince = h.config.Now()
	}
}

// Key returns the key of the home row.
func (h *Home) Key() table.Key { return h.config.Key }

// Version returns the version of the home row that the term committed.
func (h *Home) Version() table.Version { return h.config.Version }

// Close ends the term and waits for the goroutines of the home, but not for
// requests in flight. The error is that of Granter.Close or Sender.Close.
func (h *Home) Close() error {
	h.mu.Lock()
	h.lease.Retire(h.config.Now())
	h.mu.Unlock()
	h.stop()
	h.wg.Wait()
	err := h.config.Granter.Close()
	return errors.CombineErrors(err, h.config.Sender.Close())
}

// Retire stops dispatching requests and waits until the upstream executes no
// request of this term and no transaction is pending. A successor need not wait
// then. If c ends first, Retire returns its error.
func (h *Home) Retire(c context.Context) error {
	for {
		h.mu.Lock()
		now := h.config.Now()
		ok, _ := h.lease.Retire(now)
		for i := range h.inFlight {
			ok = ok && h.drained(now, i)
		}
		ok = ok && h.pending == nil
		h.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-c.Done():
			return c.Err()
		case <-time.After(retirePoll):
		}
	}
}

// retirePoll is the interval at which Retire checks for requests in flight.
const retirePoll = 2 * time.Millisecond

// Load returns the request rates of the upstream's shards and hot keys. Requests
// count less the older they are.
func (h *Home) Load() *schema.UpstreamLoad { return h.load.report(h.config.Upstream.Name) }
