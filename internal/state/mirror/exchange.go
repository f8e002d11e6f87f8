package mirror

import (
	"cmp"
	"slices"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/platform"
	"dandelionrock.example/dandelionrock/schema"
	"github.com/cockroachdb/errors"
)

// Known returns the versions of the large rows, to which changes can be applied.
func (t *Table) Known() map[string]platform.Version {
	if t.codec == nil {
		return nil
	}
	k := map[string]platform.Version{}
	for _, r := range t.rows {
		if !r.removed && len(r.value) >= largeValue {
			k[r.key] = r.changed
		}
	}
	return k
}

// Since returns what changed after version v for the copy of another instance.
// known holds the versions of the large rows in that copy.
func (t *Table) Since(now clock.Time, v platform.Version, known map[string]platform.Version) *schema.SyncTable {
	m := &schema.SyncTable{Known: t.complete, Version: uint64(t.version), AgeMs: t.Age(now).Milliseconds()}
	m.ReadFromMs, m.ReadToMs = t.expiry.seen.from.Milliseconds(), t.expiry.seen.to.Milliseconds()
	m.Whole, m.Unverified, m.Era = v < t.floor || v == 0, t.needsWhole, uint64(t.era)
	for _, r := range t.rows {
		if m.Whole && !r.removed || !m.Whole && r.changed > v {
			m.Rows = append(m.Rows, t.encode(r, known[r.key]))
		}
	}
	if m.Whole {
		for _, r := range t.tombstones() {
			m.Rows = append(m.Rows, t.encode(r, 0))
		}
	}
	slices.SortFunc(m.Rows, func(a, b *schema.StoreRow) int { return cmp.Compare(a.Key, b.Key) })
	compressRows(m)
	return m
}

// encode returns a row for a copy that has it at version known; 0 if it lacks it.
func (t *Table) encode(r *row, known platform.Version) *schema.StoreRow {
	m := &schema.StoreRow{Key: r.key, Version: uint64(r.changed), Removed: r.removed}
	if i := slices.IndexFunc(r.earlier, func(p earlierValue) bool { return p.version == known }); i >= 0 {
		if d := t.changeFrom(r, i); d != nil {
			m.Value, m.Base = d, uint64(known)
			return m
		}
	}
	m.Value, m.Deflated = r.encodedValue()
	return m
}

// changeFrom returns the change from the earlier value i of a row to the current
// one, or nil if no change is shorter than the whole value.
func (t *Table) changeFrom(r *row, i int) []byte {
	p := &r.earlier[i]
	if p.change == nil {
		if d, ok := t.codec.Diff(p.value, r.value); ok {
			p.change = d
		}
	}
	return p.change
}

// decode returns the value of a row from another copy. It returns an error if the
// row is a change based on another value than the one in this copy.
func (t *Table) decode(m *schema.StoreRow) ([]byte, error) {
	if m.Base != 0 {
		old := t.rows[m.Key]
		if old == nil || old.removed || t.codec == nil || uint64(old.changed) != m.Base {
			return nil, errors.Newf("change is based on version %d, which this copy does not have", m.Base)
		}
		return t.codec.Apply(old.value, m.Value)
	}
	if m.Deflated {
		return decompress(m.Value)
	}
	return m.Value, nil
}

// Merge applies the answer of another instance to a request sent at sent, and
// returns what changed. On error, the copy is unchanged.
func (t *Table) Merge(sent clock.Time, m *schema.SyncTable) ([]Change, error) {
	if !m.Known {
		return nil, nil
	}
	rows, err := decodeRows(m)
	if err != nil {
		return nil, err
	}
	r := platform.Rows{Version: platform.Version(m.Version)}
	for _, v := range rows {
		if old := t.rows[v.Key]; v.Base != 0 && old != nil && uint64(old.version) >= v.Version {
			// The row is known; it must still count as listed.
			r.Rows = append(r.Rows, platform.Row{Key: v.Key, Value: old.value, Version: old.version, Removed: old.removed})
			continue
		}
		b, err := t.decode(v)
		if err != nil {
			return nil, errors.Wrapf(err, "row %q", v.Key)
		}
		r.Rows = append(r.Rows, platform.Row{Key: v.Key, Value: b, Version: platform.Version(v.Version), Removed: v.Removed})
	}
	era := platform.Era(m.Era)
	t.enterEra(era, platform.StoreTimeOf(m.ReadFromMs))
	t.fresh = t.fresh && !m.Whole
	t.unmerged = t.unmerged && !(m.Whole && era == t.era)
	if era == t.era {
		t.expiry.adopt(span{platform.StoreTimeOf(m.ReadFromMs), platform.StoreTimeOf(m.ReadToMs)})
	}
	asOf := sent.Add(-time.Duration(m.AgeMs) * time.Millisecond)
	if !m.Unverified {
		return t.apply(asOf, r, m.Whole), nil
	}
	if t.complete {
		t.asOf = max(t.asOf, asOf)
		return t.applyOlder(r), nil
	}
	changes := t.apply(asOf, r, m.Whole)
	t.needsWhole = true
	return changes, nil
}
