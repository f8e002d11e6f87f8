package mirror

import (
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/platform"
)

const testRewrite = 2200 * time.Millisecond

// fleet is a store, whose rows expire and are written again, and the copies of
// several instances. Time is that of the store's clock, in milliseconds.
type fleet struct {
	history
	now    int64
	copies map[string]*Table
}

// newFleet returns a store with rows and instances that have read them for a while.
func newFleet(t *testing.T, instances ...string) *fleet {
	f := &fleet{history: history{rows: map[string]platform.Row{}}, now: 1000, copies: map[string]*Table{}}
	for _, k := range []string{"live", "gone", "other"} {
		f.set(k, false)
	}
	for range 5 {
		for _, n := range instances {
			f.learn(t, n, "")
		}
		f.now += 1000
	}
	return f
}

// set writes or removes a row.
func (f *fleet) set(key string, removed bool) {
	r := platform.Row{Key: key, Value: []byte("v:"), Version: f.version() + 1, Removed: removed}
	f.changes = append(f.changes, r)
	if f.rows[key] = r; removed {
		delete(f.rows, key)
	}
}

// learn makes an instance read the copy of another one, or the store if from is "".
func (f *fleet) learn(t *testing.T, name, from string) {
	now := clock.Time(time.Duration(f.now) * time.Millisecond)
	c := f.copies[name]
	if c == nil {
		c = New(sameMeaning, nil)
		c.DeferRemovals(2500*time.Millisecond, testRewrite)
		f.copies[name] = c
	}
	if from != "" {
		if _, err := c.Merge(now, f.copies[from].Since(now, c.VersionToPull(), nil)); err != nil {
			t.Fatal(err)
		}
		return
	}
	r, whole := f.whole(), c.NeedsWhole()
	if !whole {
		r.Rows = f.changes[c.Version():]
	}
	r.Now = platform.StoreTimeOf(f.now)
	c.Apply(now, r, whole)
}

func (f *fleet) has(name, key string) bool {
	r := f.copies[name].rows[key]
	return r != nil && !r.removed
}

// Replays orders in which instances learn of rows that expired during an outage.
// Guards against an instance that takes a live target for gone because another one
// read the store, or its copy, before it: its requests fail until the target
// registers again. Rows "live" are written again 2 s after the outage, and "gone"
// are not; both must be as the store says when the time for that has passed.
func TestExpiredRows(t *testing.T) {
	// A step is a read of the store, or of another copy, some milliseconds after the
	// outage. With failed set, the read of the store fails.
	type step struct {
		at         int64
		name, from string
	}
	const failed = "failed"
	for _, c := range []struct {
		name  string
		steps []step
		// back is when the live row is written again.
		back int64
	}{
		{"second reader pulls from the first", []step{{50, "a", ""}, {60, "b", "a"}, {80, "b", ""}, {90, "a", "b"}, {100, "c", "b"}, {1080, "b", ""}, {1100, "a", ""}, {1200, "c", "a"}}, 2000},
		{"readers return at the same time", []step{{50, "a", ""}, {50, "b", ""}, {60, "a", "b"}, {60, "b", "a"}, {70, "c", "b"}}, 2000},
		{"an instance that is not a reader stands in first", []step{{50, "c", ""}, {60, "a", "c"}, {70, "a", ""}, {75, "b", "a"}, {80, "b", ""}}, 2000},
		{"an instance started in the outage", []step{{-500, "new", "a"}, {50, "a", ""}, {60, "new", ""}, {70, "b", "new"}, {90, "b", ""}, {95, "c", "b"}}, 2000},
		{"an instance started at the return and reads first", []step{{20, "new", ""}, {30, "a", "new"}, {40, "new", "b"}, {50, "a", ""}, {60, "b", "a"}, {70, "c", "new"}, {1020, "new", ""}, {1060, "c", "new"}}, 2000},
		{"reader of another region", []step{{50, "a", ""}, {60, "far", "a"}, {80, "far", ""}, {90, "b", "far"}, {100, "c", "far"}}, 2000},
		{"first reader is lost", []step{{50, "a", ""}, {60, "b", "a"}, {500, "c", "b"}, {1500, "c", ""}, {1600, "b", "c"}}, 2000},
		{"outage comes again", []step{{50, "a", ""}, {60, "b", "a"}, {70, "c", "b"}, {3900, "b", ""}, {3950, "a", "b"}, {3960, "a", ""}, {4000, "c", "a"}, {4900, "a", ""}, {4950, "c", "a"}}, 5900},
		{"short outage comes again", []step{{50, "a", ""}, {60, "b", "a"}, {500, "a", failed}, {600, "b", failed}, {1500, "a", failed}, {1900, "b", ""}, {1950, "c", "b"}, {1980, "a", ""}, {2000, "b", "a"}, {2900, "a", ""}, {2950, "c", "a"}}, 3900},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, "a", "b", "c", "far")
			f.set("live", true)
			f.set("gone", true)
			// The time until the next read must exceed that of an outage.
			back := f.now + 4000
			check := func() {
				t.Helper()
				for n, c := range f.copies {
					// One that has just started may lack the row if it says so.
					if c.Complete() && !c.LacksExpired() && (!f.has(n, "live") || !f.has(n, "other")) {
						t.Fatalf("instance %s has lost a live row %d ms after the outage", n, f.now-back)
					}
				}
			}
			for _, s := range c.steps {
				if f.now = back + s.at; s.from == failed {
					f.copies[s.name].ReadFailed()
				} else {
					f.learn(t, s.name, s.from)
				}
				check()
			}
			f.now = back + c.back
			for f.set("live", false); f.now < back+c.back+testRewrite.Milliseconds(); check() {
				f.now += 400
				f.learn(t, "a", "")
				f.learn(t, "b", "")
				for n := range f.copies {
					f.learn(t, n, "a")
				}
			}
			for n, c := range f.copies {
				if f.has(n, "gone") || c.LacksExpired() {
					t.Errorf("instance %s still has the row that was not written again, or may lack rows", n)
				}
			}
		})
	}
}

// Guards against removals that are believed late without an outage: a target that
// leaves would get requests for longer than it serves.
func TestRemovalsWithoutAnOutage(t *testing.T) {
	f := newFleet(t, "a")
	f.learn(t, "b", "a")
	f.learn(t, "cut", "a")
	// An instance that starts, and one that was cut off for a while, take the
	// evidence of the others.
	f.learn(t, "new", "a")
	f.learn(t, "new", "")
	for range 4 {
		f.now += 1000
		f.learn(t, "a", "")
	}
	f.set("gone", true)
	f.learn(t, "a", "")
	for n := range f.copies {
		if f.learn(t, n, "a"); f.has(n, "gone") {
			t.Errorf("instance %s still has the removed row", n)
		}
	}
}
