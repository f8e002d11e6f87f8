package lease

import (
	"slices"
	"time"

	"dandelionrock.example/dandelionrock/shard"
)

// keptTxns is the number of latest transaction ids that a row stores.
const keptTxns = 8

// blockKey is the key of the row with all shards. The home row of upstream n has
// key n.
const blockKey = -1

type homeRow struct {
	instance, run int
	term          uint64
	limits        limits
	released      bool
}

// limits bound how long a home, its grants and its requests can act.
type limits struct{ hold, ttl, request time.Duration }

// statedAfter returns the limits that the home row must state if p are those of
// the predecessor's row.
func (l limits) statedAfter(p limits) limits {
	return limits{StatedHold(l.hold, p.hold), StatedHold(l.ttl, p.ttl), StatedHold(l.request, p.request)}
}

type assignment struct {
	upstream int
	epoch    shard.Epoch
}

type blockRow [shards]assignment

type row struct {
	version uint64
	txns    []string
	home    homeRow
	block   blockRow
}

type put struct {
	key int
	row
}

// txn is a transaction that is conditional on the version of each row in puts and
// in checks.
type txn struct {
	id     string
	checks map[int]uint64
	puts   []put
}

// rows holds rows by key.
type rows map[int]row

// committed reports whether a row that x writes stores its id.
func (r rows) committed(x txn) bool {
	for _, p := range x.puts {
		if slices.Contains(r[p.key].txns, x.id) {
			return true
		}
	}
	return false
}

// fakeTable is an in-memory table that checks each commit for violations.
type fakeTable struct {
	w    *simulation
	rows rows
	// refused holds transactions that were reported to a home as refused, which
	// must never take effect.
	refused map[string]bool
	// acknowledged has for each shard the assignment with the highest epoch
	// whose commit was reported to a home.
	acknowledged blockRow
}

func newTable(w *simulation) *fakeTable {
	t := &fakeTable{w: w, rows: rows{}, refused: map[string]bool{}}
	var b blockRow
	for s := range b {
		b[s] = assignment{s % w.size, 1}
	}
	t.rows[blockKey] = row{version: 1, block: b}
	return t
}

func (t *fakeTable) snapshot() rows {
	r := rows{}
	for k, v := range t.rows {
		v.txns = slices.Clone(v.txns)
		r[k] = v
	}
	return r
}

// conditionsHold reports whether the rows have the versions that x requires.
func (t *fakeTable) conditionsHold(x txn) bool {
	w := t.w
	for k, v := range x.checks {
		if t.rows[k].version != v && w.without != ruleHomeRow {
			return false
		}
	}
	for _, p := range x.puts {
		if t.rows[p.key].version != p.version && (w.without != ruleRowVersion || p.key != blockKey) {
			return false
		}
	}
	return true
}

// commit applies x if its conditions hold.
func (t *fakeTable) commit(x txn) bool {
	if !t.conditionsHold(x) {
		return false
	}
	if t.refused[x.id] && t.w.without != ruleResend {
		t.w.fail("transaction %s took effect after it was reported as refused", x.id)
	}
	for _, p := range x.puts {
		o := t.rows[p.key]
		p.version = o.version + 1
		p.txns = append(slices.Clone(o.txns), x.id)
		p.txns = p.txns[max(0, len(p.txns)-keptTxns):]
		t.checkTerm(o.home, p.home)
		if p.key == blockKey {
			t.checkBlock(o.block, p.block)
		}
		t.rows[p.key] = p.row
	}
	t.w.log("commit %s: %+v", x.id, x.puts)
	return true
}

// checkTerm fails if the term decreases.
func (t *fakeTable) checkTerm(old, now homeRow) {
	if now.term < old.term {
		t.w.fail("term decreases from %d to %d", old.term, now.term)
	}
}

// checkBlock fails if an epoch is lower than in the old row or than one that was
// acknowledged, or if an assignment changes without its epoch.
func (t *fakeTable) checkBlock(old, now blockRow) {
	for s, a := range now {
		for _, b := range []assignment{old[s], t.acknowledged[s]} {
			if a.epoch < b.epoch || a.epoch == b.epoch && a != b {
				t.w.fail("assignment of shard %d changes from %+v to %+v", s, b, a)
			}
		}
	}
}

// acknowledge records that the result of x was reported to a home.
func (t *fakeTable) acknowledge(x txn, ok bool) {
	if !ok {
		t.refused[x.id] = true
		return
	}
	for _, p := range x.puts {
		for s, a := range p.block {
			if a.epoch > t.acknowledged[s].epoch {
				t.acknowledged[s] = a
			}
		}
	}
}
