// Package group implements the home of groups of targets: the one instance that
// sends their requests. A group consists of the targets of a service in one
// failure domain or, if the service owns keys, of one target.
package group

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/gate/meter"
	"dandelionrock.example/dandelionrock/internal/gate/sender"
	"dandelionrock.example/dandelionrock/internal/gate/warden"
	"dandelionrock.example/dandelionrock/internal/plan/hazard"
	"dandelionrock.example/dandelionrock/internal/plan/pool"
	"dandelionrock.example/dandelionrock/internal/plan/quota"
	"dandelionrock.example/dandelionrock/internal/state/view"
	"dandelionrock.example/dandelionrock/platform"
	"dandelionrock.example/dandelionrock/schema"
	"github.com/rs/zerolog"
)

// Reasons for which a home refuses all requests, so that another instance is to be
// the home.
const (
	// ReasonLeaving states that the home is shutting down.
	ReasonLeaving = "home-leaving"
	// ReasonStarting states that the home has just started and may not know all
	// targets yet.
	ReasonStarting = "home-starting"
	// ReasonUnqueued states that the entry has taken the request out of the queue.
	ReasonUnqueued = "unqueued"
)

// Unavailable reports whether a reason for a refusal is one for which another
// instance is to be the home.
func Unavailable(reason string) bool { return reason == ReasonLeaving || reason == ReasonStarting }

// ID identifies a group.
type ID struct{ Service, FailureDomain, Target string }

// IDOf returns the group of a target of a service.
func IDOf(s platform.Service, t *platform.Target) ID {
	if s.Keyed {
		return ID{Service: s.Name, Target: t.ID}
	}
	return ID{Service: s.Name, FailureDomain: t.FailureDomain}
}

// Name returns the name by which the home of the group is chosen.
func (k ID) Name() string { return k.Service + "/" + k.FailureDomain + "/" + k.Target }

// Views provides the current view.
type Views interface{ View() *view.View }

// Homes executes requests for the groups whose home this instance is. Use New.
type Homes struct {
	views       Views
	connections *sender.Pool
	warden      *warden.Warden
	// leaves is called when a run of a target says that it leaves.
	leaves func(target string, born int64)
	log    zerolog.Logger
	meter  *meter.Meter

	// ending ends when the requests in progress are to be ended.
	ending context.Context
	end    context.CancelFunc

	mu     sync.Mutex
	next   pool.ID
	groups map[ID]*home
	calls  map[call]sending
	// reopened holds when evacuated failure domains were taken back.
	reopened reopened
	wg       sync.WaitGroup
}

// sending is a request that an entry has sent.
type sending struct {
	stop context.CancelFunc
	home *home
	id   pool.ID
}

// call identifies a request by the instance that is its entry and the number
// that the entry gave it.
type call struct {
	entry  string
	number uint64
}

// home is the state of one group. mu guards the fields after it.
type home struct {
	id   ID
	mu   sync.Mutex
	pool pool.Pool
	// view is the view from which the pool's targets were taken.
	view    *view.View
	targets map[string]*platform.Target
	waiting map[pool.ID]chan pool.Decision
	// running holds the requests that are being executed.
	running map[pool.ID]execution
	// crashes holds the runs of targets that may have crashed.
	crashes map[hazard.Run]*crash
	// reopened is when the failure domain was last taken back after an evacuation, as far
	// as its targets are taken to be cold since.
	reopened clock.Time
}

// New returns Homes without groups. They call leaves when a run of a target says in a
// response that it leaves.
func New(v Views, l *sender.Pool, w *warden.Warden, leaves func(target string, born int64), g zerolog.Logger, m *meter.Meter) *Homes {
	h := &Homes{views: v, connections: l, warden: w, leaves: leaves, log: g, meter: m, groups: map[ID]*home{}, calls: map[call]sending{}}
	h.ending, h.end = context.WithCancel(context.Background())
	return h
}

// EndRequests ends the requests in progress, because the instance is about to end. Their
// entries are told so while they can be.
func (h *Homes) EndRequests() { h.end() }

// Close waits for the requests in progress. The error is always nil.
func (h *Homes) Close() error {
	h.wg.Wait()
	return nil
}

