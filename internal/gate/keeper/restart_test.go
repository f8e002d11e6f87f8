package keeper

import (
	"context"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/state/view"
	"dandelionrock.example/dandelionrock/platform/fake"
)

// restart starts a target again at its address, under its id.
func (f *fixture) restart(id string) *fake.Target {
	f.t.Helper()
	n, err := f.targets[id].Restart()
	if err != nil {
		f.t.Fatal(err)
	}
	f.targets[id] = n
	return n
}

// restartWhileLeaving makes target a start again at its address, under its id, and leave.
// A renewal that was meant for the former run reaches the new one.
func (f *fixture) restartWhileLeaving() {
	f.t.Helper()
	before := f.syncer.View()
	f.targets["a"].Leave()
	f.restart("a").Leave()
	f.await("the restarted target has taken a renewal", func() bool {
		f.renewNow()
		f.renew(context.Background(), clock.Boot(), before)
		return f.serves("a", 5)
	})
	f.await("the restart is known", func() bool {
		t := f.syncer.View().Targets["a"]
		return t != nil && t.Leaving && t.Born > before.Targets["a"].Born
	})
}

// Guards against two owners of a key: a target that was restarted while it leaves may
// hold keys by a renewal that was meant for its former run, from this keeper or the one
// before. The other target must not get them before it has released them.
func TestKeysOfRestartedTargetAreReleased(t *testing.T) {
	for name, prepare := range map[string]func(*fixture){
		"same keeper": func(*fixture) {},
		"next keeper": func(f *fixture) {
			f.mu.Lock()
			f.noteEra(clock.Boot())
			f.mu.Unlock()
			n := f.storedMap()
			n.Epoch++
			f.takeOverOnce(context.Background(), n, view.Map{KeyMap: f.storedMap(), Version: f.version}, true, 0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.restartWhileLeaving()
			prepare(f)
			f.await("the keys have moved", func() bool {
				f.move(context.Background(), clock.Boot(), f.syncer.View())
				time.Sleep(tick)
				// The ledger records a violation if a holds the key as well.
				return f.serves("b", 5)
			})
		})
	}
}

// Guards against keys that wait for the grants of a target that was restarted and may
// own them again: it is the only one that can hold them.
func TestRestartedTargetKeepsItsKeys(t *testing.T) {
	f := newFixture(t)
	before := f.syncer.View()
	f.restart("a")
	f.await("the restart is known", func() bool { return f.syncer.View().Targets["a"].Born > before.Targets["a"].Born })
	f.move(context.Background(), clock.Boot(), f.syncer.View())
	f.await("the keys are granted", func() bool { return f.serves("a", 5) })
	f.mu.Lock()
	defer f.mu.Unlock()
	if r := f.row.Ranges[0]; r.Target != "a" || r.Born != f.syncer.View().Targets["a"].Born || len(f.row.Ranges) != 1 {
		t.Errorf("keys are assigned as %v", f.row.Ranges)
	}
}
