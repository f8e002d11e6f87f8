package node

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionrock.example/dandelionrock/internal/admin"
	"dandelionrock.example/dandelionrock/internal/model"
	"dandelionrock.example/dandelionrock/peer"
	"dandelionrock.example/dandelionrock/route"
	"dandelionrock.example/dandelionrock/table"
)

// inForceTimeout bounds the time from the acceptance of a configuration until every
// reachable instance has it.
const inForceTimeout = 3 * time.Second

// configWalk is a cluster whose operators change the configuration under faults.
type configWalk struct {
	*cluster
	log
	// texts holds the text of each version, refused the texts that were refused.
	texts   map[uint64]string
	refused map[string]bool
	// minVersion is the lowest version that each instance may have in force.
	minVersion []uint64
	outage     bool
	next       int
	quit       chan struct{}
	observer   sync.WaitGroup
}

func newConfigWalk(t *testing.T, mutate func(table.Store) table.Store) *configWalk {
	c := newCluster(t, 3, service{name: "orders", settings: "shard-count = 1", upstreams: 1})
	if mutate != nil {
		c.store = mutate(c.fake)
	}
	c.startAll()
	w := &configWalk{cluster: c, texts: map[uint64]string{}, refused: map[string]bool{}, minVersion: make([]uint64, 3), quit: make(chan struct{})}
	w.observer.Go(w.observe)
	return w
}

// observe checks the version in force at each instance until quit is closed.
func (w *configWalk) observe() {
	for {
		select {
		case <-w.quit:
			return
		case <-time.After(2 * time.Millisecond):
		}
		for _, m := range w.running() {
			if m.node.ready() {
				w.check(m)
			}
		}
	}
}

// check fails the walk if the version of a member has gone back, and records it.
func (w *configWalk) check(m *member) {
	w.log.mu.Lock()
	minVersion := w.minVersion[m.index]
	w.log.mu.Unlock()
	r, _ := m.node.dir.Row(route.ConfigKey(organisation))
	v := uint64(r.Version)
	if v < minVersion {
		w.violate("%s has version %d in force after version %d", m.name(), v, minVersion)
	}
	if x, err := configOf(r); v > 0 && err == nil {
		w.recordText(v, x.Text)
	}
	w.log.mu.Lock()
	defer w.log.mu.Unlock()
	if w.minVersion[m.index] == minVersion { // else the instance was restarted meanwhile
		w.minVersion[m.index] = max(v, minVersion)
	}
}

// recordText records the text of a version. It is a violation if the version has
// another text or the text was refused.
func (w *configWalk) recordText(v uint64, text string) {
	w.log.mu.Lock()
	old, ok := w.texts[v]
	w.texts[v] = text
	refused := w.refused[text]
	w.log.mu.Unlock()
	if ok && old != text {
		w.violate("version %d has two texts", v)
	}
	if refused {
		w.violate("version %d has the text of a refused submit", v)
	}
}

// current returns the version in the table.
func (w *configWalk) current() uint64 {
	r, err := w.fake.Clone().Read(context.Background(), route.ConfigKey(organisation))
	if err != nil {
		w.Fatal(err)
	}
	return uint64(r[0].Version)
}

// submit submits a different text through each of the members concurrently. If the
// table is reachable, one is accepted and the others get a conflict.
func (w *configWalk) submit(l []*member) {
	base, reliable := w.current(), !w.outage
	results := make([]error, len(l))
	var g sync.WaitGroup
	for i, m := range l {
		reliable = reliable && !w.net.unreachable(m.name(), storeName)
		w.next++
		text := w.configText() + fmt.Sprintf("# change %d\n", w.next)
		g.Go(func() {
			var v uint64
			v, results[i] = w.operator(m).Submit(context.Background(), organisation, []byte(text), base)
			w.recordResult(text, v, results[i])
		})
	}
	g.Wait()
	w.step("submit through %d on %d: %v", len(l), base, results)
	accepted := 0
	for i, err := range results {
		if err == nil {
			accepted++
			w.checkInForce(l[i], base+1)
		} else if reliable && !isConflict(err) {
			w.violate("submit failed without a conflict: %v", err)
		}
	}
	if accepted > 1 || reliable && accepted == 0 {
		w.violate("%d concurrent submits accepted", accepted)
	}
}

func isConflict(err error) bool {
	var k *admin.ConflictError
	return errors.As(err, &k)
}

