package lease

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/config"
	"dandelionrock.example/dandelionrock/shard"
)

const (
	testTTL        = 500 * time.Millisecond
	testMaxRequest = 400 * time.Millisecond
	tickInterval   = 50 * time.Millisecond
	instances      = 3
	shards         = 3
)

// limitsOf returns limits that vary with n, as after a change of the
// configuration.
func limitsOf(n int) limits {
	l := limits{[]time.Duration{400 * time.Millisecond, time.Second, 3 * time.Second}[n%3], testTTL, testMaxRequest}
	if n/3%4 == 0 {
		l.ttl, l.request = 3*testTTL, 3*testMaxRequest
	}
	return l
}

// party is the table, an instance or an upstream.
type party int

const (
	theTable      party = 0
	firstInstance party = 1
	firstUpstream party = firstInstance + instances
)

// setup holds the parameters of a walk.
type setup struct {
	fencing config.Fencing
	// size is the number of upstreams.
	size int
	// drift is the bound on clock drift. The rates of the clocks vary by up to
	// 99% of it.
	drift clock.Drift
	seed  int64
	// without is the rule that a mutated model leaves out.
	without rule
}

func (s setup) fenced() bool { return s.fencing == config.FencingChecked }

// event is the delivery of a message to a party or a timer of it.
type event struct {
	at clock.Time
	// order sorts events of the same time by their creation.
	order int
	to    party
	run   func()
}

type events []event

func (q events) Len() int      { return len(q) }
func (q events) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q events) Less(a, b int) bool {
	return q[a].at < q[b].at || q[a].at == q[b].at && q[a].order < q[b].order
}

func (q *events) Pop() any {
	l := len(*q) - 1
	x := (*q)[l]
	*q = (*q)[:l]
	return x
}

// simulation runs instances with real Homes, upstreams with real Guards and a
// table over a faulty network. It is single-threaded and has one source of
// randomness, so that a walk can be repeated from its seed.
type simulation struct {
	setup
	r     *rand.Rand
	now   clock.Time
	queue events
	order int

	offset []clock.Time
	rate   []float64
	// paused parties keep events in backlog until they are resumed.
	paused  []bool
	backlog [][]event
	cut     map[[2]party]bool
	// outage makes the table ignore calls.
	outage bool
	// Probabilities of loss, duplication and a delay of up to 3 s.
	loss, duplicate, slow float64

	table     *fakeTable
	instances []*instance
	upstreams []*upstream
	requests  []runningRequest
	err       error
	// keepMoves keeps homes from abandoning a move after a conflict.
	keepMoves bool
	// stats counts the situations that occurred in a group of walks.
	stats map[string]int
	// trace has the latest events if -lease.trace is set.
	trace []string
}

func newSimulation(s setup, stats map[string]int) *simulation {
	w := &simulation{
		setup: s, stats: stats, r: rand.New(rand.NewPCG(uint64(s.seed), 0)), now: clock.Time(time.Hour),
		cut: make(map[[2]party]bool),
	}
	n := int(firstUpstream) + s.size
	w.paused, w.backlog = make([]bool, n), make([][]event, n)
	for range n {
		w.offset = append(w.offset, clock.Time(w.r.Int64N(int64(time.Hour))))
		w.rate = append(w.rate, 1+float64(s.drift)*0.99*float64(w.r.IntN(3))/2)
	}
	w.table = newTable(w)
	for i := range s.size {
		u := &upstream{w: w, index: i, id: firstUpstream + party(i)}
		u.restart()
		w.upstreams = append(w.upstreams, u)
	}
	for i := range instances {
		x := &instance{w: w, id: firstInstance + party(i)}
		w.instances = append(w.instances, x)
		x.start()
	}
	for i, u := range w.upstreams {
		w.instances[i%instances].takeover(u, limitsOf(w.r.IntN(12)))
	}
	w.advance(500 * time.Millisecond)
	return w
}

// clock returns the current reading of the party's clock.
func (w *simulation) clock(p party) clock.Time {
	return w.offset[p] + clock.Time(float64(w.now)*w.rate[p])
}

// fail records a violation unless one was recorded before.
func (w *simulation) fail(format string, a ...any) {
	if w.err == nil {
		w.log("violation: "+format, a...)
		w.err = fmt.Errorf(format+"%s", append(a, strings.Join(w.trace, ""))...)
	}
}

