// Package mirror keeps copies of the store's tables. A copy is updated from the
// store or from another instance's copy, which sends only what changed.
package mirror

import (
	"cmp"
	"slices"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/platform"
)

// maxRemoved bounds the removed rows that are kept for instances that have not
// seen the removal. Instances that are further behind get the whole table.
const maxRemoved = 1024

// Table is a copy of one table. Use New. It is not safe for concurrent use.
type Table struct {
	// same reports whether two values of a row are equivalent.
	same func(a, b []byte) bool
	// codec encodes changes of large values; if nil, whole values are sent.
	codec Codec
	// compare orders two values of a row; see CompareBy. It may be nil.
	compare func(key string, a, b []byte) (int, bool)
	// era is the highest era of the store of which the table has rows.
	era platform.Era
	// unmerged is set from the start and from a new era on until all rows of another
	// copy were merged, which may have newer ones than the store.
	unmerged bool
	// complete is set once the table has been read.
	complete bool
	// version is the version up to which the copy is complete. It never decreases.
	version platform.Version
	// floor is the version up to which the records of removed rows may be missing.
	floor platform.Version
	// asOf is the last time at which the copy was known to be complete.
	asOf clock.Time
	rows map[string]*row
	// removedCount is the number of removed rows in rows.
	removedCount int
	// expiry decides from when on removals are believed.
	expiry expiry
	// needsWhole is set if rows were added from a copy with a lower version, so that
	// changes after version may not include their removal.
	needsWhole bool
	// fresh is set if the first rows were read from the store while removals are
	// deferred: rows that had expired before it are known to other copies only.
	fresh bool
}

// row is a row of the store, or the record of its removal.
type row struct {
	key string
	// value is the last one if the row was removed.
	value []byte
	// version is the version of the store's row. changed is the version of the last
	// change to a value that was not equivalent; changed <= version.
	version, changed platform.Version
	// superseded is the version of a row of the store that states less than this one,
	// which the store has lost; 0 if there is none.
	superseded platform.Version
	removed    bool
	// compressed caches the compressed form of a large value.
	compressed []byte
	// earlier holds up to maxEarlier earlier values of a large row, the latest first.
	// It is nil without a codec.
	earlier []earlierValue
}

// earlierValue is an earlier value of a row.
type earlierValue struct {
	version platform.Version
	value   []byte
	// change caches the encoded change to the current value.
	change []byte
}

// Codec encodes changes of values.
type Codec interface {
	// Diff returns the encoded change from one value to another, and false if none
	// is shorter than the new value.
	Diff(from, to []byte) ([]byte, bool)
	// Apply applies an encoded change to a value and returns the new value.
	Apply(from, change []byte) ([]byte, error)
}

const (
	// largeValue is the size in bytes from which values are compressed or sent as
	// changes: a configuration with hundreds of routes would saturate a slow link.
	largeValue = 4096
	// maxEarlier is how many changes an instance may be behind to get a change and
	// not the whole value: keys move once a second, and instances ask more often.
	maxEarlier = 8
)

// encodedValue returns the value to send, and whether it is compressed.
func (r *row) encodedValue() ([]byte, bool) {
	if len(r.value) < largeValue {
		return r.value, false
	}
	if r.compressed == nil {
		r.compressed = compress(r.value)
	}
	return r.compressed, true
}

// Change is a row whose value is not equivalent to the old one; nil if removed.
type Change struct {
	Key     string
	Value   []byte
	Version platform.Version
}

// New returns an empty copy. same reports whether two values of a row are
// equivalent; if nil, no two values are. The codec may be nil.
func New(same func(a, b []byte) bool, c Codec) *Table {
	if same == nil {
		same = func(_, _ []byte) bool { return false }
	}
	return &Table{same: same, codec: c, rows: map[string]*row{}}
}

// Complete reports whether the table has been read at least once.
func (t *Table) Complete() bool { return t.complete }

// Version returns the version up to which the copy is complete.
func (t *Table) Version() platform.Version { return t.version }

// LacksExpired reports whether rows that expired before the copy was first read may
// be missing, and be known to other copies.
func (t *Table) LacksExpired() bool { return t.fresh && t.Defers() }

// VersionToPull returns the version after which another copy's changes are needed,
// or 0 for all of its rows.
func (t *Table) VersionToPull() platform.Version {
	if t.NeedsWhole() || t.LacksExpired() || t.unmerged {
		return 0
	}
	return t.version
}

// NeverRead is the age of a copy that has never been complete.
const NeverRead = time.Hour

// Age returns the time since the copy was last known to be complete, or NeverRead.
func (t *Table) Age(now clock.Time) time.Duration {
	if !t.complete {
		return NeverRead
	}
	return now.Sub(t.asOf)
}

// Apply applies rows that were read from the store by a call sent at asOf, and
// returns what changed. If whole is set, rows that are not listed are removed. An
// answer older than the copy is ignored. While removals are deferred, rows are only
// added, and the version stays, so that a later answer has the removals again.
func (t *Table) Apply(asOf clock.Time, r platform.Rows, whole bool) []Change {
	t.enterEra(r.Version.Era(), r.Now)
	t.expiry.read(r.Now)
	t.fresh = t.fresh || !t.complete && t.Defers()
	return t.apply(asOf, r, whole)
}

