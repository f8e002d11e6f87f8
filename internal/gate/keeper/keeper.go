// Package keeper grants the keys of a service to its targets. Each service has
// one instance that does so, its keeper. A row in the store holds the
// assignment of keys and names the keeper; every write of the row is
// conditional on its version.
//
// A keeper acts only while a read or write sent less than authority ago has
// shown that the row is still its own. A successor raises the fences of all
// keys, so that every target that it reaches refuses the predecessor. It
// reassigns no keys of the other targets before the predecessor's authority and
// its last grants have expired.
package keeper

import (
	"context"
	"slices"
	"sync"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/gate/guard"
	"dandelionrock.example/dandelionrock/internal/gate/meter"
	"dandelionrock.example/dandelionrock/internal/plan/hold"
	"dandelionrock.example/dandelionrock/internal/plan/keys"
	"dandelionrock.example/dandelionrock/internal/plan/realm"
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
	// tick is the interval between steps of a keeper.
	tick = 100 * time.Millisecond
	// defaultHold is the hold time of grants unless targets accept only less.
	// The keys of a lost target are out of service for this time.
	defaultHold = 3 * time.Second
	// renewalsPerHold is the number of renewals within a hold time; all but one
	// may be lost.
	renewalsPerHold = 4
	// authority is how long a keeper acts without confirmation from the store.
	// Together with the last grants, which outlast it, it covers a store outage
	// of ten seconds. If a target is lost together with its keeper, its keys
	// wait until this time has passed.
	authority = 8 * time.Second
	// confirmInterval is the time between a keeper's reads of its row. The
	// shorter it is, the longer is the outage that authority covers.
	confirmInterval = time.Second
	// releaseTimeout bounds one release including the grants that raise the
	// fence before it. A target answers a release only when its requests in
	// progress have ended.
	releaseTimeout = 2500 * time.Millisecond
	// goneReleaseTimeout bounds the release of a target that is gone from the
	// store.
	goneReleaseTimeout = 800 * time.Millisecond
	// rebalanceInterval is the time between plans for balancing the load.
	rebalanceInterval = time.Second
	// Without hot ranges, a plan for balance has at most minMoveLimit moves, or one for each
	// targetsPerMove targets if that is more: each move makes requests for some
	// keys wait.
	minMoveLimit   = 6
	targetsPerMove = 8
)

// Keeper runs on each instance for one service. It grants the keys of the
// service while the instance is its keeper, and watches the keeper otherwise.
// Use New.
type Keeper struct {
	service string
	self    peer.Instance
	syncer  *syncer.Syncer
	store   *platform.Store
	granter *platform.Granter
	pool    *relay.Pool
	alive   *alive.Set
	owners  *keys.Owners
	log     zerolog.Logger
	leaving func() bool
	region  func(failureDomain string) string
	guard   *guard.Guard
	meter   *meter.Meter
	// hold is the hold time of grants.
	hold time.Duration

	cancel context.CancelFunc
	group  sync.WaitGroup

	// commitMu is held during a write of the row for moves. It is taken before mu.
	commitMu sync.Mutex

	mu sync.Mutex
	// row is the assignment that this instance wrote last; nil unless it is the
	// keeper.
	row     *schema.KeyMap
	version platform.Version
	// takeovers counts how often this instance became the keeper.
	takeovers int
	// confirmed is the send time of the latest call that showed the row as this
	// instance's own.
	confirmed clock.Time
	// confirming is set while a read of the row is in progress.
	confirming bool
	// failingSince is the send time of the first in the current run of failed
	// calls to the store; 0 if the last call was answered.
	failingSince clock.Time
	// answeredAt is when the store last answered a call; 0 if it never did.
	answeredAt clock.Time
	// grantStates records the grants of each target, by its id.
	grantStates map[string]*grantState
	// planning is set while moves are planned, without mu.
	planning bool
	// changes counts the changes of the assignment that are in progress. paused
	// holds their moves: a range that overlaps any of them is not renewed meanwhile,
	// even after the range was split, and does not move again.
	changes int
	paused  []keys.Move
	// rewriting is set while all fences are raised, and no other change is in progress.
	rewriting bool
	// writeNonce is the nonce of the write in progress.
	writeNonce uint64
	// raisedFences counts the fences raised since the row was last written.
	raisedFences uint64
	// fenceRefused is set when a target has refused a grant because it has seen
	// a higher fence.
	fenceRefused bool
	// predecessorEnd is when the last grants of earlier keepers have expired.
	predecessorEnd clock.Time
	// quietUntil is when the keeper may begin to grant keys; see awaitGrants.
	quietUntil clock.Time
	// yielded holds the instances that have answered since awaitGrants that they don't
	// keep the service; nil if the wait can't be shortened.
	yielded map[string]bool
	// era is the highest era of the store that is known, eraSince when it was first
	// seen, and firstEra the first one that was known.
	era, firstEra platform.Era
	eraSince      clock.Time
	// steppedAt is when the last step began, and pausedAt when the instance was last
	// found to have stood still; 0 if it was not.
	steppedAt, pausedAt clock.Time
	// predecessor and predecessorRun are the instance id and the incarnation of
	// a keeper that may still act; empty if there is none.
	predecessor, predecessorRun string
	// predecessorPingedAt is when the predecessor was last asked whether it has
	// stepped down.
	predecessorPingedAt clock.Time
	pingingPredecessor  bool
	rebalancedAt        clock.Time
	load                keys.Load
	// balancer is used by the plan in progress.
	balancer balancer
	// ratings holds the measured performance of the targets, by id.
	ratings map[string]*rating
	watch   watch
}

