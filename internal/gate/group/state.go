package group

import (
	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/gate/sender"
	"dandelionrock.example/dandelionrock/internal/plan/pace"
	"dandelionrock.example/dandelionrock/internal/plan/pool"
	"dandelionrock.example/dandelionrock/platform"
	"dandelionrock.example/dandelionrock/schema"
)

// Member is a target of a group.
type Member struct {
	Group  ID
	Target *platform.Target
}

// Held returns the targets in slow spells, for whose end requests wait.
func (h *Homes) Held() []Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := clock.Boot()
	var out []Member
	for _, g := range h.groups {
		out = g.appendHeld(now, out)
	}
	return out
}

func (g *home) appendHeld(now clock.Time, out []Member) []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, id := range g.pool.Held(now) {
		if t := g.targets[id]; t != nil {
			out = append(out, Member{g.id, t})
		}
	}
	return out
}

// Checked records what a target has answered to a check: for how long it stays cold, and its
// pace.
func (h *Homes) Checked(m Member, a platform.Health) {
	g, t := h.home(m.Group), m.Target
	now := clock.Boot()
	g.mu.Lock()
	h.updateTargets(g, now, h.views.View())
	changed := g.pool.SetCold(now, t.ID, t.Born, a.Cold)
	g.mu.Unlock()
	if changed {
		h.log.Info().Str("event", "target-cold").Str("service", m.Group.Service).Str("target", t.ID).Bool("cold", a.Cold > 0).Dur("left", a.Cold).Msg("")
		h.meter.Cold(m.Group.Service, a.Cold > 0)
	}
	if a.HasLoad && a.Load.Pace != 0 {
		h.recordPace(g, t, a.Load.Pace)
	}
}

// recordLoad records the load that a target states in a response.
func (h *Homes) recordLoad(g *home, q *schema.SendRequest, t *platform.Target, w *sender.Response) {
	l, ok, err := platform.LoadOf(w.Header)
	if err != nil {
		h.log.Warn().Str("event", "load-ignored").Str("request", q.AttemptId).Str("target", t.ID).Err(err).Msg("")
		return
	}
	if ok && l.Pace != 0 {
		h.recordPace(g, t, l.Pace)
	}
}

// recordPace records the pace that a target states, and starts the requests that waited for
// the end of a slow spell.
func (h *Homes) recordPace(g *home, t *platform.Target, factor float64) {
	now := clock.Boot()
	g.mu.Lock()
	p, changed := g.pool.State(now, t.ID, t.Born, pace.Factor(factor))
	if changed && !p.Slow {
		g.deliverDecisions(now)
	}
	g.mu.Unlock()
	if changed {
		h.log.Debug().Str("event", "target-pace").Str("service", g.id.Service).Str("target", t.ID).Float64("factor", factor).
			Bool("slow", p.Slow).Bool("held", p.Held).Bool("lies", p.Lies).Dur("mean", p.Mean).Msg("")
		h.meter.Pace(g.id.Service, p.Slow, p.Held)
	}
}

// State tells how a group is served.
type State struct {
	Group ID
	// Running and Waiting count the requests at the targets and those that wait for them.
	Running, Waiting int
	Reduced          []pool.Reduced
}

// States returns the states of all groups to which this instance has sent requests.
func (h *Homes) States() []State {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := clock.Boot()
	var out []State
	for _, g := range h.groups {
		g.mu.Lock()
		out = append(out, State{g.id, len(g.running), len(g.waiting), g.pool.Reduced(now)})
		g.mu.Unlock()
	}
	return out
}
