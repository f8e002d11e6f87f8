package node

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/internal/stub"
	"dandelionrock.example/dandelionrock/shard"
)

// isolate cuts a home off from all instances and the table, and from its
// upstream if x is odd, until another instance serves or 3 s have passed. The
// home then goes on as one that was paused. With x above 5 the others are cut
// off from each other, too, so that there are two successors.
func (w *orderWalk) isolate(x int) {
	u := w.ups[x%len(w.ups)].Name()
	m := w.holder(u, nil)
	if m == nil {
		return
	}
	cut := func(on bool) {
		for _, a := range w.running() {
			for _, b := range w.running() {
				if a != b && (a == m || b == m || x > 5) {
					w.net.sever(a.name(), b.name(), on)
				}
			}
		}
		w.net.sever(m.name(), storeName, on)
		w.net.sever(m.name(), u, on && x%2 == 1)
	}
	cut(true)
	within(3*time.Second, func() bool { return w.holder(u, m) != nil })
	w.load.pass(10)
	cut(false)
}

// overlaps looks for runs of one key at two upstreams at overlapping times.
func (w *orderWalk) overlaps() {
	by := map[string][]stub.Run{}
	for _, u := range w.ups {
		for _, r := range u.Recorded() {
			for _, s := range by[r.Key] {
				if s.Upstream != r.Upstream && s.Began.Before(r.Ended) && r.Began.Before(s.Ended) {
					w.violate("%s ran at %s and %s at the same time: %v to %v, %v to %v",
						r.Key, s.Upstream, r.Upstream, s.Began, s.Ended, r.Began, r.Ended)
				}
			}
			by[r.Key] = append(by[r.Key], r)
		}
	}
}

// patient returns an order whose deadline is later than the end of a freeze.
func patient(r *rand.Rand) request {
	q := order(r)
	q.timeout = 4 * time.Second
	return q
}

// freezeAndMove freezes an upstream while it executes requests and has others
// in its buffers, until its shards have moved, and lets it return.
func freezeAndMove(w *orderWalk, f stub.UpstreamFaults) {
	f.SlowMs = 100
	w.fault(0, f)
	w.await("executions", func() bool { return w.ups[0].Runs().Executing == 2 })
	f.FreezeMs = 2500
	w.fault(0, f)
	w.await("shards of the frozen upstream moved", func() bool {
		return w.shards(w.ups[0].Name()) == 0
	})
	// The first callers may all wait for the frozen upstream.
	l := &load{cluster: w.cluster, next: patient, log: &w.log}
	l.begin(8)
	l.pass(300)
	w.load.pass(50) // not before the freeze has ended
	l.end()
}

// shards returns how many shards an upstream owns.
func (c *cluster) shards(upstream string) int {
	n := 0
	for _, s := range c.services {
		c.running()[0].node.dir.Map(organisation, s.name).All(func(_ shard.ID, e shard.Entry) bool {
			if e.Upstream == upstream {
				n++
			}
			return true
		})
	}
	return n
}

// Guards invariant 1: a key that two upstreams execute at the same time, after a
// freeze with grants and requests in the buffers, and with a home that is cut
// off from its upstream, the others or both while one or two successors take
// over. A home whose goroutines stop can't be played in one process: it is cut
// off instead, and its clock runs on.
func TestOwnership(t *testing.T) {
	t.Parallel()
	w := newOrderWalk(t, patient, 16)
	freezeAndMove(w, stub.UpstreamFaults{})
	for _, x := range []int{1, 6} {
		w.step("isolate(%d)", x)
		w.isolate(x)
		w.await("all homes serving", w.serving)
	}
	if err := w.finish(); err != nil {
		t.Error(err)
	}
}

// Guards against a test that would not notice an upstream that executes what was
// in its buffers without regard to its fence.
func TestOwnershipDetects(t *testing.T) {
	t.Parallel()
	w := newOrderWalk(t, patient, 16)
	freezeAndMove(w, stub.UpstreamFaults{IgnoreFences: true})
	err := w.finish()
	if err == nil {
		t.Error("upstream without a fence was not detected")
	}
	t.Log(err)
}

// Guards against requests that wait in the queue of a frozen upstream until its
// two slots are free, although their shards have moved long before.
func TestQueueOfFrozenUpstream(t *testing.T) {
	t.Parallel()
	w := newOrderWalk(t, patient, 16)
	w.fault(0, stub.UpstreamFaults{SlowMs: 100})
	w.await("executions", func() bool { return w.ups[0].Runs().Executing == 2 })
	w.fault(0, stub.UpstreamFaults{FreezeMs: 3500})
	w.await("shards of the frozen upstream moved", func() bool { return w.shards(w.ups[0].Name()) == 0 })
	w.load.pass(200)
	err, late := w.finish(), 0
	if err != nil {
		t.Error(err)
	}
	for _, d := range w.load.took {
		if d > 2500*time.Millisecond {
			late++
		}
	}
	if late > 2 {
		t.Errorf("%d requests were late, 2 were executing when the upstream froze", late)
	}
}

// Guards invariants 1 and 5 while the planner splits and moves the shards of hot
// keys of a Zipf distribution: an order that is lost or runs twice, a key that two upstreams execute
// at the same time, and a planner that gives no hot key a shard of its own.
func TestHotKeys(t *testing.T) {
	t.Parallel()
	u := stub.UpstreamConfig{ServiceTime: stub.Duration(5 * time.Millisecond), RecordRuns: true}
	c := newCluster(t, 3, service{name: "orders", settings: "idempotent = false\nshard-count = 4\nrebalance-above = 1.25", upstreams: 3, upstream: u}).begin()
	w := &orderWalk{cluster: c}
	w.load = &load{cluster: c, attempts: 1, log: &w.log, check: func(q request, l []outcome) {
		w.orders = append(w.orders, placed{q.order, l})
		if l[0].kind != "answered" {
			w.violate("%+v got %+v", q, l[0])
		}
	}, next: func(r *rand.Rand) request {
		q := order(r)
		q.key = fmt.Sprint("key-", rand.NewZipf(r, 1.1, 1, 63).Uint64())
		return q
	}}
	w.load.begin(12)
	first := c.members[0].node.dir.Map(organisation, "orders")
	own, moved := 0, 0
	w.await("hot keys split and moved", func() bool {
		l := c.members[0].node.dir.Map(organisation, "orders").Block(0).Overrides()
		own, moved = len(l), 0
		for _, o := range l {
			if _, owner, _ := first.FindHash(o.Hash); owner != o.Entry.Upstream {
				moved++
			}
		}
		return moved > 0
	})
	w.load.pass(200)
	if err := w.finish(); err != nil {
		t.Error(err)
	}
	t.Logf("%d shards of hot keys, %d of them moved", own, moved)
}
