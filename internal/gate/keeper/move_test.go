package keeper

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/gate/meter"
	"dandelionrock.example/dandelionrock/internal/plan/keys"
	"dandelionrock.example/dandelionrock/internal/relay"
	"dandelionrock.example/dandelionrock/internal/state/alive"
	"dandelionrock.example/dandelionrock/internal/state/syncer"
	"dandelionrock.example/dandelionrock/internal/state/view"
	"dandelionrock.example/dandelionrock/peer"
	"dandelionrock.example/dandelionrock/platform"
	"dandelionrock.example/dandelionrock/platform/fake"
	"dandelionrock.example/dandelionrock/schema"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"
)

// fixture is a keeper of two targets that the test drives step by step. Target
// a owns all keys, and b none.
type fixture struct {
	*Keeper
	t         *testing.T
	fakeStore *fake.Store
	targets   map[string]*fake.Target
}

const (
	// fixtureHold outlasts a test, since the fixture renews no grants.
	fixtureHold = time.Minute
	// waitTimeout bounds the wait for a condition, also on a busy machine.
	waitTimeout = 20 * time.Second
)

func newFixture(t *testing.T) *fixture {
	t.Helper()
	m, err := fake.NewStore("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ledger := fake.NewLedger()
	f := &fixture{t: t, fakeStore: m, targets: map[string]*fake.Target{}}
	for _, id := range []string{"a", "b"} {
		v := &fake.Target{ID: id, Service: "quotes", Domain: "a1", Keyed: true, Slots: 2, ServiceTime: time.Millisecond}
		if err := v.Start("127.0.0.1:0", m, ledger); err != nil {
			t.Fatal(err)
		}
		f.targets[id] = v
	}
	self := peer.Instance{ID: "i0", Incarnation: "run-1", Region: "a", FailureDomain: "a1"}
	store, pool, live := platform.NewStore(m.Address()), relay.NewPool(relay.Options{}), alive.New(self.ID)
	s := syncer.New(self, store, pool, live, fake.DefaultDrain, zerolog.Nop(), nil)
	s.Start()
	f.Keeper = &Keeper{
		service: "quotes", self: self, syncer: s, store: store, granter: platform.NewGranter(), pool: pool, alive: live,
		owners: &keys.Owners{}, log: zerolog.Nop(), meter: meter.New(zerolog.Nop()), leaving: func() bool { return false }, hold: fixtureHold,
		grantStates: map[string]*grantState{}, ratings: map[string]*rating{}, balancer: &keys.Balancer{},
	}
	t.Cleanup(func() {
		m.SetFault(0, nil)
		f.group.Wait()
		_ = s.Close()
		for _, v := range f.targets {
			v.Kill()
		}
		_ = m.Close()
		for _, x := range ledger.Violations() {
			t.Error(x)
		}
	})
	f.await("two targets are known", func() bool { return len(f.syncer.View().Services["quotes"]) == 2 && s.Age() < maxFreshAge })
	f.grantAllToA()
	return f
}

// grantAllToA sets up the state of a keeper that has granted all keys to target
// a.
func (f *fixture) grantAllToA() {
	f.t.Helper()
	a := f.syncer.View().Targets["a"]
	r := &schema.KeyRange{To: platform.MaxKey, Target: "a", Born: a.Born, Fence: firstFence(1)}
	f.row = &schema.KeyMap{Service: "quotes", Epoch: 1, Keeper: f.self.ID, Incarnation: f.self.Incarnation, Ranges: keys.Ranges{r}}
	b, err := proto.Marshal(f.row)
	if err != nil {
		f.t.Fatal(err)
	}
	f.version = platform.VersionOf(f.store.Era(), uint64(f.fakeStore.Put(platform.TableOwn, view.PrefixKeys+"quotes", b)))
	f.confirmed, f.takeovers = clock.Boot(), 1
	f.owners.Adopt("quotes", 1, f.row.Ranges)
	f.grantAll(context.Background(), f.syncer.View(), f.row.Ranges, []string{""})
	if !f.serves("a", 0) {
		f.t.Fatal("target a holds no keys after the grant")
	}
}

func (f *fixture) await(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(waitTimeout); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("condition not met in time: %s", what)
		}
	}
}

