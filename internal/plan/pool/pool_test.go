package pool

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/plan/pace"
)

// server is a target of a simulation.
type server struct {
	id    string
	slots int
	// serviceTime is its mean service time.
	serviceTime time.Duration
	cold        bool
	// factor multiplies the service time of a request that begins at a time, if it is set;
	// states is set if the target states it.
	factor func(clock.Time) pace.Factor
	states bool
}

// arrival is a request of a simulation.
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

// finishes is a heap of requests in progress by their end.
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

// simulation simulates a load pattern on a pool in virtual time.
type simulation struct {
	pool      Pool
	servers   map[string]server
	random    *rand.Rand
	objective time.Duration
	deadline  time.Duration
	// retries is the number of times that a client retries after refusals.
	retries int

	now      clock.Time
	inFlight finishes
	first    map[ID]clock.Time
	pending  []pending
	// offered counts the first attempts, inTime and late the answers, and refused
	// the requests whose client gave up.
	offered, inTime, late, refused int
	// longestWait is the longest wait of a request that was refused in the end.
	longestWait time.Duration
	next        ID
	t           *testing.T
}

// pending is an attempt that has not arrived yet.
type pending struct {
	at    clock.Time
	first clock.Time
	tries int
}

func newSimulation(t *testing.T, servers []server) *simulation {
	r := &simulation{
		servers: map[string]server{}, random: rand.New(rand.NewPCG(7, 7)), objective: 800 * time.Millisecond, deadline: 2500 * time.Millisecond,
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

func servers(n int, serviceTimes ...time.Duration) []server {
	var s []server
	for i := range n {
		s = append(s, server{id: fmt.Sprint("t", i), slots: 2, serviceTime: serviceTimes[i%len(serviceTimes)]})
	}
	return s
}

// run offers requests at a mean rate for a duration and waits until all have
// ended.
func (r *simulation) run(perSecond float64, d time.Duration) {
	var at time.Duration
	for at < d {
		at += time.Duration(r.random.ExpFloat64() / perSecond * float64(time.Second))
		r.pending = append(r.pending, pending{at: clock.Time(at), first: clock.Time(at)})
	}
	for len(r.pending) > 0 || len(r.inFlight) > 0 {
		if len(r.inFlight) > 0 && (len(r.pending) == 0 || r.inFlight[0].at <= r.earliest().at) {
			r.finish()
			continue
		}
		r.offer(r.takeEarliest())
	}
}

func (r *simulation) earliest() pending {
	e := r.pending[0]
	for _, p := range r.pending {
		if p.at < e.at {
			e = p
		}
	}
	return e
}

func (r *simulation) takeEarliest() pending {
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

func (r *simulation) offer(p pending) {
	r.now = max(r.now, p.at)
	if p.tries == 0 {
		r.offered++
	}
	r.next++
	r.first[r.next] = p.first
	q := Request{ID: r.next, Begin: r.now, Objective: p.first.Add(r.objective), Deadline: r.now.Add(r.deadline)}
	r.handle(r.pool.Offer(r.now, q), p.tries)
	r.dispatch()
}

// dispatch handles the decisions on waiting requests.
func (r *simulation) dispatch() {
	for _, d := range r.pool.Next(r.now) {
		r.handle(d, r.retries)
	}
}

func (r *simulation) handle(d Decision, tries int) {
	first := r.first[d.ID]
	switch d.Verdict {
	case Start:
		s := r.servers[d.Target]
		took := time.Duration(float64(s.serviceTime) * (0.6 + 0.8*r.random.Float64()))
		if s.factor != nil {
			took = time.Duration(float64(took) * float64(s.factor(r.now)))
		}
		heap.Push(&r.inFlight, finish{r.now.Add(took), r.now, first, d.Target})
		if n := r.running(d.Target); n > s.slots {
			r.t.Fatalf("%d requests run at %s, which has %d slots", n, d.Target, s.slots)
		}
	case Refuse:
		if tries < r.retries {
			r.pending = append(r.pending, pending{r.now.Add(d.Retry), first, tries + 1})
			return
		}
		r.refused++
		r.longestWait = max(r.longestWait, r.now.Sub(first))
	}
}

func (r *simulation) running(target string) int {
	n := 0
	for _, f := range r.inFlight {
		if f.target == target {
			n++
		}
	}
	return n
}

func (r *simulation) finish() {
	f := heap.Pop(&r.inFlight).(finish)
	r.now = f.at
	if f.at.Sub(f.first) <= r.objective {
		r.inTime++
	} else {
		r.late++
	}
	if s := r.servers[f.target]; s.states {
		r.pool.State(r.now, f.target, 1, s.factor(r.now))
	}
	r.pool.Done(r.now, f.target, 1, f.at.Sub(f.begin), Answered)
	r.dispatch()
}

// goodputTarget is the fraction of the capacity that must be served in time under
// overload; see docs/design.md, section 1.8.
const goodputTarget = 0.9

// Offers three times the capacity of one target with two slots, from clients that
// retry once. Guards against a queue so long that all requests become late.
func TestBurstOnTwoSlots(t *testing.T) {
	r := newSimulation(t, servers(1, 220*time.Millisecond))
	r.run(27, 20*time.Second)
	capacity := 2 / 0.22 * 20
	if got := float64(r.inTime) / capacity; got < goodputTarget {
		t.Errorf("%.2f of the capacity is served in time, want %.2f (%d late, %d refused)", got, goodputTarget, r.late, r.refused)
	}
}

// Offers 85% of the capacity of the eight targets that are left of ten. Guards
// against requests that wait or are refused although slots are free.
func TestLossOfAFifth(t *testing.T) {
	r := newSimulation(t, servers(8, 220*time.Millisecond))
	r.run(0.85*16/0.22, 20*time.Second)
	if got := float64(r.inTime) / float64(r.offered); got < goodputTarget {
		t.Errorf("%.2f of the requests are served in time, want %.2f (%d late, %d refused)", got, goodputTarget, r.late, r.refused)
	}
}

// Makes one of six targets twelve times as slow. Guards against requests that run
// there although the others could serve them in time.
func TestSlowTarget(t *testing.T) {
	s := servers(6, 220*time.Millisecond)
	s[0].serviceTime = 12 * 220 * time.Millisecond
	r := newSimulation(t, s)
	r.run(0.7*10/0.22, 20*time.Second)
	if got := float64(r.inTime) / float64(r.offered); got < goodputTarget {
		t.Errorf("%.2f of the requests are served in time, want %.2f (%d late, %d refused)", got, goodputTarget, r.late, r.refused)
	}
}

// Guards against requests that run at a cold target while a warm one is free.
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

// Guards against a refusal without a retry delay, and against a queue that admits
// requests which no target can serve in time.
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

// Guards against a target that keeps getting requests after it rejected one.
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

// Guards against counts of running requests that outlive a run of a target.
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

// fullPool returns a pool whose only slot is in use until Done.
func fullPool(now clock.Time) *Pool {
	p := &Pool{}
	p.SetTargets([]Target{{ID: "t", Slots: 1}})
	p.Offer(now, Request{ID: 1, Objective: now.Add(time.Second), Deadline: now.Add(5 * time.Second)})
	return p
}

// Guards against requests that start before those of a higher priority.
func TestPriorityComesFirst(t *testing.T) {
	now := clock.Time(time.Second)
	p := fullPool(now)
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

// Guards against requests that wait on after they can no longer be served: their
// callers must be refused while they have time to retry.
func TestExpiredWaitEnds(t *testing.T) {
	now := clock.Time(time.Second)
	p := fullPool(now)
	p.Offer(now, Request{ID: 2, Begin: now, Objective: now.Add(time.Second), Deadline: now.Add(5 * time.Second)})
	if d := p.Next(now.Add(500 * time.Millisecond)); len(d) != 0 {
		t.Errorf("Next() = %v while the request can be in time", d)
	}
	d := p.Next(now.Add(1500 * time.Millisecond))
	if len(d) != 1 || d[0].Verdict != Refuse || d[0].Reason != ReasonExpired || d[0].Retry <= 0 {
		t.Errorf("Next() = %v after the objective", d)
	}
}

// Guards against requests to a target that wants none for a time, and against requests
// that wait although all targets want none until it is too late.
func TestBarredTarget(t *testing.T) {
	var p Pool
	now := clock.Time(time.Minute)
	p.SetTargets([]Target{{ID: "a", Slots: 1}, {ID: "b", Slots: 1}})
	request := func(id ID, d time.Duration) Request {
		return Request{ID: id, Begin: now, Objective: now.Add(d), Deadline: now.Add(d)}
	}
	p.Bar(now, "a", 0, 3*time.Second)
	p.Bar(now, "a", 0, time.Second)
	if d := p.Offer(now, request(1, time.Second)); d.Verdict != Start || d.Target != "b" {
		t.Errorf("beside a barred target: %+v", d)
	}
	if d := p.Offer(now, request(2, time.Second)); d.Verdict != Wait {
		t.Errorf("while the other target is busy: %+v", d)
	}
	p.Bar(now, "b", 0, 2*time.Second)
	for _, d := range append(p.Next(now), p.Offer(now, request(3, time.Second))) {
		if d.Verdict != Refuse || d.Reason != ReasonPaused || d.Retry != 2*time.Second {
			t.Errorf("while all targets are barred: %+v", d)
		}
	}
	p.Done(now, "b", 0, time.Second, Answered)
	now = now.Add(2 * time.Second)
	if d := p.Offer(now, request(4, time.Second)); d.Verdict != Start || d.Target != "b" {
		t.Errorf("after the time: %+v", d)
	}
	now = now.Add(time.Second)
	if d := p.Offer(now, request(5, time.Second)); d.Verdict != Start || d.Target != "a" {
		t.Errorf("after the longer time: %+v", d)
	}
}
