// Package home runs the home of one upstream: it renews the upstream's grants,
// dispatches requests to it, and moves its shards to other upstreams.
//
// What may be done is decided by package lease. Three goroutines do it: one
// renews grants, one reads the home row to confirm the term, one moves shards.
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

// Directory is what a home needs of the instance's directory.
type Directory interface {
	Apply(rows ...table.Row) []table.Key
	Row(k table.Key) (table.Row, bool)
	Map(organisation, service string) *shard.Map
}

// Granter sends grant messages to the upstream.
type Granter interface {
	// Grant sends a message and returns the answer.
	Grant(c context.Context, m *schema.GrantRequest) (*schema.GrantReply, error)
	Close() error
}

// Sender sends requests to the upstream.
type Sender interface {
	// Send sends a request at most once and returns its outcome. Permit is
	// called immediately before the request is written; with an error from it
	// nothing is written.
	Send(c context.Context, q *schema.ForwardRequest, t fence.Token, permit func() error) *schema.ForwardReply
	Close() error
}

// Config describes one term of a home.
type Config struct {
	// Key is that of the home row, Version the one that this term committed.
	Key     table.Key
	Version table.Version
	// CommitTime is the time of the commit by the wall clock.
	CommitTime time.Time
	Lease      lease.Config
	Service    *config.Service
	Upstream   *config.Upstream
	// Instance is the id of the own instance.
	Instance  string
	Directory Directory
	Store     table.Store
	Granter   Granter
	Sender    Sender
	// Announce tells the other instances of rows that are known to be
	// committed.
	Announce func(rows []table.Row)
	// Targets proposes new owners for all shards of the upstream.
	Targets func() ([]shard.Move, error)
	// Weight returns the weight of a client account.
	Weight func(account string) int
	Events *event.Log
	// Now reads the boot clock.
	Now func() clock.Time
}

// Home is one term of the home of one upstream. Use New.
type Home struct {
	c      Config
	orders *order.Record[*schema.ForwardReply]
	gate   *queue.Gate[string]
	hot    *load
	depth  *depth

	mu sync.Mutex
	// lease, flights, moves and splits are guarded by mu.
	lease   *lease.Home
	flights map[shard.ID]*flight
	// moves holds the wanted owner of each shard that shall move, or
	// mergeTarget.
	moves map[shard.ID]string
	// gains holds the last gain of each shard that the upstream owns or owned.
	gains  map[shard.ID]gain
	splits map[shard.KeyHash]bool
	// synced is whether the shards were read by a read that was sent after the
	// commit of the term. Older rows may precede a move by the predecessor.
	synced bool
	// leaving is when the upstream was first seen draining, 0 if it is not.
	leaving clock.Time
	// evicted is whether the upstream shall lose its shards though it doesn't
	// drain.
	evicted bool
	// pending is a transaction whose outcome is not known yet.
	pending *table.Txn

	// failed is when a failed evacuation was recorded last; used by the mover
	// alone.
	failed clock.Time

	renewNow, confirmNow, moveNow chan struct{}
	stop                          context.CancelFunc
	life                          context.Context
	done                          sync.WaitGroup
}

// gain is when the home learned that the upstream owns a shard in an epoch.
type gain struct {
	epoch shard.Epoch
	at    time.Time
}

// flight counts the requests on one shard that the upstream may be executing.
type flight struct {
	count int
	// until is when the last request that did not end cleanly has passed its
	// deadline.
	until clock.Time
}

// New starts the home of a term that is known to be committed.
func New(c Config) *Home {
	x, f := context.WithCancel(context.Background())
	h := &Home{
		c:          c,
		lease:      lease.New(c.Lease),
		orders:     order.NewRecord(order.Options{TermStart: c.CommitTime}, replySize),
		gate:       queue.New[string](queue.Options{Slots: c.Upstream.Slots}),
		hot:        newLoad(),
		flights:    make(map[shard.ID]*flight),
		moves:      make(map[shard.ID]string),
		gains:      make(map[shard.ID]gain),
		splits:     make(map[shard.KeyHash]bool),
		renewNow:   make(chan struct{}, 1),
		confirmNow: make(chan struct{}, 1),
		moveNow:    make(chan struct{}, 1),
		stop:       f,
		life:       x,
	}
	h.depth = &depth{gate: h.gate, slots: c.Upstream.Slots}
	for _, d := range []func(){h.renewLoop, h.confirmLoop, h.moveLoop} {
		h.done.Go(d)
	}
	c.Events.Record("home-started", string(c.Key), event.Uint("term", uint64(c.Lease.Term)))
	return h
}

