package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/uuid"

	"dandelionrock.example/dandelionrock/internal/header"
	"dandelionrock.example/dandelionrock/internal/model"
	"dandelionrock.example/dandelionrock/internal/stub"
	"dandelionrock.example/dandelionrock/shard"
	"dandelionrock.example/dandelionrock/table"
)

const (
	// orderTimeout is the timeout of one attempt.
	orderTimeout = time.Second
	// lateMs is the delay in milliseconds of requests that an upstream runs late.
	lateMs = 300
)

// orderWalk is a cluster with callers that repeat orders under faults.
type orderWalk struct {
	*cluster
	log
	load   *load
	orders []placedOrder
}

// placedOrder is an order with the outcomes of its attempts.
type placedOrder struct {
	id  string
	all []outcome
}

// newOrderWalk starts a cluster and callers that send the requests of next.
func newOrderWalk(t *testing.T, next func(r *rand.Rand) request, callers int) *orderWalk {
	u := stub.UpstreamConfig{ServiceTime: stub.Duration(10 * time.Millisecond), RecordRuns: true}
	c := newCluster(t, 3, service{name: "orders", settings: "idempotent = false\nshard-count = 8\nmax-timeout = \"5s\"", upstreams: 3, upstream: u})
	w := &orderWalk{cluster: c.startAll()}
	w.load = &load{cluster: c, attempts: 4, log: &w.log, next: next, check: func(q request, l []outcome) {
		w.orders = append(w.orders, placedOrder{q.order, l})
	}}
	w.load.begin(callers)
	return w
}

// order returns a request with a new order id. Half of the ids are UUIDs of version
// 7, which hold a time; the others hold none that can be read.
func order(r *rand.Rand) request {
	id := uuid.Must(uuid.NewV7()).String()
	if r.IntN(2) == 0 {
		id = "order-" + id
	}
	return request{service: "orders", account: "desk", key: fmt.Sprint("key-", r.IntN(64)), order: id, timeout: orderTimeout}
}

// fault sets the faults of one upstream.
func (w *orderWalk) fault(x int, f stub.UpstreamFaults) {
	w.ups[x%len(w.ups)].SetFaults(f)
}

// restartHome kills and restarts the instance that holds the home of an upstream,
// or another one if there is none.
func (w *orderWalk) restartHome(x int) {
	m := w.holder(w.ups[x%len(w.ups)].Name(), nil)
	if m == nil {
		m = w.members[x%len(w.members)]
	}
	if !m.killed.Load() {
		w.kill(m)
	}
	w.load.awaitRequests(5)
	w.start(m.index)
}

// move proposes to move a shard to another upstream.
func (w *orderWalk) move(x int) {
	for _, m := range w.running() {
		if y := m.node.dir.Map(organisation, "orders"); y != nil {
			e, ok := y.Entry(shard.ID(x % 8))
			if to := w.ups[(x+x/3)%3].Name(); ok && e.Upstream != to {
				m.node.proposeMoves(organisation, "orders", []shard.Move{{Shard: shard.ID(x % 8), From: e.Upstream, To: to}})
			}
			return
		}
	}
}

// partition cuts the links between two instances, or an instance and an upstream,
// until 5 more requests have ended.
func (w *orderWalk) partition(a, b string) {
	w.net.setCut(a, b, true)
	w.load.awaitRequests(5)
	w.net.setCut(a, b, false)
}

func orderOperations() []func(w *orderWalk, x int) error {
	type op = operation[*orderWalk]
	return steps(func(w *orderWalk) { w.load.awaitRequests(20) },
		op{"kill a home", func(w *orderWalk, x int) { w.restartHome(x) }},
		op{"cut or lose answers", func(w *orderWalk, x int) {
			w.fault(x, []stub.UpstreamFaults{{CutAnswers: 2}, {LoseAnswers: 2}, {LoseRequests: 2}}[x/3%3])
		}},
		op{"mix answers up", func(w *orderWalk, x int) {
			w.fault(x, []stub.UpstreamFaults{{SwapAnswers: 4}, {WrongRequestIDs: 2}, {DelayAnswersMs: 20}}[x/3%3])
		}},
		op{"late runs", func(w *orderWalk, x int) { w.fault(x, stub.UpstreamFaults{LateRuns: 3, LateMs: lateMs}) }},
		op{"freeze", func(w *orderWalk, x int) { w.fault(x, stub.UpstreamFaults{FreezeMs: 300 + 50*x}) }},
		op{"restart upstream", func(w *orderWalk, x int) { w.fault(x, stub.UpstreamFaults{Restart: true}) }},
		op{"move", func(w *orderWalk, x int) { w.move(x) }},
		op{"lose store answer", func(w *orderWalk, x int) {
			w.fake.FailNext([]table.Fault{table.LoseAnswer, table.LoseRequest, table.Postpone}[x%3])
			w.move(x)
			w.fake.ApplyPostponed()
		}},
		op{"cut instances", func(w *orderWalk, x int) { w.partition(w.members[x%3].name(), w.members[(x+1)%3].name()) }},
		op{"isolate a home", func(w *orderWalk, x int) { w.isolate(x) }},
		op{"cut upstream", func(w *orderWalk, x int) { w.partition(w.members[x%3].name(), w.ups[x/3].Name()) }},
	)
}