// Busy returns the number of requests in progress.
func (h *Homes) Busy() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.calls)
}

// Send executes a request of another instance or of this one.
func (h *Homes) Send(q *schema.SendRequest, a *schema.SendReply) error {
	c, stop := context.WithTimeout(h.ending, time.Duration(q.LeftMs)*time.Millisecond)
	defer stop()
	n := call{q.Entry, q.Call}
	g := h.home(ID{q.Service, q.FailureDomain, q.Target})
	h.mu.Lock()
	h.next++
	id := h.next
	h.calls[n] = sending{stop, g, id}
	h.wg.Add(1)
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		delete(h.calls, n)
		h.mu.Unlock()
		h.wg.Done()
	}()
	h.run(c, g, id, q, a)
	g.addLoad(a)
	return nil
}

// Withdraw cancels a request whose client has disconnected.
func (h *Homes) Withdraw(q *schema.WithdrawRequest, _ *schema.Empty) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s, ok := h.calls[call{q.Entry, q.Call}]; ok {
		s.stop()
	}
	return nil
}

// Unqueue refuses a request if it waits. One that is being executed goes on. The error is
// always nil.
func (h *Homes) Unqueue(q *schema.WithdrawRequest, _ *schema.Empty) error {
	h.mu.Lock()
	s, ok := h.calls[call{q.Entry, q.Call}]
	h.mu.Unlock()
	if ok {
		s.home.refuse(s.id, ReasonUnqueued)
	}
	return nil
}

// RefuseOthers refuses the requests of instances other than self that wait, because this
// instance is shutting down: the next home can run them for longer.
func (h *Homes) RefuseOthers(self string) {
	h.mu.Lock()
	var others []sending
	for k, s := range h.calls {
		if k.entry != self {
			others = append(others, s)
		}
	}
	h.mu.Unlock()
	for _, s := range others {
		s.home.refuse(s.id, ReasonLeaving)
	}
}

// RefuseWaiting refuses all requests that wait, because this instance is shutting down.
func (h *Homes) RefuseWaiting() {
	h.mu.Lock()
	gs := slices.Collect(maps.Values(h.groups))
	h.mu.Unlock()
	for _, g := range gs {
		g.mu.Lock()
		ids := slices.Collect(maps.Keys(g.waiting))
		g.mu.Unlock()
		for _, id := range ids {
			g.refuse(id, ReasonLeaving)
		}
	}
}

func (h *Homes) home(k ID) *home {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.groups[k]
	if g == nil {
		g = &home{id: k, waiting: map[pool.ID]chan pool.Decision{}, running: map[pool.ID]execution{}, crashes: map[hazard.Run]*crash{}}
		h.groups[k] = g
	}
	return g
}

// run passes a request through admission and executes it if it is admitted.
func (h *Homes) run(c context.Context, g *home, id pool.ID, q *schema.SendRequest, a *schema.SendReply) {
	now := clock.Boot()
	end := now.Add(time.Duration(q.LeftMs) * time.Millisecond)
	if b := h.warden.Ban(q.Identity); b != nil {
		a.Outcome, a.Reason, a.RetryMs, a.Ban = schema.SendOutcome_SEND_OUTCOME_REFUSED, warden.Reason, b.LeftMs, b
		return
	}
	r := h.poolRequest(now, id, q)
	d, wait := h.offer(g, now, h.views.View(), r, q.Limits)
	if wait != nil {
		d = g.wait(c, id, wait)
	}
	h.meter.Queue(q.Service, queueOutcome(d), clock.Boot().Sub(now))
	if d.Verdict != pool.Start {
		refuse(a, d)
		return
	}
	h.execute(c, g, r, d.Target, q, a, end)
}

// refuse sets a to the refusal of a request.
func refuse(a *schema.SendReply, d pool.Decision) {
	a.Outcome, a.Reason, a.RetryMs = schema.SendOutcome_SEND_OUTCOME_REFUSED, d.Reason, d.Retry.Milliseconds()
}

