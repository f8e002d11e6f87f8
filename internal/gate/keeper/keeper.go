// Package keeper grants the keys of a service to its targets. One instance, the
// keeper, does so for each service. The row with the assignment names it, and
// every write of the row is conditional on its version.
//
// A keeper acts only while it knows that the row is still its own, by a read or
// write sent less than authority ago. A successor raises the fences of all
// keys, which shuts the predecessor out at every target that it reaches, and
// takes no keys from the others before the predecessor's authority and its
// last grants have run out.
package keeper

import (
	"context"
	"sync"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/plan/hold"
	"dandelionrock.example/dandelionrock/internal/plan/keys"
	"dandelionrock.example/dandelionrock/internal/relay"
	"dandelionrock.example/dandelionrock/internal/state/alive"
	"dandelionrock.example/dandelionrock/internal/state/syncer"
	"dandelionrock.example/dandelionrock/internal/state/view"
	"dandelionrock.example/dandelionrock/peer"
	"dandelionrock.example/dandelionrock/platform"
	"dandelionrock.example/dandelionrock/schema"
	"github.com/rs/zerolog"
)

const (
	// tick is the interval of a keeper's work.
	tick = 100 * time.Millisecond
	// usualHold is the time for which keys are granted unless targets take them
	// for less: keys of a lost target are out of service for as long.
	usualHold = 3 * time.Second
	// renewals is the number of renewals within a hold; all but one may be lost.
	renewals = 4
	// authority is how long a keeper acts without news from the store. With the
	// last grants, which outlast it, it rides out an outage of ten seconds. The
	// keys of a target that is lost together with its keeper wait for it.
	authority = 8 * time.Second
	// confirmInterval is the time between a keeper's reads of its row; the less,
	// the longer an outage that authority covers.
	confirmInterval = time.Second
	// releaseTimeout bounds one release with the grants before it; a release
	// waits for the work in progress.
	releaseTimeout = 2500 * time.Millisecond
	// goneTimeout bounds that of a target that is gone from the store.
	goneTimeout = 800 * time.Millisecond
	// rebalanceInterval is the time between looks at the load.
	rebalanceInterval = time.Second
	// minMoves bounds the moves of one look, and movesShare does so for many
	// targets: each move makes some keys wait.
	minMoves   = 6
	movesShare = 8
)

// Keeper keeps the keys of one service. Use New.
type Keeper struct {
	service string
	self    peer.Instance
	spread  *syncer.Syncer
	store   *platform.Store
	granter *platform.Granter
	pool    *relay.Pool
	alive   *alive.Set
	owners  *keys.Owners
	log     zerolog.Logger
	leaving func() bool
	// hold is the time for which keys are granted.
	hold time.Duration

	cancel context.CancelFunc
	group  sync.WaitGroup

	mu sync.Mutex
	// row is the assignment that this instance wrote last; nil unless it is the
	// keeper.
	row     *schema.KeyMap
	version platform.Version
	// tenure counts the times that this instance became the keeper.
	tenure int
	// confirmed is when the call was sent that last showed the row as ours.
	confirmed clock.Time
	// confirming is set while the row is read.
	confirming bool
	// failing is when the first of the calls to the store was sent that have
	// failed in a row; 0 if the last one was answered.
	failing clock.Time
	// answeredAt is when the store last answered a call; 0 if it never did.
	answeredAt clock.Time
	// holds tells until when each target may hold keys, by its run.
	holds map[owner]*holding
	// moving is set while keys are being moved. paused holds the keys that move: a
	// range with any of them is not renewed meanwhile, also once it was divided.
	moving bool
	paused []*schema.KeyRange
	// writing is the nonce of the write in progress.
	writing uint64
	// raised counts the fences raised since the last write of the row.
	raised uint64
	// fenced is set when a target has seen a higher fence.
	fenced bool
	// predecessorEnd is when the grants of an earlier keeper have run out.
	predecessorEnd clock.Time
	// predecessor and predecessorRun name the run of an instance that may still
	// act as the keeper; empty if there is none.
	predecessor, predecessorRun string
	// askedPredecessor is when it was last asked whether it has stepped down.
	askedPredecessor clock.Time
	asking           bool
	rebalanced       clock.Time
	load             keys.Load
	balancer         keys.Balancer
	// ratings tells how the targets deal with requests, by id.
	ratings map[string]*rating
	watch   watch
}

// owner identifies a run of a target.
type owner struct {
	id   string
	born int64
}

// holding is what is known of the grants to a run of a target.
type holding struct {
	// calls serialises the calls to the target, so that a renewal can't follow
	// a release.
	calls sync.Mutex
	hold  hold.Hold
	// renewed is when the last renewal began.
	renewed clock.Time
	// asked is when the target was last asked to release keys.
	asked clock.Time
	// busy is set while grants are renewed.
	busy bool
}

