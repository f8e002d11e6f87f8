package mirror

import (
	"cmp"
	"slices"
	"time"

	"dandelionrock.example/dandelionrock/platform"
)

// When the store was restored from an older copy of itself, a new era begins. Its rows
// may be older than those of this table, and lack some that are written again soon. So
// rows of different eras are ordered by what they state, not by their versions, and
// removals are believed as late as after an outage.

// maxTombstones bounds the removed rows that a copy with all rows passes on.
const maxTombstones = 64

// CompareBy sets the function that orders two values of a row. It returns false if
// their order is not known.
func (t *Table) CompareBy(f func(key string, a, b []byte) (int, bool)) { t.compare = f }

// Era returns the highest era of the store of which the table has rows.
func (t *Table) Era() platform.Era { return t.era }

// enterEra records that the store is in an era since a time by its clock.
func (t *Table) enterEra(e platform.Era, since platform.StoreTime) {
	if e <= t.era {
		return
	}
	if t.complete {
		t.expiry.restart(since)
	}
	t.era, t.unmerged = e, true
}

// verdict says which of two states of a row to use.
type verdict int

const (
	// byVersion uses the state with the higher version.
	byVersion verdict = iota
	// keepKnown keeps the known state, although the other may have a higher version.
	keepKnown
	// awaitRewrite keeps the known state until removals are believed.
	awaitRewrite
	// takeOther uses the other state, although its version may be lower.
	takeOther
)

// decide compares the known state of a row with another one.
func (t *Table) decide(known, other *row) verdict {
	erasDiffer := known.version.Era() != other.version.Era()
	// A removal of a later era is one by the store itself: the value that it names may
	// be older than the one that was removed.
	removedLater := other.removed && other.version.Era() >= known.version.Era() || known.removed && known.version.Era() > other.version.Era()
	if other.value == nil || known.value == nil || removedLater || !erasDiffer && !t.Defers() {
		return byVersion
	}
	order, ok := 0, false
	if t.compare != nil {
		order, ok = t.compare(known.key, other.value, known.value)
	}
	switch {
	case !ok && erasDiffer && other.version > known.version && t.Defers() && !t.same(known.value, other.value):
		return awaitRewrite
	case !ok:
		return byVersion
	case order < 0, order == 0 && erasDiffer && known.removed && !other.removed:
		return keepKnown
	case erasDiffer && (order > 0 || other.removed):
		return takeOther
	}
	return byVersion
}

// applyOlder applies rows from an answer or a copy with a lower version. Those of an
// earlier era may still state something newer, or be missing.
func (t *Table) applyOlder(r platform.Rows) []Change {
	t.needsWhole = t.needsWhole || t.Defers()
	rows := slices.DeleteFunc(slices.Clone(r.Rows), func(r platform.Row) bool {
		return r.Removed && r.Value == nil || t.rows[r.Key] == nil && !t.Defers()
	})
	return t.put(rows)
}

// tombstones returns the removed rows that are passed on with all rows: the latest
// ones whose values are known.
func (t *Table) tombstones() []*row {
	var out []*row
	for _, r := range t.rows {
		if r.removed && r.value != nil {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *row) int { return cmp.Compare(b.changed, a.changed) })
	return out[:min(len(out), maxTombstones)]
}

// restart discards the evidence up to a time, when rows may have vanished.
func (e *expiry) restart(since platform.StoreTime) { e.seen, e.notBefore = span{}, since }

// noOutage is a gap between two reads that doesn't occur: a table whose rows don't
// expire defers removals only at the start and in a new era.
const noOutage = time.Duration(1 << 60)

// DeferRemovalsInNewEra makes the table believe removals only after it was read for the
// time rewrite, at the start and in a new era of the store; see DeferRemovals.
func (t *Table) DeferRemovalsInNewEra(rewrite time.Duration) { t.DeferRemovals(noOutage, rewrite) }
