package pool

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/clock"
)

// server is a target of a replay.
type server struct {
	id    string
	slots int
	// work is its mean service time.
	work time.Duration
	cold bool
}

// arrival is a request of a replay.
type arrival struct {
	at    time.Duration
	retry int
}

// finish is the end of a request at a target.
type finish struct {
	at     clock.Time
	begin  clock.Time
	first  clock.Time
	target string
}

type finishes []finish

func (f finishes) Len() int           { return len(f) }
func (f finishes) Less(i, j int) bool { return f[i].at < f[j].at }
func (f finishes) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }
func (f *finishes) Push(x any)        { *f = append(*f, x.(finish)) }
func (f *finishes) Pop() any {
	o := *f
	x := o[len(o)-1]
	*f = o[:len(o)-1]
	return x
}

// replay plays a load pattern against a pool with a clock of its own.
type replay struct {
	pool      Pool
	servers   map[string]server
	random    *rand.Rand
	objective time.Duration
	end       time.Duration
	// retries is how often a client returns after a refusal.
	retries int

	now     clock.Time
	busy    finishes
	first   map[ID]clock.Time
	pending []pending
	// inTime and late count the answers, refused the requests given up.
	asked, inTime, late, refused int
	// held is the longest wait of a request that was refused in the end.
	held time.Duration
	next ID
	t    *testing.T
}

type pending struct {
	at    clock.Time
	first clock.Time
	tries int
}

func newReplay(t *testing.T, servers []server) *replay {
	r := &replay{
		servers: map[string]server{}, random: rand.New(rand.NewPCG(7, 7)), objective: 800 * time.Millisecond, end: 2500 * time.Millisecond,
		retries: 1, first: map[ID]clock.Time{}, t: t,
	}
	var ts []Target
	for _, s := range servers {
		r.servers[s.id] = s
		ts = append(ts, Target{ID: s.id, Slots: s.slots, Cold: s.cold, Born: 1})
	}
	r.pool.SetTargets(ts)
	return r
}

func servers(n int, work ...time.Duration) []server {
	var s []server
	for i := range n {
		s = append(s, server{id: fmt.Sprint("t", i), slots: 2, work: work[i%len(work)]})
	}
	return s
}

// play offers requests at a rate for a time and lets all end.
func (r *replay) play(perSecond float64, d time.Duration) {
	var at time.Duration
	for at < d {
		at += time.Duration(r.random.ExpFloat64() / perSecond * float64(time.Second))
		r.pending = append(r.pending, pending{at: clock.Time(at), first: clock.Time(at)})
	}
	for len(r.pending) > 0 || len(r.busy) > 0 {
		if len(r.busy) > 0 && (len(r.pending) == 0 || r.busy[0].at <= r.earliest().at) {
			r.finish()
			continue
		}
		r.offer(r.takeEarliest())
	}
}

func (r *replay) earliest() pending {
	e := r.pending[0]
	for _, p := range r.pending {
		if p.at < e.at {
			e = p
		}
	}
	return e
}

func (r *replay) takeEarliest() pending {
	e := 0
	for i, p := range r.pending {
		if p.at < r.pending[e].at {
			e = i
		}
	}
	p := r.pending[e]
	r.pending = append(r.pending[:e], r.pending[e+1:]...)
	return p
}

func (r *replay) offer(p pending) {
	r.now = max(r.now, p.at)
	if p.tries == 0 {
		r.asked++
	}
	r.next++
	r.first[r.next] = p.first
	q := Request{ID: r.next, Begin: r.now, Objective: p.first.Add(r.objective), Deadline: r.now.Add(r.end)}
	r.decide(r.pool.Offer(r.now, q), p.tries)
	r.settle()
}

func (r *replay) settle() {
	for _, d := range r.pool.Next(r.now) {
		r.decide(d, r.retries)
	}
}

func (r *replay) decide(d Decision, tries int) {
	first := r.first[d.ID]
	switch d.Verdict {
	case Start:
		s := r.servers[d.Target]
		took := time.Duration(float64(s.work) * (0.6 + 0.8*r.random.Float64()))
		heap.Push(&r.busy, finish{r.now.Add(took), r.now, first, d.Target})
		if n := r.running(d.Target); n > s.slots {
			r.t.Fatalf("%d requests run at %s, which has %d slots", n, d.Target, s.slots)
		}
	case Refuse:
		if tries < r.retries {
			r.pending = append(r.pending, pending{r.now.Add(d.Retry), first, tries + 1})
			return
		}
		r.refused++
		r.held = max(r.held, r.now.Sub(first))
	}
}