// poolRequest returns a request as the pool sees it.
func (h *Homes) poolRequest(now clock.Time, id pool.ID, q *schema.SendRequest) pool.Request {
	return pool.Request{
		ID: id, Suspect: q.Suspect || h.warden.Suspected(q.Identity), Priority: int(q.Priority), Begin: now,
		Objective: now.Add(time.Duration(q.ObjectiveMs) * time.Millisecond), Deadline: now.Add(time.Duration(q.LeftMs) * time.Millisecond), Exclude: q.Exclude,
	}
}

// Preview tells whether a request would be refused now. It has no body, which need not be
// sent then. The outcome of one that would not be is unspecified.
func (h *Homes) Preview(q *schema.SendRequest, a *schema.SendReply) {
	g, now := h.home(ID{q.Service, q.FailureDomain, q.Target}), clock.Boot()
	g.mu.Lock()
	h.updateTargets(g, now, h.views.View())
	g.deliverDecisions(now)
	d := g.pool.Preview(now, h.poolRequest(now, 0, q))
	g.mu.Unlock()
	if d.Verdict == pool.Refuse {
		refuse(a, d)
		h.meter.Queue(q.Service, d.Reason, 0)
	}
	g.addLoad(a)
}

// queueOutcome returns the name of a decision in the metrics.
func queueOutcome(d pool.Decision) string {
	if d.Verdict == pool.Start {
		return "started"
	}
	return d.Reason
}

// offer passes a request to the pool, with the limits that another home has
// reported. If the request has to wait, the channel receives the later decision.
func (h *Homes) offer(g *home, now clock.Time, v *view.View, r pool.Request, limits []*schema.TargetLimit) (pool.Decision, chan pool.Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	h.updateTargets(g, now, v)
	for _, l := range limits {
		g.pool.AdoptLimit(now, l.Target, l.Born, quota.Rate(l.Rate), time.Duration(l.AgeMs)*time.Millisecond)
	}
	g.deliverDecisions(now)
	d := g.pool.Offer(now, r)
	if d.Verdict != pool.Wait {
		return d, nil
	}
	w := make(chan pool.Decision, 1)
	g.waiting[r.ID] = w
	return d, w
}

// deliverDecisions passes the decisions that are due to the waiting requests.
// The caller holds mu.
func (g *home) deliverDecisions(now clock.Time) {
	for _, d := range g.pool.Next(now) {
		if w := g.waiting[d.ID]; w != nil {
			delete(g.waiting, d.ID)
			w <- d
		}
	}
}

// checkInterval is the time between checks of a waiting request for decisions
// that become due without another request arriving or ending: the pause of a
// target is over, or a request has waited too long.
const checkInterval = 50 * time.Millisecond

// wait waits for the decision on a request.
func (g *home) wait(c context.Context, id pool.ID, w chan pool.Decision) pool.Decision {
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for {
		select {
		case d := <-w:
			return d
		case <-t.C:
			g.mu.Lock()
			g.deliverDecisions(clock.Boot())
			g.mu.Unlock()
		case <-c.Done():
			return g.withdraw(id, w)
		}
	}
}

// withdraw removes a waiting request from the pool, unless it was decided
// meanwhile: then it returns the decision.
func (g *home) withdraw(id pool.ID, w chan pool.Decision) pool.Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case d := <-w:
		return d
	default:
	}
	g.pool.Cancel(id)
	delete(g.waiting, id)
	return pool.Decision{ID: id, Verdict: pool.Refuse, Reason: pool.ReasonExpired}
}

// refuse refuses a request if it waits.
func (g *home) refuse(id pool.ID, reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w := g.waiting[id]; w != nil {
		g.pool.Cancel(id)
		delete(g.waiting, id)
		w <- pool.Decision{ID: id, Verdict: pool.Refuse, Reason: reason}
	}
}

// addLoad adds the load of the group to a reply.
func (g *home) addLoad(a *schema.SendReply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.Boot()
	l := g.pool.Load(now)
	a.Load = &schema.GroupLoad{
		Slots: uint32(l.Slots), Running: uint32(l.Running), Waiting: uint32(l.Waiting), ServiceMs: uint32(l.Mean.Milliseconds()),
		WaitMs: uint32(l.Wait.Milliseconds()),
	}
	for _, n := range g.pool.Limits(now) {
		a.Load.Limits = append(a.Load.Limits, &schema.TargetLimit{Target: n.Target, Born: n.Born, Rate: float64(n.Rate)})
	}
}
