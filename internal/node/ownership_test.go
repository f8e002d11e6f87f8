package node

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/internal/stub"
	"dandelionrock.example/dandelionrock/shard"
)

// isolate partitions a home from all instances and the table, and from its upstream
// if x is odd, until another instance serves the upstream or 3 s have passed. The
// home then continues as after a pause. If x is above 5, the other instances are
// partitioned from each other as well, so that two successors compete.
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
					w.net.setCut(a.name(), b.name(), on)
				}
			}
		}
		w.net.setCut(m.name(), storeName, on)
		w.net.setCut(m.name(), u, on && x%2 == 1)
	}
	cut(true)
	within(3*time.Second, func() bool { return w.holder(u, m) != nil })
	w.load.awaitRequests(10)
	cut(false)
}

// checkOverlaps reports runs of one key at two upstreams that overlap in time.
func (w *orderWalk) checkOverlaps() {
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

// longOrder returns an order whose timeout is longer than a freeze.
func longOrder(r *rand.Rand) request {
	q := order(r)
	q.timeout = 4 * time.Second
	return q
}

// freezeUntilMoved freezes an upstream while it executes requests and others are in
// its buffers, waits until its shards have moved, and sends requests until the
// freeze has ended.
func freezeUntilMoved(w *orderWalk, f stub.UpstreamFaults) {
	f.SlowMs = 100
	w.fault(0, f)
	w.await("executions", func() bool { return w.ups[0].Runs().Executing == 2 })
	f.FreezeMs = 2500
	w.fault(0, f)
	w.await("shards of the frozen upstream moved", func() bool {
		return w.ownedShards(w.ups[0].Name()) == 0
	})
	// All callers of w.load may be waiting for the frozen upstream.
	l := &load{cluster: w.cluster, next: longOrder, log: &w.log}
	l.begin(8)
	l.awaitRequests(300)
	w.load.awaitRequests(50) // not before the freeze has ended
	l.end()
}

// ownedShards returns the number of shards that an upstream owns.
func (c *cluster) ownedShards(upstream string) int {
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

// Guards invariant 1: against a key that two upstreams execute at the same time.
// An upstream freezes with grants and requests in its buffers; then a home is
// partitioned from the other instances, and in one case from its upstream, while
// one or two successors take over. The partition stands in for a paused process,
// which can't be simulated within one process; the home's clock keeps running.
func TestOwnership(t *testing.T) {
	t.Parallel()
	w := newOrderWalk(t, longOrder, 16)
	freezeUntilMoved(w, stub.UpstreamFaults{})
	for _, x := range []int{1, 6} {
		w.step("isolate(%d)", x)
		w.isolate(x)
		w.await("all homes serving", w.serving)
	}
	if err := w.finish(); err != nil {
		t.Error(err)
	}
}

// Guards against a walk that doesn't detect an upstream that ignores its fence and
// executes the requests in its buffers.
func TestOwnershipDetects(t *testing.T) {
	t.Parallel()
	w := newOrderWalk(t, longOrder, 16)
	freezeUntilMoved(w, stub.UpstreamFaults{IgnoreFences: true})
	err := w.finish()
	if err == nil {
		t.Error("upstream without a fence was not detected")
	}
	t.Log(err)
}

// Guards against requests that wait in the queue of a frozen upstream until its two
// slots are free, though their shards have long moved.
func TestQueueOfFrozenUpstream(t *testing.T) {
	t.Parallel()
	w := newOrderWalk(t, longOrder, 16)
	w.fault(0, stub.UpstreamFaults{SlowMs: 100})
	w.await("executions", func() bool { return w.ups[0].Runs().Executing == 2 })
	w.fault(0, stub.UpstreamFaults{FreezeMs: 3500})
	w.await("shards of the frozen upstream moved", func() bool { return w.ownedShards(w.ups[0].Name()) == 0 })
	w.load.awaitRequests(200)
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
// keys of a Zipf distribution: against an order that is lost or runs twice, a key
// that two upstreams execute at the same time, and a planner that gives no hot key
// a shard of its own.
func TestHotKeys(t *testing.T) {
	t.Parallel()
	u := stub.UpstreamConfig{ServiceTime: stub.Duration(5 * time.Millisecond), RecordRuns: true}
	c := newCluster(t, 3, service{name: "orders", settings: "idempotent = false\nshard-count = 4\nrebalance-above = 1.25", upstreams: 3, upstream: u}).startAll()
	w := &orderWalk{cluster: c}
	w.load = &load{cluster: c, attempts: 1, log: &w.log, check: func(q request, l []outcome) {
		w.orders = append(w.orders, placedOrder{q.order, l})
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
	split, moved := 0, 0
	w.await("hot keys split and moved", func() bool {
		l := c.members[0].node.dir.Map(organisation, "orders").Block(0).Overrides()
		split, moved = len(l), 0
		for _, o := range l {
			if _, owner, _ := first.FindHash(o.Hash); owner != o.Entry.Upstream {
				moved++
			}
		}
		return moved > 0
	})
	w.load.awaitRequests(200)
	if err := w.finish(); err != nil {
		t.Error(err)
	}
	t.Logf("%d shards of hot keys, %d of them moved", split, moved)
}