// signal wakes the goroutine that waits for ch.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// wait sleeps for d or until a signal on ch. It returns false when the home
// is closed.
func (h *Home) wait(ch chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-h.life.Done():
		return false
	case <-ch:
	case <-t.C:
	}
	return h.life.Err() == nil
}

// Sync takes over the owners in the directory.
func (h *Home) Sync() {
	m := h.c.Directory.Map(h.c.Lease.Organisation, h.c.Service.Name)
	if m == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.synced {
		return
	}
	m.All(func(i shard.ID, e shard.Entry) bool {
		if e.Upstream == h.c.Upstream.Name {
			h.holdSplit(m, i)
			h.lease.Add(i, e.Epoch)
			if e.Epoch > h.gains[i].epoch {
				h.gains[i] = gain{e.Epoch, time.Now()}
			}
		}
		return true
	})
	signal(h.renewNow)
}

// Superseded reports whether another instance has taken the home over.
func (h *Home) Superseded() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lease.Superseded()
}

// Unavailable reports whether the upstream is silent or draining and should
// get no shards.
func (h *Home) Unavailable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.unavailable()
}

// unavailable implements Unavailable. Half of the time to live is two missed
// renewals; the others must know before the grants expire, or upstreams that are
// lost together are evacuated to one another. The caller holds mu.
func (h *Home) unavailable() bool {
	return h.leaving != 0 || h.silent(h.c.Now()) > h.c.Lease.TTL/2
}

// Moving reports whether shards are moving away from the upstream or will have
// to. A handover would stop the moves until the successor starts them again.
func (h *Home) Moving() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.unavailable() || len(h.moves) > 0 || h.pending != nil
}

// silent returns for how long the upstream has not answered in this term.
func (h *Home) silent(now clock.Time) time.Duration {
	t, ok := h.lease.LastResponse()
	if !ok {
		t = h.c.Lease.CommittedAt
	}
	return now.Sub(t)
}

// State returns a report for status pages, and the numbers of requests that
// execute and that wait.
func (h *Home) State() (s lease.State, running, queued int) {
	h.mu.Lock()
	s = h.lease.State(h.c.Now())
	h.mu.Unlock()
	q := h.gate.Stats()
	return s, q.InFlight, q.Queued
}

// Configuration returns the configuration that the home runs with.
func (h *Home) Configuration() (*config.Service, *config.Upstream) {
	return h.c.Service, h.c.Upstream
}

// Evacuate makes the home move all shards away from the upstream.
func (h *Home) Evacuate() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.evicted = true
	if h.leaving == 0 {
		h.leaving = h.c.Now()
	}
}

// Key returns the key of the home row.
func (h *Home) Key() table.Key { return h.c.Key }

// Version returns the version of the home row that the term committed.
func (h *Home) Version() table.Version { return h.c.Version }

// Close ends the term without waiting for requests. It waits for the goroutines
// of the home.
func (h *Home) Close() error {
	h.mu.Lock()
	h.lease.Retire(h.c.Now())
	h.mu.Unlock()
	h.stop()
	h.done.Wait()
	err := h.c.Granter.Close()
	return errors.CombineErrors(err, h.c.Sender.Close())
}

// Retire stops dispatching and waits until the upstream executes nothing more
// on behalf of this term and no write is pending. Afterwards a successor need
// not wait. It returns the error of c.
func (h *Home) Retire(c context.Context) error {
	for {
		h.mu.Lock()
		now := h.c.Now()
		ok, _ := h.lease.Retire(now)
		for i := range h.flights {
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

// retirePoll is how often Retire looks for requests that have ended.
const retirePoll = 2 * time.Millisecond

// Load returns the load of the upstream since the home started, for the
// planner.
func (h *Home) Load() *schema.UpstreamLoad { return h.hot.report(h.c.Upstream.Name) }