// recordResult records the text of an accepted or refused submit.
func (w *configWalk) recordResult(text string, v uint64, err error) {
	if err == nil {
		w.recordText(v, text)
	} else if isConflict(err) || errors.Is(err, admin.ErrNotRun) {
		w.log.mu.Lock()
		w.refused[text] = true
		w.log.mu.Unlock()
	}
}

// reachable returns the members that m reaches, directly or through others.
func (w *configWalk) reachable(m *member) []*member {
	l, seen := []*member{m}, map[*member]bool{m: true}
	for i := 0; i < len(l); i++ {
		for _, x := range w.running() {
			if !seen[x] && !w.net.unreachable(l[i].name(), x.name()) {
				seen[x] = true
				l = append(l, x)
			}
		}
	}
	return l
}

// checkInForce checks that a version is in force within inForceTimeout at every
// member that is reachable from the given one.
func (w *configWalk) checkInForce(from *member, v uint64) {
	for _, m := range w.reachable(from) {
		if !within(inForceTimeout, func() bool { return m.node.dir.ConfigVersions()[organisation] >= v }) {
			w.violate("version %d from %s is not in force at %s after %v\n%s", v, from.name(), m.name(), inForceTimeout, w.report())
		}
	}
}

func (w *configWalk) setOutage(on bool) {
	w.outage = on
	w.fake.SetOutage(on)
}

// restart kills an instance and starts it again. It may load its directory from
// any running instance, so that its minVersion drops to the lowest version in
// force at one of them.
func (w *configWalk) restart(i int) {
	w.kill(w.members[i])
	w.log.mu.Lock()
	minVersion := w.minVersion[i]
	for _, m := range w.running() {
		minVersion = min(minVersion, m.node.dir.ConfigVersions()[organisation])
	}
	w.minVersion[i] = minVersion
	w.log.mu.Unlock()
	m := w.start(i)
	w.await("restarted instance ready", m.node.ready)
	w.awaitMembership()
}

// awaitMembership waits until all instances that reach one another see each other
// as live.
func (w *configWalk) awaitMembership() {
	w.await("instances live to one another", func() bool {
		for _, a := range w.running() {
			for _, b := range w.running() {
				p, _ := a.node.peers.Instance(b.id)
				if a != b && !w.net.unreachable(a.name(), b.name()) && (p.State != peer.Live || p.Incarnation != b.node.self.Incarnation) {
					return false
				}
			}
		}
		return true
	})
}

// heal ends the outage and all partitions.
func (w *configWalk) heal() {
	w.setOutage(false)
	for _, a := range w.running() {
		w.net.setCut(a.name(), storeName, false)
		for _, b := range w.running() {
			w.net.setCut(a.name(), b.name(), false)
		}
	}
	w.awaitMembership()
}

func configOperations() []func(w *configWalk, x int) error {
	type op = operation[*configWalk]
	return steps(func(*configWalk) {},
		op{"race", func(w *configWalk, _ int) { w.submit(w.running()) }},
		op{"lost answer", func(w *configWalk, x int) {
			w.fake.FailNext([]table.Fault{table.LoseAnswer, table.LoseRequest, table.Postpone}[x%3])
			w.submit(w.running()[:1+x%2])
		}},
		op{"partition", func(w *configWalk, x int) {
			a := w.members[x%3]
			for _, b := range w.running() {
				if b != a && (x > 5 || b == w.members[(x+1)%3]) {
					w.net.setCut(a.name(), b.name(), true)
				}
			}
			w.submit([]*member{w.members[(x+x/3)%3]})
		}},
		op{"cut from store", func(w *configWalk, x int) {
			w.net.setCut(w.members[x%3].name(), storeName, true)
			w.submit(w.running())
		}},
		op{"heal", func(w *configWalk, _ int) { w.heal(); w.submit(w.running()) }},
		op{"restart", func(w *configWalk, x int) { w.restart(x % 3) }},
		op{"outage", func(w *configWalk, x int) { w.setOutage(x%2 == 0); w.submit(w.running()) }},
		op{"restart in outage", func(w *configWalk, x int) { w.setOutage(true); w.restart(x % 3); w.setOutage(false) }},
		op{"land", func(w *configWalk, _ int) { w.fake.ApplyPostponed() }},
	)
}

// finish heals the cluster and checks that all instances get the version in the
// table.
func (w *configWalk) finish() error {
	defer w.end()
	w.heal()
	w.fake.ApplyPostponed()
	v := w.current()
	for _, m := range w.running() {
		if !within(awaitTimeout, func() bool { return m.node.dir.ConfigVersions()[organisation] == v }) {
			w.violate("%s does not reach version %d\n%s", m.name(), v, w.report())
		}
	}
	close(w.quit)
	w.observer.Wait()
	return w.failure()
}

