package node

import (
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/internal/header"
	"dandelionrock.example/dandelionrock/internal/stand"
)

// drainBound is invariant 6: the time after which a draining upstream gets no
// new request.
const drainBound = 2 * time.Second

// steady starts callers of orders each of which must be answered.
func steady(c *cluster, l *log, callers int) *load {
	x := &load{cluster: c, next: order, log: l, check: func(q request, all []outcome) {
		if o := all[0]; o.kind != header.Answered || o.status != 200 {
			l.violate("%+v got %+v via %s", q, o, o.via.name())
		}
	}}
	return x.begin(callers)
}

// Guards invariant 6: requests that reach an upstream more than 2 s after it
// began to drain, although its health says fine; with and without a table that
// can commit new owners.
func TestDrain(t *testing.T) {
	t.Parallel()
	for name, outage := range map[string]bool{"table": false, "outage": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u := stand.UpstreamConfig{DrainTime: stand.Duration(time.Minute)}
			c := newCluster(t, 3, service{name: "orders", settings: "idempotent = false\nshard-count = 8", upstreams: 3, upstream: u}).begin()
			defer c.end()
			l := &log{}
			w := &load{cluster: c, next: order, log: l}
			if outage {
				w.begin(6)
			} else {
				w = steady(c, l, 6)
			}
			w.pass(50)
			c.fake.SetOutage(outage)
			c.ups[0].SetFaults(stand.UpstreamFaults{Drain: true})
			time.Sleep(drainBound + time.Second) // time for late requests
			w.end()
			c.fake.SetOutage(false)
			if n := c.ups[0].Runs().LastStartAfterDrainMs; n > drainBound.Milliseconds() {
				t.Errorf("request %d ms after the drain began", n)
			}
			if err := l.verdict(); err != nil {
				t.Error(err)
			}
			t.Logf("last start %d ms after the drain began, %v", c.ups[0].Runs().LastStartAfterDrainMs, w.kinds)
		})
	}
}

// Guards invariant 7: a request that is cut, refused or lost while every
// instance in turn is shut down gracefully and started again. Callers use an
// instance until it is no longer listed, just before its shutdown.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	u := stand.UpstreamConfig{ServiceTime: stand.Duration(20 * time.Millisecond)}
	c := newCluster(t, 3, service{name: "orders", settings: "idempotent = false\nshard-count = 8\ntimeout = \"5s\"", upstreams: 3, upstream: u}).begin()
	defer c.end()
	l := &log{}
	w := steady(c, l, 6)
	for i := range c.members {
		w.pass(30)
		if err := c.leave(c.members[i]); err != nil {
			t.Errorf("shutdown of instance %d: %v", i, err)
		}
		w.pass(30)
		c.await("instance serves again", c.start(i).node.ready)
		c.await("all homes serving", c.serving)
	}
	w.end()
	if err := l.verdict(); err != nil {
		t.Error(err)
	}
	t.Logf("%d requests, %v, p99 %v", w.done, w.kinds, w.p99())
}
