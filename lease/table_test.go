package lease

import (
	"slices"
	"time"

	"dandelionrock.example/dandelionrock/shard"
)

// keptTxns is the number of transaction ids that a row keeps.
const keptTxns = 8

// blockKey is the row of all shards; the home row of upstream n has key n.
const blockKey = -1

type homeRow struct {
	instance, run int
	term          uint64
	limits        limits
	released      bool
}

// limits bound for how long a home and what it sent can act.
type limits struct{ hold, ttl, request time.Duration }

// stated returns what the row of a successor to p must state.
func (l limits) stated(p limits) limits {
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

// txn is conditional on the version of each row in puts, and in checks.
type txn struct {
	id     string
	checks map[int]uint64
	puts   []put
}

// rows is a consistent copy of the table.
type rows map[int]row

// committed reports whether a row names the transaction.
func (r rows) committed(x txn) bool {
	for _, p := range x.puts {
		if slices.Contains(r[p.key].txns, x.id) {
			return true
		}
	}
	return false
}

// fakeTable is the platform's table together with the part of the oracle that
// watches it.
type fakeTable struct {
	w    *world
	rows rows
	// refused holds transactions that a home was told will never land.
	refused map[string]bool
	// acknowledged is the highest assignment of each shard whose commit a home
	// was told.
	acknowledged blockRow
}

func newTable(w *world) *fakeTable {
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

func (t *fakeTable) holds(x txn) bool {
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
	if !t.holds(x) {
		return false
	}
	if t.refused[x.id] && t.w.without != ruleSettle {
		t.w.fail("transaction %s took effect after it was reported as refused", x.id)
	}
	for _, p := range x.puts {
		o := t.rows[p.key]
		p.version = o.version + 1
		p.txns = append(slices.Clone(o.txns), x.id)
		p.txns = p.txns[max(0, len(p.txns)-keptTxns):]
		t.watch(o.home, p.home)
		if p.key == blockKey {
			t.watchBlock(o.block, p.block)
		}
		t.rows[p.key] = p.row
	}
	t.w.log("commit %s: %+v", x.id, x.puts)
	return true
}

// watch fails if a term falls.
func (t *fakeTable) watch(old, now homeRow) {
	if now.term < old.term {
		t.w.fail("term falls from %d to %d", old.term, now.term)
	}
}

// watchBlock fails if an epoch falls or an acknowledged assignment vanishes.
func (t *fakeTable) watchBlock(old, now blockRow) {
	for s, a := range now {
		for _, b := range []assignment{old[s], t.acknowledged[s]} {
			if a.epoch < b.epoch || a.epoch == b.epoch && a != b {
				t.w.fail("assignment of shard %d goes from %+v to %+v", s, b, a)
			}
		}
	}
}

// acknowledge records that a home was told the result of x.
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