// serves reports whether a target executes a request for a key.
func (f *fixture) serves(target string, key int) bool {
	f.t.Helper()
	q, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/x", f.targets[target].Address()), nil)
	if err != nil {
		f.t.Fatal(err)
	}
	q.Header.Set(platform.HeaderAttempt, "x")
	q.Header.Set(platform.HeaderKey, strconv.Itoa(key))
	h := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := h.Do(q)
	if err != nil {
		f.t.Fatal(err)
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// lowerHalfToB returns a move of the lower half of the keys from target a to
// target b.
func (f *fixture) lowerHalfToB() keys.Move {
	a, b := f.syncer.View().Targets["a"], f.syncer.View().Targets["b"]
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &schema.KeyRange{To: platform.MaxKey / 2, Target: "a", Born: a.Born, Fence: keys.Ranges(f.row.Ranges).Find(0).Fence}
	return keys.Move{Range: r, Target: "b", Born: b.Born}
}

// startMoves starts a series of moves for balance, as Keeper.move does.
func (f *fixture) startMoves(c context.Context, m keys.Move) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.startChange(c, f.syncer.View(), f.assignment(clock.Boot(), nil), []keys.Move{m}, whyBalance) {
		f.t.Fatal("the moves are not started")
	}
}

// Guards against keys that stay out of service while the store refuses all
// calls. A series of moves for balance has released them and none of its writes
// was applied, so they must be granted to their former owner again.
func TestMovesAreGivenUpWhenTheStoreRefuses(t *testing.T) {
	f := newFixture(t)
	f.fakeStore.SetFault(fake.Unavailable, nil)
	f.startMoves(context.Background(), f.lowerHalfToB())
	f.await("the moves have ended", func() bool { f.mu.Lock(); defer f.mu.Unlock(); return f.changes == 0 && len(f.paused) == 0 })
	if !f.serves("a", 5) {
		t.Error("the former owner does not serve keys whose move was abandoned")
	}
	if f.serves("b", 5) {
		t.Error("the new owner serves keys although the move was not committed")
	}
	if r, _ := f.owners.Find(clock.Boot(), "quotes", 5); r == nil || r.Target != "a" {
		t.Errorf("owner of a key whose move was abandoned = %v, want target a", r)
	}
	// The abandoned series has no effect once the store is back.
	f.fakeStore.SetFault(0, nil)
	f.startMoves(context.Background(), f.lowerHalfToB())
	f.await("the keys have moved", func() bool { return f.serves("b", 5) })
	if f.serves("a", 5) {
		t.Error("the former owner serves keys that have moved")
	}
}

// Guards against two owners of a key. A write without an answer may have moved
// the keys, so their former owner must not get them back, even if later
// attempts of the write are refused.
func TestMovesInDoubtAreNotGivenUp(t *testing.T) {
	f := newFixture(t)
	f.fakeStore.SetFault(fake.LoseResponses, nil)
	f.startMoves(context.Background(), f.lowerHalfToB())
	key := view.PrefixKeys + "quotes"
	f.await("the write was applied", func() bool {
		var m schema.KeyMap
		return proto.Unmarshal(f.fakeStore.Value(platform.TableOwn, key), &m) == nil && m.Epoch == 2
	})
	f.fakeStore.SetFault(fake.Unavailable, nil)
	time.Sleep(3 * time.Second)
	if f.serves("a", 5) {
		t.Error("the former owner serves keys that may have moved")
	}
	f.fakeStore.SetFault(0, nil)
	f.await("the keys have moved", func() bool { return f.serves("b", 5) })
}

// Guards against keys that are out of service for the length of an outage.
// Moves for balance must start only while the store answers: its copies still
// look fresh just after it has stopped answering.
func TestNoMovesForBalanceWithoutTheStore(t *testing.T) {
	f := newFixture(t)
	c, stop := context.WithCancel(context.Background())
	defer stop()
	f.load.Add(clock.Boot(), 5, 100)
	f.load.Add(clock.Boot(), 500, 100)
	f.await("the copies are fresh", func() bool { return f.syncer.Age() < 200*time.Millisecond })
	f.fakeStore.SetFault(fake.Unresponsive, nil)
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(tick) {
		f.move(c, clock.Boot(), f.syncer.View())
		if !f.serves("a", 5) || !f.serves("a", 500) {
			t.Fatal("keys were released although the store does not answer")
		}
	}
	f.fakeStore.SetFault(0, nil)
	f.await("the copies are fresh", func() bool { return f.syncer.Age() < 200*time.Millisecond })
	f.await("a key has moved", func() bool {
		f.load.Add(clock.Boot(), 5, 100)
		f.load.Add(clock.Boot(), 500, 100)
		f.move(c, clock.Boot(), f.syncer.View())
		time.Sleep(tick)
		return f.serves("b", 5) || f.serves("b", 500)
	})
}

// Guards against an overload that lasts because keys of a lost target can't be
// reassigned yet: the other targets must still be balanced.
func TestBalanceWhileKeysAreOrphaned(t *testing.T) {
	f := newFixture(t)
	c, stop := context.WithCancel(context.Background())
	defer stop()
	f.mu.Lock()
	orphan := &schema.KeyRange{From: platform.MaxKey, To: platform.MaxKey, Target: "gone", Born: 1, Fence: firstFence(1)}
	f.row.Ranges = keys.Ranges(f.row.Ranges).Replace(orphan)
	f.predecessorEnd = clock.Boot().Add(time.Hour)
	f.mu.Unlock()
	f.await("a key has moved", func() bool {
		f.mu.Lock()
		f.load.Add(clock.Boot(), 5, 100)
		f.load.Add(clock.Boot(), 500, 100)
		f.mu.Unlock()
		f.move(c, clock.Boot(), f.syncer.View())
		time.Sleep(tick)
		return f.serves("b", 5) || f.serves("b", 500)
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	if r := keys.Ranges(f.row.Ranges).Find(platform.MaxKey); r.Target != "gone" {
		t.Errorf("key of a target that may still hold it was reassigned to %s", r.Target)
	}
}

// blockingBalancer plans until it is closed.
type blockingBalancer chan struct{}

func (b blockingBalancer) Plan(_, _ keys.Ranges, _ []keys.Member, _ *keys.Rates, _ int) []keys.Move {
	<-b
	return nil
}

// Guards against a plan that takes long and holds up everything else: the grants must be
// renewed, and other instances answered.
func TestRenewalsDuringAPlan(t *testing.T) {
	f := newFixture(t)
	b := make(blockingBalancer)
	t.Cleanup(func() { close(b) })
	f.balancer = b
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.await("a plan is in progress", func() bool {
			f.step(context.Background())
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.planning
		})
		f.renewNow()
		before := clock.Boot()
		f.await("the grants are renewed", func() bool {
			f.step(context.Background())
			f.mu.Lock()
			defer f.mu.Unlock()
			h := f.grantStates["a"]
			return h.renewedAt >= before && !h.renewing
		})
	}()
	select {
	case <-done:
	case <-time.After(waitTimeout):
		t.Fatal("the plan holds up the renewals")
	}
	if !f.StepDown(f.row.Epoch + 1) {
		t.Error("the keeper does not answer its successor")
	}
}

// Guards against keys that are free but stay out of service until a target that takes long
// to release others of the same series of moves is done.
func TestFreeKeysDontWaitForOthers(t *testing.T) {
	f := newFixture(t)
	f.moveLowerHalf()
	f.mu.Lock()
	h, v := f.grantStates["b"], f.syncer.View()
	lower, upper := keys.Ranges(f.row.Ranges).Find(0), keys.Ranges(f.row.Ranges).Find(platform.MaxKey)
	f.mu.Unlock()
	h.callMu.Lock() // holds up the release of the lower half
	func() {
		defer h.callMu.Unlock()
		f.mu.Lock()
		started := f.startChange(context.Background(), v, f.assignment(clock.Boot(), nil), []keys.Move{
			{Range: lower, Target: "a", Born: v.Targets["a"].Born}, {Range: upper, Target: "b", Born: v.Targets["b"].Born},
		}, whyBalance)
		f.mu.Unlock()
		if !started {
			t.Fatal("the moves are not started")
		}
		f.await("the upper half is committed", func() bool { return keys.Ranges(f.storedMap().Ranges).Find(platform.MaxKey).Target == "b" })
		if o := keys.Ranges(f.storedMap().Ranges).Find(0).Target; o != "b" {
			t.Errorf("keys that were not released are assigned to %s", o)
		}
	}()
	f.await("both halves have moved", func() bool { return f.serves("a", 5) && f.serves("b", platform.MaxKey) })
}