// Guards invariant 8 under partitions, restarts and faults of the table: against
// two accepted submits of one version, a refused text in force, a version that
// goes back at an instance, also across its restart, and an accepted version that
// isn't in force in time at a reachable instance.
func TestConfigWalks(t *testing.T) {
	t.Parallel()
	err := model.Property[*configWalk]{
		Seed: *seedFlag, Runs: *walksFlag, Length: 16, MaxArgument: 8, Operations: configOperations(),
		New: func() *configWalk { return newConfigWalk(t, nil) }, Finish: (*configWalk).finish,
	}.Check()
	if err != nil {
		t.Error(err)
	}
}

// unconditionalStore is a mutation: it commits configurations without checking
// their version.
type unconditionalStore struct{ table.Store }

func (b unconditionalStore) Commit(c context.Context, t table.Txn) error {
	if k := t.Puts[0].Key; strings.HasPrefix(string(k), "config/") {
		for {
			r, err := b.Read(c, k)
			if err != nil {
				return err
			}
			t.Puts[0].Version, t.Puts[0].Txns = r[0].Version, r[0].Txns
			if err := b.Store.Commit(c, t); !errors.Is(err, table.ErrConflict) {
				return err
			}
		}
	}
	return b.Store.Commit(c, t)
}

// misreportingStore is a mutation: it reports a commit whose answer was lost as one
// that didn't run.
type misreportingStore struct{ table.Store }

func (h misreportingStore) Commit(c context.Context, t table.Txn) error {
	err := h.Store.Commit(c, t)
	if errors.Is(err, table.ErrAmbiguous) {
		return table.ErrUnavailable
	}
	return err
}

// Guards against walks that don't detect a table without conditional writes, or a
// lost answer that is reported as a refusal.
func TestConfigWalksDetect(t *testing.T) {
	t.Parallel()
	for n, f := range map[string]func(table.Store) table.Store{
		"unconditional": func(s table.Store) table.Store { return unconditionalStore{s} },
		"misreporting":  func(s table.Store) table.Store { return misreportingStore{s} },
	} {
		w := newConfigWalk(t, f)
		w.fake.SetDelay(50 * time.Millisecond) // so that the submits of a race overlap
		for range 3 {
			w.submit(w.running())
			w.fake.FailNext(table.LoseAnswer)
			w.submit(w.running()[:1])
		}
		err := w.finish()
		if err == nil {
			t.Errorf("%s store was not detected", n)
		}
		t.Logf("%s: %v", n, err)
	}
}

// Guards against an observer that doesn't detect that the table and all instances
// have gone back to an earlier version.
func TestConfigWalksDetectReversion(t *testing.T) {
	t.Parallel()
	w := newConfigWalk(t, nil)
	old := w.fake.Clone()
	w.submit(w.running())
	w.await("version observed", func() bool {
		w.log.mu.Lock()
		defer w.log.mu.Unlock()
		return w.minVersion[0] >= w.current()
	})
	for _, m := range w.running() {
		w.kill(m)
	}
	w.fake, w.store = old, old
	m := w.start(0)
	w.await("restarted instance ready", m.node.ready)
	time.Sleep(100 * time.Millisecond) // some rounds of the observer
	if err := w.finish(); err == nil {
		t.Error("reversion was not detected")
	}
}

// Guards against an instance that becomes ready without a configuration when it
// reaches neither the table nor a peer, and against one that doesn't start in an
// outage of the table though a peer has the rows.
func TestStartDuringOutage(t *testing.T) {
	t.Parallel()
	w := newConfigWalk(t, nil)
	v := w.current()
	w.setOutage(true)
	next := fmt.Sprintf("i2.%d", w.members[2].run+1)
	for _, m := range w.members[:2] {
		w.net.setCut(m.name(), next, true)
	}
	w.kill(w.members[2])
	m := w.start(2)
	if within(2*time.Second, m.node.ready) {
		t.Error("instance is ready without a configuration")
	}
	for _, p := range w.members[:2] {
		w.net.setCut(p.name(), next, false)
	}
	if !within(inForceTimeout, func() bool { return m.node.ready() && m.node.dir.ConfigVersions()[organisation] == v }) {
		t.Errorf("instance did not start from its peers\n%s", w.report())
	}
	if err := w.finish(); err != nil {
		t.Error(err)
	}
}