// finish ends the load and compares the outcomes of orders with their runs at the
// upstreams.
func (w *orderWalk) finish() error {
	defer w.end()
	for _, u := range w.ups {
		u.SetFaults(stub.UpstreamFaults{})
	}
	w.load.end()
	time.Sleep(2 * lateMs * time.Millisecond) // late runs take effect until then
	runs := map[string]uint64{}
	for _, u := range w.ups {
		for id, n := range u.Runs().Orders {
			runs[id] += n
		}
	}
	for _, p := range w.orders {
		if s := p.violation(runs[p.id]); s != "" {
			w.violate("order %s: %s: %d runs, %+v", p.id, s, runs[p.id], p.all)
		}
	}
	w.checkOverlaps()
	w.Logf("%d orders, outcomes %v", len(w.orders), w.load.kinds)
	return w.failure()
}

// violation describes how the outcomes of an order contradict its number of runs,
// or returns "".
func (p placedOrder) violation(runs uint64) string {
	refused, answered := true, false
	for _, o := range p.all {
		refused = refused && o.kind == header.NotRun
		answered = answered || o.kind == header.Answered && o.status == 200
	}
	switch {
	case runs > 1:
		return "ran twice"
	case refused && runs > 0:
		return "ran despite the outcome not-run"
	case answered && runs != 1:
		return "answered without a run"
	}
	return ""
}

// Guards invariants 3, 4 and 5 under crashes, partitions and faults of upstreams
// and the table: against an order that runs twice, an order that ran despite the
// outcome not-run, an answer that is incomplete or belongs to another request, and
// a caller without an outcome within 2 s after its deadline.
func TestOrderWalks(t *testing.T) {
	t.Parallel()
	err := model.Property[*orderWalk]{
		Seed: *seedFlag, Runs: *walksFlag, Length: 12, MaxArgument: 8, Operations: orderOperations(),
		New: func() *orderWalk { return newOrderWalk(t, order, 8) }, Finish: (*orderWalk).finish,
	}.Check()
	if err != nil {
		t.Error(err)
	}
}

// Guards against walks that don't detect an order that runs twice. Callers number
// each attempt as the first, so that the next home takes an order that has run for
// a new one.
func TestOrderWalksDetect(t *testing.T) {
	t.Parallel()
	w := newOrderWalk(t, order, 8)
	w.load.alwaysFirstAttempt.Store(true)
	for range 3 {
		w.fault(0, stub.UpstreamFaults{LoseAnswers: -1})
		w.load.awaitRequests(10)
		w.restartHome(0)
	}
	err := w.finish()
	if err == nil {
		t.Error("no order ran twice")
	}
	t.Log(err)
}

// Guards invariant 5 and rule 7: against an order that ran at one upstream and runs
// again at the next owner of its shard. The home of the next owner has no record
// of the order, and its term is older than the order.
func TestOrderAfterMove(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, service{name: "orders", settings: "shard-count = 1\nrebalance-above = 0", upstreams: 2}).startAll()
	defer c.end()
	time.Sleep(1500 * time.Millisecond) // more than the clock skew after the terms began
	q := order(rand.New(rand.NewPCG(1, 1)))
	q.order, q.attempt = uuid.Must(uuid.NewV7()).String(), 1
	from, to := 0, 1
	if c.ownedShards(c.ups[1].Name()) > 0 {
		from, to = 1, 0
	}
	send := func() outcome {
		return c.send(context.Background(), c.pickMember(rand.New(rand.NewPCG(1, 2))), q)
	}
	c.ups[from].SetFaults(stub.UpstreamFaults{LoseAnswers: 1})
	if o := send(); o.kind != header.Unknown {
		t.Fatalf("%+v after a lost answer", o)
	}
	c.members[0].node.proposeMoves(organisation, "orders", []shard.Move{{From: c.ups[from].Name(), To: c.ups[to].Name()}})
	c.await("shard moved", func() bool { return c.ownedShards(c.ups[to].Name()) == 1 && c.serving() })
	q.attempt = 2
	if o := send(); o.kind != header.Unknown || c.ups[to].Runs().Total > 0 {
		t.Errorf("order ran twice: %+v", o)
	}
}
