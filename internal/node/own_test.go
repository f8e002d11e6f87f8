package node

import (
	"math/rand/v2"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/internal/stand"
	"dandelionrock.example/dandelionrock/shard"
)

// isolate cuts a home off from all instances and the table, and from its
// upstream if x is odd, until another instance serves or 3 s have passed. The
// home then goes on as one that was paused. With x above 5 the others are cut
// off from each other, too, so that there are two successors.
func (w *orderWalk) isolate(x int) {
	u := w.ups[x%len(w.ups)].Name()
	m := w.holder(u)
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
	within(3*time.Second, func() bool { return w.heldBeside(m, u) })
	w.load.pass(10)
	cut(false)
}

// heldBeside reports whether a member other than m serves an upstream.
func (w *orderWalk) heldBeside(m *member, upstream string) bool {
	for _, x := range w.running() {
		for _, h := range x.node.Status().Homes {
			if x != m && h.Upstream == upstream && h.State == "serving" {
				return true
			}
		}
	}
	return false
}

// overlaps looks for runs of one key at two upstreams at overlapping times.
func (w *orderWalk) overlaps() {
	by := map[string][]stand.Run{}
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
func freezeAndMove(w *orderWalk, f stand.UpstreamFaults) {
	w.load.pass(20)
	f.FreezeMs = 2500
	w.fault(0, f)
	w.await("shards of the frozen upstream moved", func() bool {
		return w.shards(w.ups[0].Name()) == 0
	})
	// The first callers may all wait for the frozen upstream.
	l := &load{cluster: w.cluster, next: patient, log: &w.log}
	l.begin(8)
	l.pass(200)
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
	freezeAndMove(w, stand.UpstreamFaults{})
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
	freezeAndMove(w, stand.UpstreamFaults{IgnoreFences: true})
	err := w.finish()
	if err == nil {
		t.Error("upstream without a fence was not detected")
	}
	t.Log(err)
}
