package group

import (
	"context"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/gate/sender"
	"dandelionrock.example/dandelionrock/internal/gate/warden"
	"dandelionrock.example/dandelionrock/internal/plan/hazard"
	"dandelionrock.example/dandelionrock/internal/plan/pool"
	"dandelionrock.example/dandelionrock/internal/plan/quota"
	"dandelionrock.example/dandelionrock/platform"
	"dandelionrock.example/dandelionrock/schema"
	"github.com/cockroachdb/errors"
)

// execution is a request that a run of a target executes.
type execution struct {
	run hazard.Run
	warden.Victim
}

// begin records that a target executes a request, and returns the target, or nil if it is
// no longer one of the group.
func (g *home) begin(id pool.ID, target string, q *schema.SendRequest) (*platform.Target, hazard.Run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.targets[target]
	if t == nil {
		return nil, hazard.Run{}
	}
	run := hazard.Run{Target: t.ID, Born: t.Born}
	g.running[id] = execution{run, warden.Victim{Identity: q.Identity, Again: q.Suspect}}
	return t, run
}

// execute sends a request to a target and reports the result to the pool.
func (h *Homes) execute(c context.Context, g *home, r pool.Request, target string, q *schema.SendRequest, a *schema.SendReply, end clock.Time) {
	t, run := g.begin(r.ID, target, q)
	if t == nil {
		// The target has ended since the decision.
		a.Outcome, a.Reason, a.Target = schema.SendOutcome_SEND_OUTCOME_UNREACHABLE, "target-gone", target
		return
	}
	begin := clock.Boot()
	result, err := pool.Cancelled, error(nil)
	defer func() {
		now := clock.Boot()
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.running, r.ID)
		if r.Suspect {
			g.pool.DoneSuspect(t.ID, t.Born)
		}
		g.pool.Done(now, t.ID, t.Born, now.Sub(begin), result)
		h.updateTargets(g, now, h.views.View())
		g.deliverDecisions(now)
	}()
	a.Target = t.ID
	if c.Err() != nil {
		a.Outcome, a.Reason = schema.SendOutcome_SEND_OUTCOME_REFUSED, pool.ReasonExpired
		return
	}
	// A request that is not idempotent is awaited even if its client has
	// disconnected, since it still occupies one of the target's slots.
	if !q.Idempotent {
		c = h.ending
	}
	m := &sender.Request{
		Method: q.Method, URI: q.Uri, Host: q.Host, Headers: q.Headers, Body: q.Body, Attempt: q.AttemptId,
		End: time.Now().Add(end.Sub(begin)),
	}
	var w *sender.Response
	w, err = h.connections.Do(c, sender.Target{ID: t.ID, Born: t.Born, Address: t.Address}, m)
	result = classify(c, w, err, a)
	if h.ending.Err() != nil && a.Outcome == schema.SendOutcome_SEND_OUTCOME_UNKNOWN {
		a.Reason = ReasonLeaving
	}
	if w != nil {
		h.recordLoad(g, q, t, w)
		h.recordLimit(g, q, t, w)
		h.recordRetryAfter(g, q, t, w)
		if platform.Leaves(w.Header) {
			h.leaves(t.ID, t.Born)
		}
	}
	if w != nil && !w.NotRun {
		h.warden.Answered(q.Identity)
	}
	if errors.Is(err, sender.ErrConnectionLost) {
		a.Crashed, a.Accused = h.hasCrashed(g, t, run, q.Identity)
	}
	h.meter.Target(q.Service, a.Outcome.String(), clock.Boot().Sub(begin))
	if result != pool.Answered {
		h.log.Info().Str("event", "target-failed").Str("request", q.AttemptId).Str("service", q.Service).Str("target", t.ID).
			Str("outcome", a.Outcome.String()).Int32("status", a.Status).Dur("took", clock.Boot().Sub(begin)).Err(err).Msg("")
	}
}

// classify sets the outcome of a request from the target's answer or error, and
// returns the result for the pool.
func classify(c context.Context, w *sender.Response, err error, a *schema.SendReply) pool.Result {
	switch {
	case errors.Is(err, sender.ErrNotSent):
		a.Outcome, a.Reason = schema.SendOutcome_SEND_OUTCOME_UNREACHABLE, "target-unreachable"
		return pool.Unreachable
	case err != nil:
		a.Outcome, a.Reason = schema.SendOutcome_SEND_OUTCOME_UNKNOWN, "no-answer"
		if errors.Is(c.Err(), context.Canceled) {
			return pool.Cancelled
		}
		return pool.Failed
	}
	a.Status, a.Body = int32(w.Status), w.Body
	if w.NotRun {
		a.Outcome, a.Reason = schema.SendOutcome_SEND_OUTCOME_REJECTED, "target-rejected"
		return pool.Rejected
	}
	ok := w.Status >= 200 && w.Status < 300
	if ok && w.Header.Get(platform.HeaderDigest) == "" {
		a.Outcome, a.Reason = schema.SendOutcome_SEND_OUTCOME_UNKNOWN, "no-digest"
		return pool.Failed
	}
	a.Outcome = schema.SendOutcome_SEND_OUTCOME_ANSWERED
	for k, vs := range w.Header {
		for _, v := range vs {
			a.Headers = append(a.Headers, &schema.HeaderField{Name: k, Value: v})
		}
	}
	if w.Status >= 500 {
		return pool.Failed
	}
	return pool.Answered
}

// recordLimit records the limit that a target names in a response. A rejection
// without a limit is no sign that the limit is lifted, since a target may send it
// without consulting its load.
func (h *Homes) recordLimit(g *home, q *schema.SendRequest, t *platform.Target, w *sender.Response) {
	n, err := platform.LimitOf(w.Header)
	if err != nil {
		h.log.Warn().Str("event", "limit-ignored").Str("request", q.AttemptId).Str("target", t.ID).Err(err).Msg("")
		return
	}
	r := quota.Rate(n)
	if r == quota.Unlimited && w.NotRun {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if l, changed := g.pool.SetLimit(clock.Boot(), t.ID, t.Born, r); changed {
		h.log.Info().Str("event", "target-limit").Str("request", q.AttemptId).Str("service", q.Service).Str("target", t.ID).
			Bool("limited", r != quota.Unlimited).Float64("rate", float64(r)).Int("recent", l.Recent).
			Float64("used", l.Use.Used).Float64("unused", l.Use.Unused).Msg("")
		h.meter.LimitUse(q.Service, l.Use.Used, l.Use.Unused)
	}
}

// recordRetryAfter records for how long a target wants no requests from this instance.
func (h *Homes) recordRetryAfter(g *home, q *schema.SendRequest, t *platform.Target, w *sender.Response) {
	d, err := platform.RetryAfterOf(w.Status, w.Header)
	if err != nil {
		h.log.Warn().Str("event", "retry-after-ignored").Str("request", q.AttemptId).Str("target", t.ID).Err(err).Msg("")
		return
	}
	if d > 0 {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.pool.Bar(clock.Boot(), t.ID, t.Born, d)
	}
}
