package node

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/internal/header"
	"dandelionrock.example/dandelionrock/internal/stub"
	"dandelionrock.example/dandelionrock/route"
	"dandelionrock.example/dandelionrock/table"
)

// maxDrainDelay is the bound of invariant 6: the time after the start of a drain
// from which the upstream gets no new request.
const maxDrainDelay = 2 * time.Second

// startAnsweredOrders starts callers that send orders. It is a violation if one
// isn't answered with status 200.
func startAnsweredOrders(c *cluster, l *log, callers int) *load {
	x := &load{cluster: c, next: order, log: l, check: func(q request, all []outcome) {
		if o := all[0]; o.kind != header.Answered || o.status != 200 {
			l.violate("%+v got %+v via %s", q, o, o.via.name())
		}
	}}
	return x.begin(callers)
}

// Guards invariant 6: against requests that reach an upstream more than 2 s after
// it began to drain though it reports itself healthy. With an outage of the table,
// no new owners can be committed.
func TestDrain(t *testing.T) {
	t.Parallel()
	for name, outage := range map[string]bool{"table": false, "outage": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u := stub.UpstreamConfig{DrainTime: stub.Duration(time.Minute)}
			c := newCluster(t, 3, service{name: "orders", settings: "idempotent = false\nshard-count = 8", upstreams: 3, upstream: u}).startAll()
			defer c.end()
			l := &log{}
			w := &load{cluster: c, next: order, log: l}
			if outage {
				w.begin(6)
			} else {
				w = startAnsweredOrders(c, l, 6)
			}
			w.awaitRequests(50)
			c.fake.SetOutage(outage)
			c.ups[0].SetFaults(stub.UpstreamFaults{Drain: true})
			time.Sleep(maxDrainDelay + time.Second) // time for late requests
			w.end()
			c.fake.SetOutage(false)
			if n := c.ups[0].Runs().LastStartAfterDrainMs; n > maxDrainDelay.Milliseconds() {
				t.Errorf("request %d ms after the drain began", n)
			}
			if err := l.failure(); err != nil {
				t.Error(err)
			}
			t.Logf("last start %d ms after the drain began, %v", c.ups[0].Runs().LastStartAfterDrainMs, w.kinds)
		})
	}
}

// Guards invariant 7: against a request that is interrupted, refused or lost while
// each instance in turn is shut down gracefully and started again. Callers use an
// instance for a fifth of the close delay after it has become not ready.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	u := stub.UpstreamConfig{ServiceTime: stub.Duration(20 * time.Millisecond)}
	c := newCluster(t, 3, service{name: "orders", settings: "idempotent = false\nshard-count = 8\ntimeout = \"5s\"", upstreams: 3, upstream: u}).startAll()
	defer c.end()
	l := &log{}
	w := startAnsweredOrders(c, l, 6)
	for i := range c.members {
		w.awaitRequests(30)
		if err := c.leave(c.members[i]); err != nil {
			t.Errorf("shutdown of instance %d: %v", i, err)
		}
		w.awaitRequests(30)
		c.await("instance serves again", c.start(i).node.ready)
		c.await("all homes serving", c.serving)
	}
	w.end()
	if err := l.failure(); err != nil {
		t.Error(err)
	}
	t.Logf("%d requests, %v, p99 %v", w.done.Load(), w.kinds, w.p99())
}

const (
	// floodCallers is the number of callers of the flooding client account: 50
	// times those of the quiet one, at equal weight.
	quietCallers = 2
	floodCallers = 50 * quietCallers
	// latencySlack is added to the bound of the quiet account's p99, so that the
	// result doesn't depend on the load of the machine.
	latencySlack = 150 * time.Millisecond
)

// slowBody is a body of n bytes that returns one byte every 20 ms.
type slowBody struct{ n int }

func (s *slowBody) Read(b []byte) (int, error) {
	if s.n--; s.n < 0 {
		return 0, io.EOF
	}
	time.Sleep(20 * time.Millisecond)
	b[0] = 'x'
	return 1, nil
}

// abusiveRequest returns a request of the flooding client account: a plain order,
// or one with a slow body, a reused order id, an oversized key, an unknown service
// or a timeout of 1 ms.
func abusiveRequest(r *rand.Rand) request {
	q := order(r)
	q.account = "flood"
	switch r.IntN(8) {
	case 0:
		q.body = &slowBody{r.IntN(10)}
	case 1:
		q.order = "reused"
	case 2:
		q.key = string(make([]byte, 2000))
	case 3:
		q.service = "nowhere"
	case 4:
		q.timeout = time.Millisecond
	}
	return q
}