// apply applies rows from the store or from another copy.
func (t *Table) apply(asOf clock.Time, r platform.Rows, whole bool) []Change {
	if t.complete && r.Version.Era() < t.version.Era() {
		return t.applyOlder(r)
	}
	older := t.complete && r.Version < t.version
	if t.complete && t.Defers() {
		t.needsWhole = t.needsWhole || older
		if !older {
			t.asOf = max(t.asOf, asOf)
		}
		return t.Add(r)
	}
	if older {
		return t.applyOlder(r)
	}
	changes := t.put(r.Rows)
	if whole {
		changes = append(changes, t.removeUnlisted(r)...)
		t.needsWhole = false
		// Rows that this copy never had may have been removed before, without a
		// record here.
		t.floor = max(t.floor, r.Version)
	}
	t.advance(asOf, r.Version)
	return changes
}

// Add applies rows except removals, and returns what changed. The version stays.
// Removals that another copy has believed in an earlier era are applied.
func (t *Table) Add(r platform.Rows) []Change {
	rows := slices.DeleteFunc(slices.Clone(r.Rows), func(r platform.Row) bool {
		return r.Removed && (r.Value == nil || r.Version.Era() >= t.era)
	})
	return t.put(rows)
}

// NeedsWhole reports whether the next answer to be applied must list the whole
// table, because changes after the version may lack removals, or the version is of an
// earlier era.
func (t *Table) NeedsWhole() bool {
	return !t.complete || t.needsWhole && !t.Defers() || t.version.Era() < t.era
}

// advance records that the copy is complete up to v as of asOf.
func (t *Table) advance(asOf clock.Time, v platform.Version) {
	t.version = max(t.version, v)
	t.asOf = max(t.asOf, asOf)
	t.complete = true
}

// put sets rows and returns those that changed.
func (t *Table) put(rows []platform.Row) []Change {
	var changes []Change
	for _, r := range rows {
		if t.set(r.Key, r.Value, r.Version, r.Version, r.Removed) {
			changes = append(changes, t.rows[r.Key].change())
		}
	}
	return changes
}

// change returns the row as a change.
func (r *row) change() Change {
	c := Change{r.key, r.value, max(r.version, r.superseded)}
	if r.removed {
		c.Value = nil
	}
	return c
}

// set replaces a row unless the known one is newer. It reports whether the value is
// not equivalent to the old one, or the row was written by a later era or was found
// superseded in the store.
func (t *Table) set(key string, value []byte, version, changed platform.Version, removed bool) bool {
	old := t.rows[key]
	if value == nil && !removed {
		value = []byte{}
	}
	n := &row{key: key, value: value, version: version, changed: changed, removed: removed}
	if old == nil {
		return t.insert(n)
	}
	switch t.decide(old, n) {
	case keepKnown:
		newer := version > max(old.version, old.superseded)
		old.superseded = max(old.superseded, version)
		return newer
	case awaitRewrite:
		return false
	case byVersion:
		if old.version >= version {
			return false
		}
	case takeOther:
		n.version = max(old.version, version)
	}
	return t.replace(old, n)
}

// insert adds a row that was not known. It reports whether that is a change.
func (t *Table) insert(n *row) bool {
	if n.removed && n.value == nil {
		return false
	}
	t.rows[n.key] = n
	if n.removed {
		t.removedCount++
		t.prune()
	}
	return !n.removed
}

// replace replaces a row by a newer state; see set.
func (t *Table) replace(old, n *row) bool {
	if n.removed && n.value == nil {
		n.value = old.value
	}
	newEra := n.version.Era() > old.version.Era()
	if old.removed == n.removed && (n.removed || t.same(old.value, n.value)) {
		if !newEra {
			// In a new era, other copies may have values that the store has lost.
			n.changed = old.changed
		}
		t.rows[n.key] = n
		return newEra
	}
	n.earlier = t.earlierValues(old, n)
	t.rows[n.key] = n
	if n.removed {
		t.removedCount++
		t.prune()
	} else if old.removed {
		t.removedCount--
	}
	return true
}

// earlierValues returns the earlier values to be kept in n, which replaces old.
func (t *Table) earlierValues(old, n *row) []earlierValue {
	if t.codec == nil || old == nil || old.removed || len(n.value) < largeValue {
		return nil
	}
	out := []earlierValue{{version: old.changed, value: old.value}}
	for _, p := range old.earlier[:min(len(old.earlier), maxEarlier-1)] {
		out = append(out, earlierValue{version: p.version, value: p.value})
	}
	return out
}

// removeUnlisted removes the rows that are not in r and not newer than r.
func (t *Table) removeUnlisted(r platform.Rows) []Change {
	listed := map[string]bool{}
	for _, v := range r.Rows {
		listed[v.Key] = !v.Removed
	}
	var changes []Change
	for k, v := range t.rows {
		if !listed[k] && !v.removed && v.version <= r.Version && t.set(k, nil, max(r.Version, v.version+1), r.Version, true) {
			changes = append(changes, Change{k, nil, r.Version})
		}
	}
	return changes
}

// prune drops the older half of the removed rows if they exceed maxRemoved.
func (t *Table) prune() {
	if t.removedCount <= maxRemoved {
		return
	}
	var removed []*row
	for _, r := range t.rows {
		if r.removed {
			removed = append(removed, r)
		}
	}
	slices.SortFunc(removed, func(a, b *row) int { return cmp.Compare(a.changed, b.changed) })
	for _, r := range removed[:len(removed)/2] {
		delete(t.rows, r.key)
		t.floor = max(t.floor, r.changed)
		t.removedCount--
	}
}
