package place

import (
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/plan/pool"
)

// Requests of several lengths and times to spare, beside full groups. Guards against
// requests that leave their failure domain or region although they end in time there,
// against those that stay although they would be late, and against long bodies that are
// sent to another region for a short gain.
func TestChoose(t *testing.T) {
	cs := []Candidate{{"s", "far", Far, 4}, {"s", "region", Region, 4}, {"s", "same", Same, 4}}
	load := func(waiting int) *pool.Load {
		return &pool.Load{Slots: 4, Running: 4, Waiting: waiting, Mean: 200 * time.Millisecond}
	}
	for _, c := range []struct {
		name         string
		same, region *pool.Load
		// objective and deadline are in milliseconds.
		objective, deadline, body int
		want                      string
	}{
		{"nothing known", nil, nil, 800, 2000, 0, "same"},
		{"own domain full", load(0), nil, 800, 2000, 0, "region"},
		{"region full", load(8), load(8), 800, 2000, 0, "far"},
		{"short waits everywhere", load(0), load(0), 800, 2000, 0, "same"},
		{"time to spare", load(8), load(8), 3000, 5000, 0, "same"},
		{"late already", load(8), load(8), -1, 5000, 0, "far"},
		{"late with a long body", load(8), load(8), -1, 5000, 60 << 10, "same"},
		{"lost with a long body", load(8), load(8), -1, 500, 60 << 10, "far"},
	} {
		var l Loads
		now := clock.Time(time.Hour)
		for d, v := range map[string]*pool.Load{"same": c.same, "region": c.region} {
			if v != nil {
				l.Begin("s", d)
				l.End(now, "s", d, v)
			}
		}
		after := func(ms int) clock.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
		if got, ok := l.Choose(now, Request{after(c.objective), after(c.deadline), c.body}, cs); !ok || got.Domain != c.want {
			t.Errorf("%s: Choose() = %+v, want %s", c.name, got, c.want)
		}
	}
}

// A request bound to other regions. Guards against a group that is preferred because its
// targets are slow.
func TestSlowFarGroup(t *testing.T) {
	var l Loads
	now := clock.Time(time.Hour)
	for d, mean := range map[string]time.Duration{"slow": 900 * time.Millisecond, "fast": 300 * time.Millisecond} {
		l.Begin("s", d)
		l.End(now, "s", d, &pool.Load{Slots: 4, Running: 4, Mean: mean})
	}
	r := Request{Objective: now.Add(1500 * time.Millisecond), Deadline: now.Add(6 * time.Second)}
	if got, _ := l.Choose(now, r, []Candidate{{"s", "slow", Far, 4}, {"s", "fast", Far, 4}}); got.Domain != "fast" {
		t.Errorf("Choose() = %+v", got)
	}
}

// Guards against a reported load that still counts long after it was reported.
func TestLoadIsForgotten(t *testing.T) {
	var l Loads
	now := clock.Time(time.Hour)
	l.Begin("s", "same")
	l.End(now, "s", "same", &pool.Load{Slots: 2, Running: 2, Waiting: 20, Mean: time.Second})
	cs := []Candidate{{"s", "same", Same, 2}, {"s", "far", Far, 2}}
	if got, _ := l.Choose(now.Add(2*maxLoadAge), Request{Deadline: now.Add(time.Hour)}, cs); got.Domain != "same" {
		t.Errorf("Choose() = %+v", got)
	}
}

// Uploads come faster than the targets of the region run them. Guards against bodies that
// cross to another region although they can still be in time in their own, and against ones
// that are late there while another region has room.
func TestLargeBodiesStay(t *testing.T) {
	cs := []Candidate{{"s", "same", Same, 4}, {"s", "far", Far, 4}}
	now := clock.Time(time.Hour)
	for _, c := range []struct {
		body    int
		waiting int
		want    string
	}{{100, 24, "far"}, {60_000, 8, "same"}, {60_000, 60, "far"}} {
		var l Loads
		l.Begin("s", "same")
		l.End(now, "s", "same", &pool.Load{Slots: 4, Running: 4, Waiting: c.waiting, Mean: 400 * time.Millisecond})
		r := Request{Objective: now.Add(3 * time.Second), Deadline: now.Add(12 * time.Second), Body: c.body}
		if got, _ := l.Choose(now, r, cs); got.Domain != c.want {
			t.Errorf("a body of %d bytes with %d requests waiting goes to %s", c.body, c.waiting, got.Domain)
		}
	}
}