// sendAndCancel sends requests and cancels each within 10 ms, until x ends.
func sendAndCancel(x context.Context, c *cluster) {
	r := rand.New(rand.NewPCG(uint64(*seedFlag), 99))
	for x.Err() == nil {
		if m := c.pickMember(r); m != nil {
			y, f := context.WithTimeout(x, time.Duration(r.IntN(10))*time.Millisecond)
			q := order(r)
			q.account = "flood"
			c.send(y, m, q)
			f()
		}
	}
}

// Guards invariant 3 and the isolation of client accounts. While one account floods
// at 50 times its share, with slow bodies, cancelled and invalid requests, every
// request of the other account must be answered, and its p99 must be at most 1.5
// times that without the flood, plus 150 ms.
func TestFlood(t *testing.T) {
	u := stub.UpstreamConfig{ServiceTime: stub.Duration(4 * time.Millisecond)}
	c := newCluster(t, 2, service{name: "orders", settings: "idempotent = false\nshard-count = 8\nrebalance-above = 0", upstreams: 2, upstream: u}).startAll()
	defer c.end()
	l := &log{}
	w := startAnsweredOrders(c, l, quietCallers)
	w.awaitRequests(300)
	w.end()
	base := w.p99()
	f := &load{cluster: c, next: abusiveRequest, log: &log{}}
	f.begin(floodCallers)
	x, stop := context.WithCancel(context.Background())
	for range quietCallers {
		f.work.Go(func() { sendAndCancel(x, c) })
	}
	f.awaitRequests(200)
	w = startAnsweredOrders(c, l, quietCallers)
	w.awaitRequests(300)
	w.end()
	stop()
	f.end()
	if p := w.p99(); p > base*3/2+latencySlack {
		t.Errorf("p99 %v with the flood, %v without", p, base)
	}
	if err := l.failure(); err != nil {
		t.Error(err)
	}
	if f.kinds[header.Answered] == 0 {
		t.Error("nothing of the flood was answered")
	}
	t.Logf("p99 %v without, %v with the flood; quiet %v, flood %v", base, w.p99(), w.kinds, fmt.Sprint(f.kinds))
}

// Guards against keyed requests that fail during an outage of the table with
// unchanged membership, and against a burst of writes when the table recovers: at
// most one per home and second is allowed.
func TestOutage(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, service{name: "orders", settings: "idempotent = false\nshard-count = 8\nrebalance-above = 0", upstreams: 3})
	d, err := table.NewDynamo(table.DynamoConfig{URL: c.platform.URL(), Table: "dandelionrock", Timeout: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	c.store = d
	c.startAll()
	defer c.end()
	c.platform.SetFaults(stub.PlatformFaults{Outage: true})
	l := &log{}
	w := startAnsweredOrders(c, l, 6)
	time.Sleep(3 * time.Second) // several renewals, heartbeats and polls
	w.awaitRequests(100)
	before := c.platform.Stats().Writes
	c.platform.SetFaults(stub.PlatformFaults{})
	const after = 3 * time.Second
	time.Sleep(after)
	w.end()
	n := c.platform.Stats().Writes - before
	if maxWrites := uint64(len(c.ups)) * uint64(after/time.Second); n > maxWrites {
		t.Errorf("%d writes within %v after the outage, at most %d are expected", n, after, maxWrites)
	}
	if err := l.failure(); err != nil {
		t.Error(err)
	}
	t.Logf("%d requests, %v, %d writes after the outage", w.done.Load(), w.kinds, n)
}

// Guards against the handover of a home whose upstream was lost: a handover would
// stop the evacuation, and the successor would have to start it again.
func TestNoHandoverOfLostUpstream(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, service{name: "orders", settings: "shard-count = 8", upstreams: 2}).startAll()
	defer c.end()
	c.ups[0].SetFaults(stub.UpstreamFaults{Outage: true})
	k := route.HomeKey(organisation, "orders", c.ups[0].Name())
	h := c.holder(c.ups[0].Name(), nil).node.home(k)
	c.await("upstream lost", h.Unavailable)
	if !h.Moving() {
		t.Error("home may be handed over while its upstream is lost")
	}
}
