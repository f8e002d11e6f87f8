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

// inForce bounds the time from the acceptance of a configuration until every
// reachable instance has it.
const inForce = 3 * time.Second

// configWalk is a cluster whose configuration operators change under faults.
type configWalk struct {
	*cluster
	log
	// texts holds the only text of each version, lost those that were refused.
	texts map[uint64]string
	lost  map[string]bool
	// floor is the lowest version that each instance may show.
	floor  []uint64
	outage bool
	next   int
	quit   chan struct{}
	watch  sync.WaitGroup
}

func newConfigWalk(t *testing.T, mutate func(table.Store) table.Store) *configWalk {
	c := newCluster(t, 3, service{name: "orders", settings: "shard-count = 1", upstreams: 1})
	if mutate != nil {
		c.store = mutate(c.fake)
	}
	c.begin()
	w := &configWalk{cluster: c, texts: map[uint64]string{}, lost: map[string]bool{}, floor: make([]uint64, 3), quit: make(chan struct{})}
	w.watch.Go(w.observe)
	return w
}

// observe follows the version in force at each instance.
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

func (w *configWalk) check(m *member) {
	w.log.mu.Lock()
	least := w.floor[m.index]
	w.log.mu.Unlock()
	r, _ := m.node.dir.Row(route.ConfigKey(organisation))
	v := uint64(r.Version)
	if v < least {
		w.violate("%s shows version %d after %d", m.name(), v, least)
	}
	if x, err := configOf(r); v > 0 && err == nil {
		w.note(v, x.Text)
	}
	w.log.mu.Lock()
	defer w.log.mu.Unlock()
	if w.floor[m.index] == least { // else the instance was restarted meanwhile
		w.floor[m.index] = max(v, least)
	}
}

// note records the text of a version.
func (w *configWalk) note(v uint64, text string) {
	w.log.mu.Lock()
	old, ok := w.texts[v]
	w.texts[v] = text
	lost := w.lost[text]
	w.log.mu.Unlock()
	if ok && old != text {
		w.violate("version %d has two texts", v)
	}
	if lost {
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

// submit sends a text through each of the members at the same time. Without
// trouble of the table one wins and the others get a conflict.
func (w *configWalk) submit(l []*member) {
	base, sound := w.current(), !w.outage
	results := make([]error, len(l))
	var g sync.WaitGroup
	for i, m := range l {
		sound = sound && !w.net.severed(m.name(), storeName)
		w.next++
		text := w.text() + fmt.Sprintf("# change %d\n", w.next)
		g.Go(func() {
			var v uint64
			v, results[i] = w.operator(m).Submit(context.Background(), organisation, []byte(text), base)
			w.judge(text, v, results[i])
		})
	}
	g.Wait()
	w.step("submit through %d on %d: %v", len(l), base, results)
	won := 0
	for i, err := range results {
		if err == nil {
			won++
			w.inForce(l[i], base+1)
		} else if sound && !isConflict(err) {
			w.violate("submit failed without a conflict: %v", err)
		}
	}
	if won > 1 || sound && won == 0 {
		w.violate("%d winners of a race", won)
	}
}

func isConflict(err error) bool {
	var k *admin.ConflictError
	return errors.As(err, &k)
}

// judge records the result of one submit.
func (w *configWalk) judge(text string, v uint64, err error) {
	if err == nil {
		w.note(v, text)
	} else if isConflict(err) || errors.Is(err, admin.ErrNotRun) {
		w.log.mu.Lock()
		w.lost[text] = true
		w.log.mu.Unlock()
	}
}

// reachable returns the members that are connected with m, directly or not.
func (w *configWalk) reachable(m *member) []*member {
	l, seen := []*member{m}, map[*member]bool{m: true}
	for i := 0; i < len(l); i++ {
		for _, x := range w.running() {
			if !seen[x] && !w.net.severed(l[i].name(), x.name()) {
				seen[x] = true
				l = append(l, x)
			}
		}
	}
	return l
}

// inForce checks that a version reaches every reachable instance in time.
func (w *configWalk) inForce(from *member, v uint64) {
	for _, m := range w.reachable(from) {
		if !within(inForce, func() bool { return m.node.dir.ConfigVersions()[organisation] >= v }) {
			w.violate("version %d from %s is not in force at %s after %v\n%s", v, from.name(), m.name(), inForce, w.report())
		}
	}
}

func (w *configWalk) setOutage(on bool) {
	w.outage = on
	w.fake.SetOutage(on)
}

// restart replaces an instance. What it may show from then on is the least that
// the instances know from which it starts, or what the table has.
func (w *configWalk) restart(i int) {
	w.kill(w.members[i])
	w.log.mu.Lock()
	least := w.floor[i]
	for _, m := range w.running() {
		least = min(least, m.node.dir.ConfigVersions()[organisation])
	}
	w.floor[i] = least
	w.log.mu.Unlock()
	m := w.start(i)
	w.await("restarted instance ready", m.node.ready)
	w.meet()
}

// meet waits until all instances that are not cut off hear one another.
func (w *configWalk) meet() {
	w.await("instances meet", func() bool {
		for _, a := range w.running() {
			for _, b := range w.running() {
				p, _ := a.node.peers.Instance(b.id)
				if a != b && !w.net.severed(a.name(), b.name()) && (p.State != peer.Live || p.Incarnation != b.node.self.Incarnation) {
					return false
				}
			}
		}
		return true
	})
}

// heal ends all faults.
func (w *configWalk) heal() {
	w.setOutage(false)
	for _, a := range w.running() {
		w.net.sever(a.name(), storeName, false)
		for _, b := range w.running() {
			w.net.sever(a.name(), b.name(), false)
		}
	}
	w.meet()
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
					w.net.sever(a.name(), b.name(), true)
				}
			}
			w.submit([]*member{w.members[(x+x/3)%3]})
		}},
		op{"cut from store", func(w *configWalk, x int) {
			w.net.sever(w.members[x%3].name(), storeName, true)
			w.submit(w.running())
		}},
		op{"heal", func(w *configWalk, _ int) { w.heal(); w.submit(w.running()) }},
		op{"restart", func(w *configWalk, x int) { w.restart(x % 3) }},
		op{"outage", func(w *configWalk, x int) { w.setOutage(x%2 == 0); w.submit(w.running()) }},
		op{"restart in outage", func(w *configWalk, x int) { w.setOutage(true); w.restart(x % 3); w.setOutage(false) }},
		op{"land", func(w *configWalk, _ int) { w.fake.ApplyPostponed() }},
	)
}