// Options are the parts that a keeper uses.
type Options struct {
	Service string
	Self    peer.Instance
	Spread  *syncer.Syncer
	Store   *platform.Store
	Granter *platform.Granter
	Pool    *relay.Pool
	Alive   *alive.Set
	Owners  *keys.Owners
	Log     zerolog.Logger
	// MaxHold is the longest time for which targets take keys.
	MaxHold time.Duration
	// Leaving reports whether the instance is shutting down.
	Leaving func() bool
}

// New returns a keeper and starts it.
func New(o Options) *Keeper {
	k := &Keeper{
		service: o.Service, self: o.Self, spread: o.Spread, store: o.Store, granter: o.Granter, pool: o.Pool, alive: o.Alive,
		owners: o.Owners, log: o.Log.With().Str("service", o.Service).Logger(), leaving: o.Leaving, hold: min(usualHold, o.MaxHold),
		holds: map[owner]*holding{}, ratings: map[string]*rating{},
	}
	c, stop := context.WithCancel(context.Background())
	k.cancel = stop
	k.group.Go(func() { clock.Every(c, tick, func() { k.step(c) }) })
	return k
}

// Close ends the work of the keeper and waits for its calls.
func (k *Keeper) Close() error {
	k.cancel()
	k.group.Wait()
	return nil
}

func (k *Keeper) step(c context.Context) {
	// The view is read after the time up to which it is known to be complete.
	confirmed := k.spread.OwnConfirmed()
	v := k.spread.View()
	now := clock.Boot()
	m, known := v.Maps[k.service]
	k.mu.Lock()
	k.compare(confirmed, m, known)
	acting := k.row != nil
	if acting {
		k.shorten(c, now, v)
		k.confirm(c, now)
	}
	authorised := now.Sub(k.confirmed) <= authority
	k.mu.Unlock()
	if !acting {
		k.watchKeeper(c, now, v, m, known)
		return
	}
	if !authorised {
		return
	}
	k.renew(c, now, v)
	k.move(c, now, v)
}

// compare takes over what the store says of the row; the caller holds mu.
func (k *Keeper) compare(confirmed clock.Time, m view.Map, known bool) {
	if k.row == nil || !known || m.Version < k.version {
		return
	}
	if m.Version > k.version && m.Nonce == k.writing {
		// A write in progress has landed; its commit will settle it.
		return
	}
	if m.Version > k.version {
		k.log.Warn().Str("event", "keeper-superseded").Uint64("epoch", k.row.Epoch).Str("by", m.Keeper).Uint64("their-epoch", m.Epoch).Msg("")
		k.row = nil
		return
	}
	k.confirmed = max(k.confirmed, confirmed)
}

// members returns the targets that may own keys; the caller holds mu.
func (k *Keeper) members(now clock.Time, v *view.View) []keys.Member {
	mean := k.meanService(now, v)
	var m []keys.Member
	for _, t := range v.Services[k.service] {
		if !t.Leaving {
			m = append(m, keys.Member{ID: t.ID, Born: t.Born, Weight: k.rating(t.ID).capacity(now, t.Slots, mean)})
		}
	}
	return m
}

// meanService returns the mean service time of the targets; the caller holds mu.
func (k *Keeper) meanService(now clock.Time, v *view.View) time.Duration {
	var sum time.Duration
	n := 0
	for _, t := range v.Services[k.service] {
		if r := k.rating(t.ID); r.fresh(now) {
			sum += r.service
			n++
		}
	}
	if n == 0 {
		return assumedService
	}
	return sum / time.Duration(n)
}

// holding returns the record of a run of a target; the caller holds mu.
func (k *Keeper) holding(r *schema.KeyRange) *holding {
	o := owner{r.Target, r.Born}
	h := k.holds[o]
	if h == nil {
		h = &holding{}
		k.holds[o] = h
	}
	return h
}

// renew renews the grants that are due.
func (k *Keeper) renew(c context.Context, now clock.Time, v *view.View) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.row == nil {
		return
	}
	due := map[owner][]*schema.KeyRange{}
	for _, r := range k.row.Ranges {
		t := v.Targets[r.Target]
		if t == nil || t.Born != r.Born || t.Service != k.service || k.isPaused(r) {
			continue
		}
		if h := k.holding(r); !h.busy && !h.hold.HasEnded() && now.Sub(h.renewed) >= k.hold/renewals {
			due[owner{r.Target, r.Born}] = append(due[owner{r.Target, r.Born}], r)
		}
	}
	for o, rs := range due {
		h := k.holds[o]
		h.busy, h.renewed = true, now
		at := v.Targets[o.id].Endpoint()
		k.group.Go(func() { k.renewTarget(c, h, at, rs) })
	}
}
