package group

import (
	"maps"
	"sync"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/plan/hazard"
	"dandelionrock.example/dandelionrock/internal/plan/pool"
	"dandelionrock.example/dandelionrock/internal/plan/quota"
	"dandelionrock.example/dandelionrock/internal/state/view"
	"dandelionrock.example/dandelionrock/platform"
)

// assumedWarmup is the time for which targets are taken to be cold after their failure
// domain is taken back, unless they say otherwise. In it, their rows arrive.
const assumedWarmup = 2500 * time.Millisecond

// reopened records when evacuated failure domains were taken back. The zero value is
// empty. It is safe for concurrent use.
type reopened struct {
	mu sync.Mutex
	// evacuated holds the failure domains that are evacuated.
	evacuated map[string]bool
	at        map[string]clock.Time
}

// follow records the evacuations of a view.
func (r *reopened) follow(now clock.Time, v *view.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for d := range r.evacuated {
		if !v.Evacuated[d] {
			if r.at == nil {
				r.at = map[string]clock.Time{}
			}
			r.at[d] = now
		}
	}
	r.evacuated = v.Evacuated
}

// since returns when a failure domain was last taken back; 0 if it never was.
func (r *reopened) since(domain string) clock.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.at[domain]
}

// FollowView records changes of a view that concern all groups.
func (h *Homes) FollowView(v *view.View) { h.reopened.follow(clock.Boot(), v) }

// updateTargets takes the targets of a group from a view. The caller holds the group's
// mu.
func (h *Homes) updateTargets(g *home, now clock.Time, v *view.View) {
	if g.view == v {
		return
	}
	h.reopened.follow(now, v)
	g.view = v
	g.targets = map[string]*platform.Target{}
	var ts []pool.Target
	for _, t := range v.Services[g.id.Service] {
		if !t.Open() || g.id.Target != "" && t.ID != g.id.Target || g.id.Target == "" && t.FailureDomain != g.id.FailureDomain {
			continue
		}
		g.targets[t.ID] = t
		ts = append(ts, pool.Target{ID: t.ID, Slots: t.Slots, Cold: t.Cold, Born: t.Born})
	}
	g.pool.SetTargets(ts)
	rate := warmupRate(v, g.id.Service)
	g.pool.SetWarmup(now, rate)
	if rate != quota.Unlimited {
		h.assumeCold(g, now)
	}
	maps.DeleteFunc(g.crashes, func(n hazard.Run, _ *crash) bool { t := g.targets[n.Target]; return t == nil || t.Born != n.Born })
}

// assumeCold takes the targets of a group, which are in one failure domain, to be cold if
// the domain has just been taken back.
func (h *Homes) assumeCold(g *home, now clock.Time) {
	for _, t := range g.targets {
		at := h.reopened.since(t.FailureDomain)
		if at == g.reopened {
			return
		}
		if left := at.Add(assumedWarmup).Sub(now); left > 0 {
			for id, t := range g.targets {
				g.pool.SetCold(now, id, t.Born, left)
			}
		}
		g.reopened = at
		return
	}
}

// warmupRate returns the rate of requests that each cold target of a service takes.
func warmupRate(v *view.View, service string) quota.Rate {
	if v.Desired == nil || v.Desired.Services[service].WarmupRate == 0 {
		return quota.Unlimited
	}
	return quota.Rate(v.Desired.Services[service].WarmupRate)
}
