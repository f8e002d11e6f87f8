package lease

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/fence"
	"dandelionrock.example/dandelionrock/schema"
	"dandelionrock.example/dandelionrock/shard"
)

// upstream is a simulated upstream with a real Guard.
type upstream struct {
	w        *simulation
	index    int
	id       party
	boots    int
	guard    *fence.Guard
	term     uint64
	sequence uint64
}

// restart replaces the Guard by a new one, and the clock by that of another
// machine.
func (u *upstream) restart() {
	u.boots++
	u.guard, u.term, u.sequence = fence.New(fmt.Sprintf("%d.%d", u.index, u.boots)), 0, 0
	u.w.offset[u.id] = clock.Time(u.w.r.Int64N(int64(time.Hour)))
}

// handle passes a message to the Guard, with the mutation of the walk applied,
// and checks the state after it.
func (u *upstream) handle(m Grant) Answer {
	now, w := u.w.clock(u.id), u.w
	switch {
	case w.without == ruleUpstreamClock && m.BootId != "":
		m = proto.Clone(m).(Grant)
		m.ReadingUs = int64(now) / int64(time.Microsecond)
	case w.without == ruleSequence && m.Term == u.term && m.Sequence <= u.sequence,
		w.without == ruleTerm && m.Term < u.term:
		// A new Guard has no record of earlier messages and accepts this one.
		a := u.guard.Handle(now, &schema.GrantRequest{})
		u.guard = fence.New(a.BootId)
		u.guard.Handle(now, &schema.GrantRequest{Term: m.Term, Sequence: m.Sequence - 1})
	}
	a := u.guard.Handle(now, m)
	if a.Term < u.term && w.without != ruleTerm {
		w.fail("term at upstream %d decreases from %d to %d", u.index, u.term, a.Term)
	}
	u.term, u.sequence = a.Term, a.Sequence
	w.log("upstream %d: term %d sequence %d boot %s shards %v -> %v",
		u.index, m.Term, m.Sequence, m.BootId, m.Shards, a)
	if w.fenced() {
		w.checkExclusive()
	}
	return a
}

// executes reports whether the upstream would execute a request for the shard
// with the token of any epoch.
func (u *upstream) executes(s shard.ID) bool {
	for e := range u.w.table.rows[blockKey].block[s].epoch {
		t := Token{Term: fence.Term(u.term), Shard: s, Epoch: e + 1}
		if u.guard.Check(u.w.clock(u.id), t) == nil {
			return true
		}
	}
	return false
}