// finish heals the cluster and compares all instances with the table.
func (w *configWalk) finish() error {
	defer w.end()
	w.heal()
	w.fake.ApplyPostponed()
	v := w.current()
	for _, m := range w.running() {
		if !within(patience, func() bool { return m.node.dir.ConfigVersions()[organisation] == v }) {
			w.violate("%s does not come to version %d\n%s", m.name(), v, w.report())
		}
	}
	close(w.quit)
	w.watch.Wait()
	return w.verdict()
}

// Guards invariant 8: two winners of a version, a refused text in force, a
// version that reverts at an instance, also across its restart, and an accepted
// version that is late at a reachable instance.
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

// blind writes configurations whatever their version.
type blind struct{ table.Store }

func (b blind) Commit(c context.Context, t table.Txn) error {
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

// hasty takes a lost answer for a write that was refused.
type hasty struct{ table.Store }

func (h hasty) Commit(c context.Context, t table.Txn) error {
	err := h.Store.Commit(c, t)
	if errors.Is(err, table.ErrAmbiguous) {
		return table.ErrUnavailable
	}
	return err
}

// Guards against walks that would not find a table without conditions or a lost
// answer that is taken for a refusal.
func TestConfigWalksDetect(t *testing.T) {
	t.Parallel()
	for n, f := range map[string]func(table.Store) table.Store{
		"blind": func(s table.Store) table.Store { return blind{s} },
		"hasty": func(s table.Store) table.Store { return hasty{s} },
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

// Guards against an oracle that would not notice that the table and all
// instances have gone back to an earlier version.
func TestConfigWalksDetectReversion(t *testing.T) {
	t.Parallel()
	w := newConfigWalk(t, nil)
	old := w.fake.Clone()
	w.submit(w.running())
	w.await("version observed", func() bool {
		w.log.mu.Lock()
		defer w.log.mu.Unlock()
		return w.floor[0] >= w.current()
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

// Guards against an instance that becomes ready without a configuration while
// neither the table nor a peer can be read, and one that needs the table though
// a peer has the rows.
func TestStartDuringOutage(t *testing.T) {
	t.Parallel()
	w := newConfigWalk(t, nil)
	v := w.current()
	w.setOutage(true)
	next := fmt.Sprintf("i2.%d", w.members[2].run+1)
	for _, m := range w.members[:2] {
		w.net.sever(m.name(), next, true)
	}
	w.kill(w.members[2])
	m := w.start(2)
	if within(2*time.Second, m.node.ready) {
		t.Error("instance is ready without a configuration")
	}
	for _, p := range w.members[:2] {
		w.net.sever(p.name(), next, false)
	}
	if !within(inForce, func() bool { return m.node.ready() && m.node.dir.ConfigVersions()[organisation] == v }) {
		t.Errorf("instance did not start from its peers\n%s", w.report())
	}
	if err := w.finish(); err != nil {
		t.Error(err)
	}
}