// grantState records the grants to a target, whichever of its runs receives them.
type grantState struct {
	// callMu serialises the calls to the target, so that a renewal can't follow
	// a release.
	callMu sync.Mutex
	hold   hold.Hold
	// renewedAt is when the last renewal began.
	renewedAt clock.Time
	// releaseAskedAt is when the target was last asked to release keys.
	releaseAskedAt clock.Time
	// renewing is set while a renewal is in progress.
	renewing bool
}

// balancer plans moves that balance the load; see keys.Balancer.
type balancer interface {
	Plan(r, coming keys.Ranges, m []keys.Member, l *keys.Rates, maxMoves int) []keys.Move
}

// Options are the dependencies and settings of a keeper.
type Options struct {
	Service string
	Self    peer.Instance
	Syncer  *syncer.Syncer
	Store   *platform.Store
	Granter *platform.Granter
	Pool    *relay.Pool
	Alive   *alive.Set
	Owners  *keys.Owners
	Log     zerolog.Logger
	// Guard recovers from panics.
	Guard *guard.Guard
	Meter *meter.Meter
	// MaxHold is the longest hold time that targets accept.
	MaxHold time.Duration
	// Region returns the region of a failure domain, or "" if it is not known.
	Region func(failureDomain string) string
	// Leaving reports whether the instance is shutting down.
	Leaving func() bool
}

// New returns a Keeper and starts its steps.
func New(o Options) *Keeper {
	k := &Keeper{
		service: o.Service, self: o.Self, syncer: o.Syncer, store: o.Store, granter: o.Granter, pool: o.Pool, alive: o.Alive,
		owners: o.Owners, log: o.Log.With().Str("service", o.Service).Logger(), leaving: o.Leaving, region: o.Region, guard: o.Guard, meter: o.Meter, hold: min(defaultHold, o.MaxHold),
		grantStates: map[string]*grantState{}, ratings: map[string]*rating{}, balancer: &keys.Balancer{},
	}
	c, stop := context.WithCancel(context.Background())
	k.cancel = stop
	k.run(func() { clock.Every(c, tick, func() { k.step(c) }) })
	return k
}

// Close stops the steps and waits for the calls in progress. The error is
// always nil.
func (k *Keeper) Close() error {
	k.cancel()
	k.group.Wait()
	return nil
}

func (k *Keeper) step(c context.Context) {
	// The confirmation time is read before the view, so that the view is
	// complete up to that time.
	confirmed := k.syncer.OwnConfirmed()
	v := k.syncer.View()
	now := clock.Boot()
	m, known := v.Maps[k.service]
	k.mu.Lock()
	k.noteEra(now)
	k.notePause(now)
	k.reconcile(confirmed, m, known)
	isKeeper := k.row != nil
	if isKeeper {
		k.checkPredecessor(c, now, v)
		k.askAll(c, now, v)
		k.confirmIfDue(c, now)
	}
	authorised := now.Sub(k.confirmed) <= authority && now >= k.quietUntil
	k.mu.Unlock()
	if !isKeeper {
		k.watchKeeper(c, now, v, m, known)
		return
	}
	k.rewrite(c, now)
	if !authorised {
		return
	}
	k.renew(c, now, v)
	k.move(c, now, v)
}

