package pool

import (
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/plan/quota"
)

// Limits one of two targets. Guards against requests that wait for its limit, or are
// refused, while the other one is free.
func TestLimitedTargetIsLeftForOthers(t *testing.T) {
	r := newSimulation(t, servers(2, 100*time.Millisecond))
	r.pool.SetLimit(0, "t0", 1, 2)
	r.run(12, 20*time.Second)
	if got := float64(r.inTime) / float64(r.offered); got < goodputTarget {
		t.Errorf("%.2f of the requests are served in time, want %.2f (%d late, %d refused)", got, goodputTarget, r.late, r.refused)
	}
	if l, _ := r.pool.SetLimit(r.now, "t0", 1, quota.Unlimited); l.Use.Used > 2*20+3 {
		t.Errorf("%v requests were sent to a target that takes 2 per second for 20 s", l.Use.Used)
	}
}

// Guards against requests that wait although a limit lets none of them end in time, and
// against clients that are told to return all at once.
func TestRefusedBecauseOfLimit(t *testing.T) {
	now := clock.Time(time.Hour)
	var p Pool
	p.SetTargets([]Target{{ID: "t", Slots: 8}})
	p.SetLimit(now, "t", 0, 4)
	last := time.Duration(0)
	for id := ID(1); id < 16; id++ {
		d := p.Offer(now, Request{ID: id, Begin: now, Objective: now.Add(600 * time.Millisecond), Deadline: now.Add(2500 * time.Millisecond)})
		switch {
		case d.Verdict != Refuse:
			if last != 0 {
				t.Errorf("Offer() = %+v after a refusal", d)
			}
		case d.Reason != ReasonLimited || d.Retry < last || d.Retry < min(last+200*time.Millisecond, maxRetry):
			t.Errorf("Offer() = %+v, after one that was told to retry in %v", d, last)
		default:
			last = d.Retry
		}
	}
	if last != maxRetry {
		t.Errorf("the last one is told to retry in %v", last)
	}
}

// Guards against requests that were admitted before a target named its limit, and wait on
// although it does not let them end before their deadlines.
func TestWaitingWhenLimitIsNamed(t *testing.T) {
	now := clock.Time(time.Hour)
	var p Pool
	p.SetTargets([]Target{{ID: "t", Slots: 1}})
	for id := ID(1); id < 5; id++ {
		p.Offer(now, Request{ID: id, Begin: now, Objective: now.Add(1500 * time.Millisecond), Deadline: now.Add(2 * time.Second)})
	}
	p.SetLimit(now, "t", 0, 0.5)
	out := p.Next(now)
	if len(out) != 2 || out[0].Reason != ReasonLimited || out[1].Reason != ReasonLimited {
		t.Errorf("Next() = %+v, want two refusals of three waiting requests", out)
	}
}

// The terms by which targets that have become cold state their rate: more than
// warmupOverage times the rate and warmupSlack requests in a second crash them.
const (
	warmupRate    = 4.6
	warmupOverage = 1.5
	warmupSlack   = 8
)

// All targets of a group become cold in the middle of a burst, and after two seconds
// another home takes the group over. Guards against more requests than a cold target
// takes from both homes together, and against a group that stands still.
func TestColdTargetsAcrossHomes(t *testing.T) {
	warm := []Target{{ID: "t0", Slots: 6}, {ID: "t1", Slots: 6}}
	cold := []Target{{ID: "t0", Slots: 6, Cold: true}, {ID: "t1", Slots: 6, Cold: true}}
	homes := [2]Pool{}
	homes[0].SetTargets(warm)
	begin := clock.Time(time.Hour)
	const coldAfter, handedOver, end = time.Second, 3 * time.Second, 5 * time.Second
	sent := map[string][]clock.Time{}
	for d := time.Duration(0); d < end; d += 10 * time.Millisecond {
		now, p := begin.Add(d), &homes[0]
		if d >= handedOver {
			p = &homes[1]
		}
		if d >= coldAfter {
			p.SetTargets(cold)
			p.SetWarmup(now, warmupRate)
		}
		n := p.Offer(now, Request{ID: ID(d), Begin: now, Objective: now.Add(100 * time.Millisecond), Deadline: now.Add(100 * time.Millisecond)})
		if n.Verdict == Wait {
			p.Cancel(n.ID)
		}
		if n.Verdict == Refuse && d > coldAfter && n.Reason != ReasonCold {
			t.Fatalf("refused after %v because of %q", d, n.Reason)
		}
		if n.Verdict == Start {
			sent[n.Target] = append(sent[n.Target], now)
			p.Done(now, n.Target, 0, 20*time.Millisecond, Answered)
		}
	}
	for id, at := range sent {
		count := 0
		for i, a := range at {
			if a < begin.Add(coldAfter) {
				continue
			}
			count++
			within := 1
			for j := i - 1; j >= 0 && at[j] >= begin.Add(coldAfter) && a.Sub(at[j]) < time.Second; j-- {
				within++
			}
			if float64(within) > warmupRate*warmupOverage+warmupSlack {
				t.Fatalf("%s got %d requests in a second", id, within)
			}
		}
		if least := warmupRate * (end - coldAfter - 2*time.Second).Seconds(); float64(count) < least {
			t.Errorf("%s got %d requests while it was cold, want at least %.0f", id, count, least)
		}
	}
}

// Guards against a rate of cold targets that holds on when they are warm.
func TestWarmAgain(t *testing.T) {
	var p Pool
	now := clock.Time(time.Hour)
	for i, c := range []bool{true, false, true} {
		p.SetTargets([]Target{{ID: "t", Slots: 100, Cold: c}})
		p.SetWarmup(now, warmupRate)
		for id := range ID(20) {
			if d := p.Offer(now, Request{ID: id, Begin: now, Objective: now, Deadline: now}); d.Verdict == Start != !c {
				t.Fatalf("step %d: Offer() = %+v", i, d)
			}
		}
		now = now.Add(time.Second)
	}
}
