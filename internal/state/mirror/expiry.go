package mirror

import (
	"time"

	"dandelionrock.example/dandelionrock/platform"
)

// expiry decides from when on the removals of a table are believed. Rows that their
// writers refresh expire during an outage of the store, and writers that live write
// them again after it. A removal is therefore believed only if the table was read
// without an outage for the time that this takes. What counts is the store's own
// clock, so that copies that are passed on carry the same evidence everywhere.
type expiry struct {
	// outage is the gap between two reads from which rows may have expired in
	// between; 0 if removals are always believed.
	outage time.Duration
	// rewrite is the time after an outage within which expired rows are back.
	rewrite time.Duration
	// seen is the period up to the last read without an outage. It is known to this
	// copy from its own reads and those of the copies that it was merged with.
	seen span
	// lost is set if a read has failed since the last one that succeeded.
	lost bool
	// notBefore is the time before which reads are no evidence: the return of the
	// store from an outage that this instance has seen.
	notBefore platform.StoreTime
}

// span is a period by the store's clock, and empty if to is 0; from <= to.
type span struct{ from, to platform.StoreTime }

// read records a read of the store that was answered at a time.
func (e *expiry) read(now platform.StoreTime) {
	if now == 0 {
		return
	}
	if e.lost && e.defers() {
		e.notBefore, e.seen = now, span{}
	}
	e.lost = false
	e.extend(span{now, now})
}

// adopt records the reads of another copy.
func (e *expiry) adopt(s span) {
	s.from = max(s.from, e.notBefore)
	if s.to == 0 || s.to < s.from {
		return
	}
	e.extend(s)
}

// extend joins a span to the known one. If there was an outage between the two, the
// later one remains.
func (e *expiry) extend(s span) {
	switch gap := platform.StoreTime(e.outage); {
	case e.seen.to == 0 || s.from > e.seen.to+gap:
		e.seen = s
	case s.to+gap >= e.seen.from:
		e.seen = span{min(e.seen.from, s.from), max(e.seen.to, s.to)}
	}
}

// defers reports whether removals are not yet believed.
func (e *expiry) defers() bool {
	return e.outage != 0 && e.seen.to != 0 && e.left() > 0
}

// left returns how much longer the table must be read without an outage.
func (e *expiry) left() time.Duration {
	return e.rewrite - time.Duration(e.seen.to-e.seen.from)
}

// DeferRemovals makes the table believe removals only after it was read without an
// outage for the time rewrite. An outage is a gap between reads of more than the
// given length.
func (t *Table) DeferRemovals(outage, rewrite time.Duration) {
	t.expiry.outage, t.expiry.rewrite = outage, rewrite
}

// Defers reports whether removals are not yet believed.
func (t *Table) Defers() bool { return t.expiry.defers() }

// DefersFor returns how much longer the table must be read until removals are
// believed; 0 if they are.
func (t *Table) DefersFor() time.Duration {
	if !t.Defers() {
		return 0
	}
	return t.expiry.left()
}

// ReadFailed records that a read of the store has failed. If removals are deferred
// at that time, the store counts as returned only with the next answer.
func (t *Table) ReadFailed() { t.expiry.lost = true }