func (r *replay) running(target string) int {
	n := 0
	for _, f := range r.busy {
		if f.target == target {
			n++
		}
	}
	return n
}

func (r *replay) finish() {
	f := heap.Pop(&r.busy).(finish)
	r.now = f.at
	if f.at.Sub(f.first) <= r.objective {
		r.inTime++
	} else {
		r.late++
	}
	r.pool.Done(r.now, f.target, 1, f.at.Sub(f.begin), Answered)
	r.settle()
}

// goodputTarget is the part of the capacity that must be served in time under
// overload; docs/design.md, section 1.8.
const goodputTarget = 0.9

// Replays a burst of three times the capacity on one target with two slots, with
// clients that return once. Guards against a queue in which all become late.
func TestBurstOnTwoSlots(t *testing.T) {
	r := newReplay(t, servers(1, 220*time.Millisecond))
	r.play(27, 20*time.Second)
	capacity := 2 / 0.22 * 20
	if got := float64(r.inTime) / capacity; got < goodputTarget {
		t.Errorf("%.2f of the capacity is served in time, want %.2f (%d late, %d refused)", got, goodputTarget, r.late, r.refused)
	}
}

// Replays the loss of a fifth of ten targets under a load that the others carry.
// Guards against requests that wait behind each other although slots are free.
func TestLossOfAFifth(t *testing.T) {
	r := newReplay(t, servers(8, 220*time.Millisecond))
	r.play(0.85*16/0.22, 20*time.Second)
	if got := float64(r.inTime) / float64(r.asked); got < goodputTarget {
		t.Errorf("%.2f of the requests are served in time, want %.2f (%d late, %d refused)", got, goodputTarget, r.late, r.refused)
	}
}

// Replays a service in which one of six targets is twelve times as slow. Guards
// against requests that are sent there while others could take them in time.
func TestSlowTarget(t *testing.T) {
	s := servers(6, 220*time.Millisecond)
	s[0].work = 12 * 220 * time.Millisecond
	r := newReplay(t, s)
	r.play(0.7*10/0.22, 20*time.Second)
	if got := float64(r.inTime) / float64(r.asked); got < goodputTarget {
		t.Errorf("%.2f of the requests are served in time, want %.2f (%d late, %d refused)", got, goodputTarget, r.late, r.refused)
	}
}

// Guards against work for a cold target while a warm one is free.
func TestColdTargetComesLast(t *testing.T) {
	var p Pool
	p.SetTargets([]Target{{ID: "cold", Slots: 2, Cold: true}, {ID: "warm", Slots: 2}})
	d := p.Offer(0, Request{ID: 1, Objective: clock.Time(time.Second), Deadline: clock.Time(2 * time.Second)})
	if d.Target != "warm" {
		t.Errorf("Offer() = %+v", d)
	}
}

// Guards against a late request that runs before one that can still be in time.
func TestLateRequestsWaitBehind(t *testing.T) {
	var p Pool
	p.SetTargets([]Target{{ID: "t", Slots: 1}})
	ms := func(n int) clock.Time { return clock.Time(time.Duration(n) * time.Millisecond) }
	p.Offer(0, Request{ID: 1, Objective: ms(800), Deadline: ms(2000)})
	p.Offer(ms(1), Request{ID: 2, Begin: ms(1), Objective: ms(10), Deadline: ms(2000)})
	if d := p.Offer(ms(2), Request{ID: 3, Begin: ms(2), Objective: ms(900), Deadline: ms(2000)}); d.Verdict != Wait {
		t.Fatalf("Offer() = %+v", d)
	}
	p.Done(ms(200), "t", 0, 200*time.Millisecond, Answered)
	if d := p.Next(ms(200)); len(d) != 1 || d[0].ID != 3 {
		t.Errorf("Next() = %+v, want request 3", d)
	}
}

