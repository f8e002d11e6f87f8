package group

import (
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/gate/depot"
	"dandelionrock.example/dandelionrock/internal/gate/meter"
	"dandelionrock.example/dandelionrock/internal/gate/sender"
	"dandelionrock.example/dandelionrock/internal/plan/pool"
	"dandelionrock.example/dandelionrock/internal/state/view"
	"dandelionrock.example/dandelionrock/platform"
	"github.com/rs/zerolog"
)

// Guards against a request that waits on for the end of a slow spell after a check of the
// target has shown it, and against targets that aren't checked while requests wait for them.
func TestCheckEndsSlowSpell(t *testing.T) {
	v := fixedView{view.Empty()}
	target := &platform.Target{ID: "t", Service: "terms", FailureDomain: "a1", Slots: 1}
	v.v.Services = map[string][]*platform.Target{"terms": {target}}
	m := meter.New(zerolog.Nop())
	defer m.Close()
	h := New(v, sender.New(depot.New()), nil, nil, zerolog.Nop(), m)
	id := ID{Service: "terms", FailureDomain: "a1"}
	g := h.home(id)
	now := clock.Boot()
	h.updateTargets(g, now, v.v)
	for d := 2 * time.Second; d > 0; d -= 100 * time.Millisecond {
		g.pool.State(now.Add(-d), "t", 0, 1)
		g.pool.Done(now.Add(-d), "t", 0, 2*time.Second, pool.Answered)
	}
	g.pool.State(now, "t", 0, 3)
	d, wait := h.offer(g, now, v.v, pool.Request{ID: 1, Begin: now, Objective: now.Add(time.Minute), Deadline: now.Add(time.Minute)}, nil)
	if d.Verdict != pool.Wait {
		t.Fatalf("in a slow spell: %+v", d)
	}
	held := h.Held()
	if len(held) != 1 || held[0].Target != target || held[0].Group != id {
		t.Fatalf("Held() = %v", held)
	}
	h.Checked(held[0], platform.Health{HasLoad: true, Load: platform.Load{Slots: 1, Pace: 1}})
	select {
	case d := <-wait:
		if d.Verdict != pool.Start {
			t.Errorf("after the spell: %+v", d)
		}
	default:
		t.Error("the request waits on after a check has shown the end of the spell")
	}
	if held := h.Held(); len(held) != 0 {
		t.Errorf("Held() = %v after the spell", held)
	}
}
