package keeper

import (
	"context"
	"errors"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/plan/keys"
	"dandelionrock.example/dandelionrock/internal/state/view"
	"dandelionrock.example/dandelionrock/platform"
	"dandelionrock.example/dandelionrock/schema"
	"google.golang.org/protobuf/proto"
)

// storedMap returns the assignment in the store.
func (f *fixture) storedMap() *schema.KeyMap {
	m := &schema.KeyMap{}
	if err := proto.Unmarshal(f.fakeStore.Value(platform.TableOwn, view.PrefixKeys+"quotes"), m); err != nil {
		f.t.Fatal(err)
	}
	return m
}

// moveLowerHalf moves the lower half of the keys to target b.
func (f *fixture) moveLowerHalf() {
	f.startMoves(context.Background(), f.lowerHalfToB())
	f.await("the keys have moved", func() bool { return f.serves("b", 5) })
	f.await("the moves have ended", func() bool { f.mu.Lock(); defer f.mu.Unlock(); return f.changes == 0 && len(f.paused) == 0 })
}

// Guards against moves that are undone when the store has lost them: the keeper goes on
// with the assignment that it wrote last, under an epoch above all lost ones.
func TestLostAssignmentIsWrittenAgain(t *testing.T) {
	f := newFixture(t)
	b := f.fakeStore.Backup()
	f.moveLowerHalf()
	lost := f.storedMap().Epoch
	f.fakeStore.Restore(b)
	f.await("the assignment is written again", func() bool {
		f.step(context.Background())
		return f.storedMap().Epoch > lost
	})
	m := f.storedMap()
	if eraOf(m.Epoch) != 2 {
		t.Errorf("epoch %x is of era %d", m.Epoch, eraOf(m.Epoch))
	}
	if o := keys.Ranges(m.Ranges).Find(5); o == nil || o.Target != "b" || o.Fence < firstFence(m.Epoch) {
		t.Errorf("owner of a moved key is %v", o)
	}
}

// Guards against two owners of a key: an instance that takes over after the store has
// lost moves doesn't know them, and must not grant keys while earlier grants may be in
// force.
func TestNoGrantsAfterLostTakeover(t *testing.T) {
	f := newFixture(t)
	b := f.fakeStore.Backup()
	before, version := f.row, f.version
	f.moveLowerHalf()
	f.fakeStore.Restore(b)
	f.await("the new era is known", func() bool { return f.syncer.OwnEra() == 2 })
	// The successor knows the assignment before the moves only.
	n := proto.CloneOf(before)
	n.Epoch, n.Keeper, n.Incarnation = nextEpoch(before.Epoch, 1), "i1", "run-2"
	f.takeOverOnce(context.Background(), n, view.Map{KeyMap: before, Version: version}, true, 0)
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(tick) {
		f.step(context.Background())
		if f.serves("a", 5) {
			t.Fatal("the former owner got a key that the store has lost the move of")
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.row == nil || clock.Boot().Add(authority) > f.quietUntil {
		t.Errorf("grants are withheld until %v from now", f.quietUntil.Sub(clock.Boot()))
	}
}

// Guards against a write that replaces another row than the one that it is based on,
// because the store has given out the version of that row again.
func TestWriteAfterReusedVersion(t *testing.T) {
	f := newFixture(t)
	c := context.Background()
	f.mu.Lock()
	first := f.newChange()
	f.mu.Unlock()
	first.row.Epoch = nextEpoch(first.row.Epoch, 1)
	version, _, err := f.commit(c, first.row, first.old, unlimitedRefusals)
	if err != nil {
		t.Fatal(err)
	}
	// Another instance has written the row in a new era, and got the same version.
	other := proto.CloneOf(first.row)
	other.Epoch, other.Nonce, other.Marked = nextEpoch(other.Epoch, 2), 7, false
	b, err := proto.Marshal(other)
	if err != nil {
		t.Fatal(err)
	}
	f.fakeStore.Restore(f.fakeStore.Backup())
	f.fakeStore.SetRow(platform.Row{Table: platform.TableOwn, Key: view.PrefixKeys + "quotes", Value: b, Version: platform.Version(uint64(version) - uint64(platform.VersionOf(1, 0)))})
	stale := proto.CloneOf(first.row)
	stale.Epoch++
	f.fakeStore.Remove(platform.TableMarkers, f.markerKey(first.row.Nonce))
	if _, _, err := f.commit(c, stale, storedAs(first.row, version), unlimitedRefusals); !errors.Is(err, platform.ErrConflict) {
		t.Errorf("commit() = %v, want ErrConflict", err)
	}
	if m := f.storedMap(); m.Nonce != other.Nonce {
		t.Errorf("the row of another instance with epoch %x was replaced by one with %x", other.Epoch, m.Epoch)
	}
}