// Guards against a refusal without a time to return, and against a request that
// waits although no target will take it.
func TestRefusals(t *testing.T) {
	ms := clock.Time(time.Millisecond)
	var p Pool
	if d := p.Offer(0, Request{ID: 1, Objective: 800 * ms, Deadline: 2000 * ms}); d.Verdict != Refuse || d.Reason != ReasonNoTarget || d.Retry <= 0 {
		t.Errorf("Offer() without targets = %+v", d)
	}
	p.SetTargets([]Target{{ID: "t", Slots: 1}})
	for id := ID(1); id < 9; id++ {
		if d := p.Offer(0, Request{ID: id, Objective: 800 * ms, Deadline: 2000 * ms}); d.Verdict == Refuse {
			if d.Reason != ReasonFull || d.Retry < minRetry || d.Retry > maxRetry {
				t.Errorf("Offer() = %+v", d)
			}
			return
		}
	}
	t.Error("a target with one slot takes eight requests of 200 ms for 800 ms")
}

// Guards against a target that keeps getting requests that it rejects.
func TestRejectingTargetPauses(t *testing.T) {
	ms := clock.Time(time.Millisecond)
	var p Pool
	p.SetTargets([]Target{{ID: "a", Slots: 2}, {ID: "b", Slots: 2}})
	q := Request{ID: 1, Objective: 800 * ms, Deadline: 2000 * ms}
	d := p.Offer(0, q)
	p.Done(1*ms, d.Target, 0, time.Millisecond, Rejected)
	if n := p.Offer(2*ms, q); n.Target == d.Target {
		t.Errorf("Offer() = %+v right after a rejection", n)
	}
}

// Guards against counts that outlive a run of a target.
func TestNewRunStartsEmpty(t *testing.T) {
	var p Pool
	p.SetTargets([]Target{{ID: "t", Slots: 1, Born: 1}})
	p.Offer(0, Request{ID: 1, Objective: 1 << 40, Deadline: 1 << 41})
	p.SetTargets([]Target{{ID: "t", Slots: 1, Born: 2}})
	if d := p.Offer(0, Request{ID: 2, Objective: 1 << 40, Deadline: 1 << 41}); d.Verdict != Start {
		t.Errorf("Offer() = %+v at a new run", d)
	}
	p.Done(1, "t", 1, time.Second, Answered)
	if l := p.Load(1); l.Running != 1 {
		t.Errorf("the end of a request at an old run leaves %d running", l.Running)
	}
}

// full returns a pool whose one slot is taken until Done.
func full(now clock.Time) *Pool {
	p := &Pool{}
	p.SetTargets([]Target{{ID: "t", Slots: 1}})
	p.Offer(now, Request{ID: 1, Objective: now.Add(time.Second), Deadline: now.Add(5 * time.Second)})
	return p
}

// Guards against less urgent requests that pass those of a higher priority.
func TestPriorityComesFirst(t *testing.T) {
	now := clock.Time(time.Second)
	p := full(now)
	for id, priority := range map[ID]int{2: 2, 3: 0, 4: 1} {
		r := Request{ID: id, Priority: priority, Begin: now, Objective: now.Add(2 * time.Second), Deadline: now.Add(5 * time.Second)}
		if d := p.Offer(now, r); d.Verdict != Wait {
			t.Fatalf("request %d: verdict %v", id, d.Verdict)
		}
	}
	for _, want := range []ID{3, 4, 2} {
		p.Done(now, "t", 0, 100*time.Millisecond, Answered)
		d := p.Next(now)
		if len(d) != 1 || d[0].ID != want || d[0].Verdict != Start {
			t.Errorf("Next() = %v, want request %d", d, want)
		}
	}
}

// Guards against requests that wait on although they can't be served any more:
// their callers are told while they have time to return.
func TestHopelessWaitEnds(t *testing.T) {
	now := clock.Time(time.Second)
	p := full(now)
	p.Offer(now, Request{ID: 2, Begin: now, Objective: now.Add(time.Second), Deadline: now.Add(5 * time.Second)})
	if d := p.Next(now.Add(500 * time.Millisecond)); len(d) != 0 {
		t.Errorf("Next() = %v while the request can be in time", d)
	}
	d := p.Next(now.Add(1500 * time.Millisecond))
	if len(d) != 1 || d[0].Verdict != Refuse || d[0].Reason != ReasonExpired || d[0].Retry <= 0 {
		t.Errorf("Next() = %v after the objective", d)
	}
}
