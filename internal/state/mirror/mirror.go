// Package mirror keeps copies of tables of the store that can be read from the
// store or from another instance's copy, and passes on only what changed.
package mirror

import (
	"bytes"
	"cmp"
	"compress/flate"
	"io"
	"slices"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/platform"
	"dandelionrock.example/dandelionrock/schema"
	"github.com/cockroachdb/errors"
)

// maxRemoved bounds the removed rows that are remembered for instances that
// missed the removal; instances further behind get the whole table.
const maxRemoved = 1024

// Table is a copy of one table. Use New. It is not safe for concurrent use.
type Table struct {
	// same reports whether two values of a row mean the same.
	same  func(a, b []byte) bool
	known bool
	// version is the one up to which the copy is complete; it never decreases.
	version platform.Version
	// floor is the version up to which removed rows may have been dropped.
	floor platform.Version
	// asOf is when the copy was known to be complete.
	asOf clock.Time
	rows map[string]*row
	gone int
}

type row struct {
	key   string
	value []byte
	// version is that of the store's row; changed is the version of the last
	// change of meaning. changed <= version.
	version, changed platform.Version
	removed          bool
	// packed is the compressed value, if it is large, once it was asked for.
	packed []byte
}

// packFrom is the size in bytes from which a value is compressed for other
// instances: a configuration with hundreds of routes would fill a slow link.
const packFrom = 4096

// packedValue returns the value for other instances, and whether it is
// compressed.
func (r *row) packedValue() ([]byte, bool) {
	if len(r.value) < packFrom {
		return r.value, false
	}
	if r.packed == nil {
		r.packed = pack(r.value)
	}
	return r.packed, true
}

func pack(b []byte) []byte {
	var o bytes.Buffer
	// A buffer takes all writes, and the level is valid.
	w, _ := flate.NewWriter(&o, flate.BestSpeed)
	_, _ = w.Write(b)
	_ = w.Close()
	return o.Bytes()
}

// maxUnpacked bounds a value in bytes.
const maxUnpacked = 16 << 20

func unpack(b []byte) ([]byte, error) {
	return io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), maxUnpacked))
}

// Change is a row whose meaning changed; Value is nil if it was removed.
type Change struct {
	Key     string
	Value   []byte
	Version platform.Version
}

// New returns an empty copy. same reports whether two values of a row mean the
// same; nil compares none.
func New(same func(a, b []byte) bool) *Table {
	if same == nil {
		same = func(_, _ []byte) bool { return false }
	}
	return &Table{same: same, rows: map[string]*row{}}
}

// Known reports whether the table was read at least once.
func (t *Table) Known() bool { return t.known }

// Version returns the version up to which the copy is complete.
func (t *Table) Version() platform.Version { return t.version }

// NeverRead is the age of a copy that was never complete.
const NeverRead = time.Hour

// Age returns the time since the copy was known to be complete.
func (t *Table) Age(now clock.Time) time.Duration {
	if !t.known {
		return NeverRead
	}
	return now.Sub(t.asOf)
}

// Apply adds changes that were read from the store by a call sent at asOf.
// Whole rows replace the copy. An answer that is older than the copy is
// ignored.
func (t *Table) Apply(asOf clock.Time, r platform.Rows, whole bool) []Change {
	if t.known && r.Version < t.version {
		return nil
	}
	changes := t.put(r.Rows)
	if whole {
		changes = append(changes, t.removeOthers(r)...)
	}
	t.advance(asOf, r.Version)
	return changes
}

// Add applies only the rows that exist, and doesn't advance the version.
func (t *Table) Add(r platform.Rows) []Change {
	rows := slices.DeleteFunc(slices.Clone(r.Rows), func(r platform.Row) bool { return r.Removed })
	return t.put(rows)
}

// Refresh states that a call sent at asOf has found nothing else to add.
func (t *Table) Refresh(asOf clock.Time) { t.asOf = max(t.asOf, asOf) }

func (t *Table) advance(asOf clock.Time, v platform.Version) {
	t.version = max(t.version, v)
	t.asOf = max(t.asOf, asOf)
	t.known = true
}

func (t *Table) put(rows []platform.Row) []Change {
	var changes []Change
	for _, r := range rows {
		if t.set(r.Key, r.Value, r.Version, r.Version, r.Removed) {
			changes = append(changes, Change{r.Key, t.rows[r.Key].value, r.Version})
		}
	}
	return changes
}

// set reports whether the meaning of a row changed.
func (t *Table) set(key string, value []byte, version, changed platform.Version, removed bool) bool {
	old := t.rows[key]
	if old != nil && old.version >= version || old == nil && removed {
		return false
	}
	if removed {
		value = nil
	} else if value == nil {
		value = []byte{}
	}
	n := &row{key: key, value: value, version: version, changed: changed, removed: removed}
	if old != nil && old.removed == removed && (removed || t.same(old.value, value)) {
		n.changed = old.changed
		t.rows[key] = n
		return false
	}
	t.rows[key] = n
	if removed {
		t.gone++
		t.prune()
	} else if old != nil && old.removed {
		t.gone--
	}
	return true
}

func (t *Table) removeOthers(r platform.Rows) []Change {
	listed := map[string]bool{}
	for _, v := range r.Rows {
		listed[v.Key] = true
	}
	var changes []Change
	for k, v := range t.rows {
		if !listed[k] && !v.removed && t.set(k, nil, max(r.Version, v.version+1), r.Version, true) {
			changes = append(changes, Change{k, nil, r.Version})
		}
	}
	return changes
}

// prune forgets the older half of the removed rows once there are too many.
func (t *Table) prune() {
	if t.gone <= maxRemoved {
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
		t.gone--
	}
}

// Since returns what changed after a version, for another instance's copy.
func (t *Table) Since(now clock.Time, v platform.Version) *schema.SyncTable {
	m := &schema.SyncTable{Known: t.known, Version: uint64(t.version), AgeMs: t.Age(now).Milliseconds()}
	m.Whole = v < t.floor || v == 0
	for _, r := range t.rows {
		if m.Whole && !r.removed || !m.Whole && r.changed > v {
			b, packed := r.packedValue()
			m.Rows = append(m.Rows, &schema.StoreRow{Key: r.key, Value: b, Version: uint64(r.changed), Removed: r.removed, Deflated: packed})
		}
	}
	slices.SortFunc(m.Rows, func(a, b *schema.StoreRow) int { return cmp.Compare(a.Key, b.Key) })
	return m
}

// Merge applies the copy of another instance, for which it was asked at sent.
func (t *Table) Merge(sent clock.Time, m *schema.SyncTable) ([]Change, error) {
	if !m.Known {
		return nil, nil
	}
	r := platform.Rows{Version: platform.Version(m.Version)}
	for _, v := range m.Rows {
		b := v.Value
		if v.Deflated {
			var err error
			if b, err = unpack(b); err != nil {
				return nil, errors.Wrapf(err, "row %q", v.Key)
			}
		}
		r.Rows = append(r.Rows, platform.Row{Key: v.Key, Value: b, Version: platform.Version(v.Version), Removed: v.Removed})
	}
	return t.Apply(sent.Add(-time.Duration(m.AgeMs)*time.Millisecond), r, m.Whole), nil
}
