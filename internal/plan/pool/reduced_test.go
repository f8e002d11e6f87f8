package pool

import (
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/clock"
)

// Guards against targets that get fewer requests than they have slots and are shown without
// the reason or not at all, and against free ones that are shown.
func TestReduced(t *testing.T) {
	now := clock.Time(time.Hour)
	var p Pool
	p.SetTargets([]Target{{ID: "barred", Slots: 2}, {ID: "cold", Slots: 2}, {ID: "failing", Slots: 2}, {ID: "free", Slots: 2}, {ID: "limited", Slots: 2}, {ID: "slow", Slots: 2}})
	p.SetWarmup(now, 3)
	p.SetCold(now, "cold", 0, time.Minute)
	p.SetLimit(now, "cold", 0, 5)
	p.Bar(now, "barred", 0, time.Minute)
	p.SetLimit(now, "limited", 0, 4)
	p.Done(now, "failing", 0, 0, Unreachable)
	for i := range 40 {
		begin := now.Add(time.Duration(i-40) * 100 * time.Millisecond)
		p.State(begin, "slow", 0, 1)
		p.Done(begin, "slow", 0, 350*time.Millisecond, Answered)
	}
	p.State(now, "slow", 0, 4)
	want := map[string]string{"barred": ReasonBarred, "cold": ReasonWarming, "failing": ReasonFailing, "limited": ReasonLimited, "slow": ReasonSlow}
	got := p.Reduced(now)
	for _, r := range got {
		if r.Reason != want[r.Target] || r.Slots != 2 {
			t.Errorf("%+v, want reason %q", r, want[r.Target])
		}
		if r.Target == "cold" && r.Rate != 3 || r.Target == "limited" && r.Rate != 4 || r.Target == "slow" && r.Mean == 0 {
			t.Errorf("%+v has a wrong rate or service time", r)
		}
	}
	if len(got) != len(want) {
		t.Errorf("%d targets are shown, want %d", len(got), len(want))
	}
}