// reconcile compares the row with the view: one with a higher epoch, of another
// writer, ends this instance's role as keeper, and the row itself confirms it, unless
// the store may have lost it. The caller holds mu.
func (k *Keeper) reconcile(confirmed clock.Time, m view.Map, known bool) {
	if k.row == nil || !known {
		return
	}
	if m.Epoch > k.row.Epoch {
		if m.Nonce == k.writeNonce {
			// The write in progress was applied; commit will see its result.
			return
		}
		k.log.Warn().Str("event", "keeper-superseded").Uint64("epoch", k.row.Epoch).Str("by", m.Keeper).Uint64("their-epoch", m.Epoch).Msg("")
		k.row = nil
		return
	}
	if m.Version == k.version && k.era <= eraOf(k.row.Epoch) {
		k.confirmed = max(k.confirmed, confirmed)
	}
}

// members returns the targets that may own keys, weighted by their capacity.
// The caller holds mu.
func (k *Keeper) members(now clock.Time, v *view.View) []keys.Member {
	mean := k.meanServiceTime(now, v)
	var open []*platform.Target
	for _, t := range v.Services[k.service] {
		if t.Open() {
			open = append(open, t)
		}
	}
	var m []keys.Member
	for _, t := range realm.Prefer(k.realm(v), open, func(t *platform.Target) string { return k.region(t.FailureDomain) }) {
		m = append(m, keys.Member{ID: t.ID, Born: t.Born, Weight: k.rating(t.ID).capacity(now, t.Slots, mean)})
	}
	return m
}

// realm returns the regions to which requests of all routes to the service are permitted.
func (k *Keeper) realm(v *view.View) realm.Realm {
	if v.Desired == nil {
		return realm.Realm{}
	}
	var homes [][]string
	for _, r := range v.Desired.Routes {
		if slices.ContainsFunc(r.Split, func(s platform.WeightedService) bool { return s.Service == k.service }) {
			homes = append(homes, r.Homes)
		}
	}
	return realm.Of(homes...)
}

// meanServiceTime returns the mean service time of the targets, or
// defaultServiceTime if none is known. The caller holds mu.
func (k *Keeper) meanServiceTime(now clock.Time, v *view.View) time.Duration {
	var sum time.Duration
	n := 0
	for _, t := range v.Services[k.service] {
		if r := k.rating(t.ID); r.fresh(now) {
			sum += r.serviceTime
			n++
		}
	}
	if n == 0 {
		return defaultServiceTime
	}
	return sum / time.Duration(n)
}

// grantState returns the record of the owner of a range, which it creates if
// needed. The caller holds mu.
func (k *Keeper) grantState(r *schema.KeyRange) *grantState {
	h := k.grantStates[r.Target]
	if h == nil {
		h = &grantState{}
		k.grantStates[r.Target] = h
	}
	return h
}

// renew starts the renewals that are due, in one goroutine for each owner.
func (k *Keeper) renew(c context.Context, now clock.Time, v *view.View) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.row == nil {
		return
	}
	due := map[string][]*schema.KeyRange{}
	for _, r := range k.row.Ranges {
		t := v.Targets[r.Target]
		if t == nil || t.Born != r.Born || t.Service != k.service || k.isPaused(r) {
			continue
		}
		if h := k.grantState(r); !h.renewing && !h.hold.HasEnded(r.Born) && now.Sub(h.renewedAt) >= k.hold/renewalsPerHold {
			due[r.Target] = append(due[r.Target], r)
		}
	}
	for id, rs := range due {
		h := k.grantStates[id]
		h.renewing, h.renewedAt = true, now
		at := v.Targets[id].Endpoint()
		k.run(func() { k.renewTarget(c, h, at, rs) })
	}
}

// run runs f in the background. After a panic the keeper no longer knows which grants
// it has sent, so that the instance leaves and another one takes over.
func (k *Keeper) run(f func()) { k.group.Go(func() { k.guard.Once("keeper", f) }) }