// log adds an event to the trace.
func (w *simulation) log(format string, a ...any) {
	if *traceFlag {
		t := w.now.Sub(clock.Time(time.Hour))
		w.trace = append(w.trace[max(0, len(w.trace)-200):], fmt.Sprintf("\n%v: "+format, append([]any{t}, a...)...))
	}
}

// at schedules f at t as an event of a party.
func (w *simulation) at(t clock.Time, to party, f func()) {
	w.order++
	heap.Push(&w.queue, event{t, w.order, to, f})
}

// send schedules f at a party after a short delay. Depending on the faults, f
// may run late, twice or never.
func (w *simulation) send(from, to party, f func()) {
	n := 1
	if w.r.Float64() < w.duplicate {
		n = 2
	}
	for range n {
		d := time.Duration(1+w.r.IntN(10)) * time.Millisecond
		if w.r.Float64() < w.slow {
			d = time.Duration(w.r.IntN(3000)) * time.Millisecond
		}
		if !w.cut[[2]party{from, to}] && w.r.Float64() >= w.loss {
			w.at(w.now.Add(d), to, f)
		}
	}
}

// advance runs all events of the next d of simulated time.
func (w *simulation) advance(d time.Duration) {
	t := w.now.Add(d)
	for w.err == nil && len(w.queue) > 0 && w.queue[0].at <= t {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		if w.paused[e.to] {
			w.backlog[e.to] = append(w.backlog[e.to], e)
			continue
		}
		e.run()
	}
	w.now = t
}

// pause pauses a party, or resumes it and schedules the events of its backlog.
func (w *simulation) pause(p party, on bool) {
	w.paused[p] = on
	if on {
		return
	}
	for _, e := range w.backlog[p] {
		w.at(w.now, p, e.run)
	}
	w.backlog[p] = nil
}

// heal ends all faults.
func (w *simulation) heal() {
	clear(w.cut)
	w.outage, w.loss, w.duplicate, w.slow = false, 0, 0, 0
	for p := range w.paused {
		w.pause(party(p), false)
	}
}

// runningRequest is a request that may execute until end at an unfenced upstream.
type runningRequest struct {
	upstream int
	term     uint64
	shard    shard.ID
	end      clock.Time
}

// dispatch starts a request at an unfenced upstream. It fails if a request of
// another upstream or of another term may execute for the shard at the same time.
func (w *simulation) dispatch(u *upstream, t Token, longest time.Duration) {
	l := w.requests[:0]
	for _, x := range w.requests {
		if x.end <= w.now {
			continue
		}
		l = append(l, x)
		if x.shard == t.Shard && (x.upstream != u.index || x.term != uint64(t.Term)) {
			w.fail("upstream %d runs shard %v in term %v while upstream %d runs it in term %d",
				u.index, t.Shard, t.Term, x.upstream, x.term)
		}
	}
	d := time.Duration(w.r.Float64() * float64(longest) / w.rate[u.id])
	w.requests = append(l, runningRequest{u.index, uint64(t.Term), t.Shard, w.now.Add(d)})
}

// busy reports whether a request for the shard may be executing at the upstream.
func (w *simulation) busy(u *upstream, s shard.ID) bool {
	return slices.ContainsFunc(w.requests, func(x runningRequest) bool {
		return x.upstream == u.index && x.shard == s && x.end > w.now
	})
}

// home returns the instance and the home that the table names for an upstream, or
// nil if there is none that is active.
func (w *simulation) home(u int) (*instance, *instanceHome) {
	for _, i := range w.instances {
		s := i.homes[u]
		if s != nil && !s.retired && s.row.version == w.table.rows[u].version {
			return i, s
		}
	}
	return nil, nil
}

// checkExclusive fails if two upstreams would execute requests for one shard now.
// An upstream can only become able to execute when it handles a message, so it
// suffices to check then.
func (w *simulation) checkExclusive() {
	for s := range shard.ID(shards) {
		o := -1
		for i, u := range w.upstreams {
			if !u.executes(s) {
				continue
			}
			if o >= 0 {
				w.fail("upstreams %d and %d would both execute requests for shard %v", o, i, s)
			}
			o = i
		}
	}
}
