package pool

import (
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/clock"
)

// Offers 1.5 times the capacity of one target of six slots for 30 s, from clients that
// come back twice. Guards against a queue of which half of the requests end late, since
// each starts as late as its objective permits.
func TestSustainedOverloadOfOneTarget(t *testing.T) {
	s := servers(1, 350*time.Millisecond)
	s[0].slots = 6
	r := newSimulation(t, s)
	r.objective, r.deadline, r.retries = time.Second, 4*time.Second, 2
	r.run(1.5*6/0.35, 30*time.Second)
	capacity := 6 / 0.35 * 30
	if got := float64(r.inTime) / max(capacity, float64(r.inTime+r.late)); got < goodputTarget {
		t.Errorf("%.2f of the capacity is served in time, want %.2f (%d in time, %d late, %d refused)", got, goodputTarget, r.inTime, r.late, r.refused)
	}
}

// Fills the queue of a target with less urgent requests, then offers urgent ones. Guards
// against urgent requests that are refused because of less urgent ones, and against
// overtaken requests that wait in vain.
func TestUrgentRequestOvertakes(t *testing.T) {
	now := clock.Time(time.Second)
	p := fullPool(now)
	for id := ID(2); id < 40; id++ {
		r := Request{ID: id, Priority: 2, Begin: now, Objective: now.Add(time.Second), Deadline: now.Add(3 * time.Second)}
		if id > 20 {
			r.Priority = int(id % 3)
		}
		p.Offer(now, r)
		for _, d := range p.Next(now) {
			if d.Reason != ReasonOvertaken || d.Retry < minRetry {
				t.Errorf("%+v", d)
			}
		}
	}
	for _, r := range p.waiting {
		if r.Priority != 0 {
			t.Errorf("request %d of priority %d waits although urgent ones were refused", r.ID, r.Priority)
		}
	}
	if len(p.waiting) == 0 {
		t.Error("no request waits")
	}
}
