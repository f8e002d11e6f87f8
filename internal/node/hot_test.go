package node

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/internal/stand"
)

// zipf returns a number below n by the distribution of Zipf with exponent 1.1.
func zipf(r *rand.Rand, n int) int {
	sum := 0.0
	for i := range n {
		sum += math.Pow(float64(i+1), -1.1)
	}
	x := r.Float64() * sum
	for i := range n {
		if x -= math.Pow(float64(i+1), -1.1); x <= 0 {
			return i
		}
	}
	return n - 1
}

// Guards invariants 1 and 5 while the planner splits and moves the shards of hot
// keys: an order that is lost or runs twice, a key that two upstreams execute
// at the same time, and a planner that gives no hot key a shard of its own.
func TestHotKeys(t *testing.T) {
	t.Parallel()
	u := stand.UpstreamConfig{ServiceTime: stand.Duration(5 * time.Millisecond), RecordRuns: true}
	c := newCluster(t, 3, service{name: "orders", settings: "idempotent = false\nshard-count = 4\nrebalance-above = 1.25", upstreams: 3, upstream: u}).begin()
	w := &orderWalk{cluster: c}
	w.load = &load{cluster: c, attempts: 1, log: &w.log, check: func(q request, l []outcome) {
		w.orders = append(w.orders, placed{q.order, l})
		if l[0].kind != "answered" {
			w.violate("%+v got %+v", q, l[0])
		}
	}, next: func(r *rand.Rand) request {
		q := order(r)
		q.key = fmt.Sprint("key-", zipf(r, 64))
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
