package lease

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/fence"
	"dandelionrock.example/dandelionrock/shard"
)

// instance runs the homes of the upstreams that it has taken over. It models the
// part of the daemon that does the I/O for a Home.
type instance struct {
	w    *simulation
	id   party
	run  int
	txns int
	// view holds the newest version of each row that the instance has seen.
	view  rows
	homes []*instanceHome
	ticks int
}

// instanceHome is a Home of an instance and the state of its I/O.
type instanceHome struct {
	h        *Home
	upstream *upstream
	// row is the home row as this instance wrote it.
	row row
	// committedAt is when the commit of the term was known.
	committedAt clock.Time
	// ready is set once the rows were read after the takeover. retired is set
	// when the home is asked to retire, releasing once it writes its released
	// row.
	ready, retired, releasing bool
	moves                     []*move
}

// move is a requested move of a shard to another upstream. sending is set while
// its write is in flight.
type move struct {
	shard   shard.ID
	to      int
	sending bool
}

// start starts the instance, or restarts it with the state of earlier runs lost.
func (i *instance) start() {
	i.run++
	i.view, i.homes = rows{}, make([]*instanceHome, len(i.w.upstreams))
	i.tick()
}

func (i *instance) clock() clock.Time { return i.w.clock(i.id) }

// after calls f after d unless the instance restarts before.
func (i *instance) after(d time.Duration, f func()) {
	n := i.run
	i.w.at(i.w.now.Add(d), i.id, func() {
		if i.run == n {
			f()
		}
	})
}

// call runs f at another party and then calls g at the instance with the result.
// Both messages may be lost, delayed or duplicated.
func call[T any](i *instance, to party, f func() T, g func(T)) {
	n := i.run
	i.w.send(i.id, to, func() {
		if to == theTable && i.w.outage {
			return
		}
		v := f()
		i.w.send(to, i.id, func() {
			if i.run == n {
				g(v)
			}
		})
	})
}

// read calls f with a consistent snapshot of the table.
func (i *instance) read(f func(rows)) { call(i, theTable, i.w.table.snapshot, f) }

// commit sends x repeatedly until its outcome is known, and then calls f with it.
func (i *instance) commit(x txn, f func(bool, rows)) {
	i.txns++
	x.id = fmt.Sprintf("%d.%d.%d", i.id, i.run, i.txns)
	d := false
	e := func(ok bool, r rows) {
		if !d {
			d = true
			i.w.table.acknowledge(x, ok)
			if !ok {
				i.w.stats["refused write"]++
			}
			f(ok, r)
		}
	}
	var t func(first bool)
	t = func(first bool) {
		if d {
			return
		}
		if !first {
			i.w.stats["write sent again"]++
		}
		if i.w.without == ruleResend && !first {
			i.read(func(r rows) { e(r.committed(x), r) })
		} else {
			i.attempt(x, e)
		}
		i.after(200*time.Millisecond, func() { t(false) })
	}
	t(true)
}

// attempt sends x once and calls f with the result.
func (i *instance) attempt(x txn, f func(bool, rows)) {
	ok := false
	call(i, theTable, func() rows {
		ok = i.w.table.commit(x) || ok
		return i.w.table.snapshot()
	}, func(r rows) { f(ok || r.committed(x), r) })
}

// applyRows applies rows that are newer than those known to the view and to the
// homes.
func (i *instance) applyRows(r rows) {
	for k, v := range r {
		if v.version > i.view[k].version {
			i.view[k] = v
		}
	}
	for u, s := range i.homes {
		if s == nil {
			continue
		}
		if i.view[u].version > s.row.version && !s.h.Superseded() {
			i.w.stats["superseded by row"]++
			s.h.Supersede()
		}
		if s.h.Superseded() {
			i.homes[u] = nil
			continue
		}
		for x, a := range i.view[blockKey].block {
			if s.ready && a.upstream == u {
				s.h.Add(shard.ID(x), a.epoch)
			}
		}
	}
}

// refresh reads the table, confirms the homes and applies the rows.
func (i *instance) refresh() {
	t := i.clock()
	i.read(func(r rows) {
		if i.w.without == ruleSentTime {
			t = i.clock()
		}
		for u, s := range i.homes {
			if s != nil && r[u].version == s.row.version && t > s.committedAt {
				s.h.Confirm(t)
				s.ready = true
			}
		}
		i.applyRows(r)
	})
}

// takeover makes the instance the home of u unless another instance commits a
// change of the home row first.
func (i *instance) takeover(u *upstream, l limits) {
	if s := i.homes[u.index]; s != nil && !s.retired {
		return
	}
	i.read(func(r rows) {
		i.applyRows(r)
		o := r[u.index]
		if o.home.term > 0 && o.home.instance == int(i.id) && o.home.run == i.run && !o.home.released {
			return
		}
		p := o.home.limits
		if o.home.released {
			p.hold = 0
		}
		w := l.statedAfter(p)
		if i.w.without == ruleStatedHold {
			w.hold = l.hold
		}
		n := put{u.index, row{version: o.version, home: homeRow{int(i.id), i.run, o.home.term + 1, w, false}}}
		t := i.clock()
		i.commit(txn{puts: []put{n}}, func(ok bool, r rows) {
			if x := i.homes[u.index]; ok && (x == nil || x.row.version < n.version) {
				n.version++
				i.startHome(u, n.row, Config{
					Term: fence.Term(n.home.term), ConfirmedAt: t,
					Hold: l.hold, TTL: l.ttl, MaxRequest: l.request,
					PredecessorHold: p.hold, PredecessorTTL: p.ttl, PredecessorMaxRequest: p.request,
				})
			}
			i.applyRows(r)
		})
	})
}

// startHome starts the home of a term whose commit is known.
func (i *instance) startHome(u *upstream, r row, c Config) {
	c.Fencing, c.CommittedAt, c.Drift = i.w.fencing, i.clock(), i.w.drift
	switch i.w.without {
	case ruleDrift:
		c.Drift = 1e-9
	case ruleTakeoverWait:
		c.PredecessorHold = 0
	case ruleStatedLimits:
		c.PredecessorTTL, c.PredecessorMaxRequest = 0, 0
	}
	i.homes[u.index] = &instanceHome{h: New(c), upstream: u, row: r, committedAt: c.CommittedAt, ready: i.w.without == ruleFreshRows}
	i.w.log("instance %d is home of %d in term %d", i.id, u.index, c.Term)
	if i.w.without == ruleFreshRows {
		i.applyRows(rows{})
	}
	i.refresh()
}

// tick runs the periodic work of all homes of the instance.
func (i *instance) tick() {
	i.ticks++
	n := i.ticks%4 == 0
	for _, s := range i.homes {
		if s != nil {
			i.driveHome(s)
			n = n || s.h.NeedsConfirm()
		}
	}
	if n {
		i.refresh()
	}
	i.after(tickInterval, i.tick)
}

// driveHome sends a grant, dispatches requests, and advances the moves of a home,
// or the release of its row once it is retired.
func (i *instance) driveHome(s *instanceHome) {
	if s.retired {
		i.releaseRow(s)
		return
	}
	i.grant(s)
	for x := range shard.ID(shards) {
		t, err := s.h.CanDispatch(i.clock(), x)
		if err == nil && !i.w.fenced() && !i.w.cut[[2]party{i.id, s.upstream.id}] {
			i.w.stats["dispatch"]++
			i.w.dispatch(s.upstream, t, s.h.c.MaxRequest)
		}
	}
	for _, m := range s.moves {
		i.advanceMove(s, m)
	}
}

// grant sends the next grant of a home and records the answer.
func (i *instance) grant(s *instanceHome) {
	m, ok := s.h.Grant(i.clock())
	if !ok {
		return
	}
	t := i.clock()
	call(i, s.upstream.id, func() Answer { return s.upstream.handle(m) }, func(a Answer) {
		if s.h.bootID != "" && s.h.bootID != a.BootId {
			i.w.stats["restarted upstream"]++
		}
		if errors.Is(s.h.Answer(t, i.clock(), a), ErrSuperseded) {
			i.w.stats["superseded by answer"]++
		}
		if i.w.without == ruleConfirmBoot {
			s.h.bootIDSeenAt = s.h.confirmedAt - 1
		}
	})
}

// startMove starts the move of a shard away from the upstream of the home unless
// a move of the shard is in progress.
func (i *instance) startMove(s *instanceHome, x shard.ID, to int) {
	for _, m := range s.moves {
		if m.shard == x {
			return
		}
	}
	s.moves = append(s.moves, &move{shard: x, to: to})
}

// advanceMove commits a move once the upstream can no longer act on the shard.
func (i *instance) advanceMove(s *instanceHome, m *move) {
	if m.sending {
		return
	}
	s.h.Release(m.shard)
	if !i.w.fenced() && !i.w.busy(s.upstream, m.shard) {
		s.h.Drained(m.shard)
	}
	ok, _ := s.h.CanMove(i.clock(), m.shard)
	if i.w.without == ruleMoveWait {
		ok = true
	}
	b := i.view[blockKey]
	a := b.block[m.shard]
	if !ok || a.upstream != s.upstream.index {
		return
	}
	i.w.stats[s.moveCause(m.shard)]++
	m.sending = true
	b.block[m.shard] = assignment{m.to, a.epoch + 1}
	x := txn{checks: map[int]uint64{s.upstream.index: s.row.version}, puts: []put{{blockKey, b}}}
	i.commit(x, func(ok bool, r rows) {
		m.sending = false
		i.finishMove(s, m, a, ok, r)
	})
}

// moveCause returns the situation that permits the move of the shard.
func (s *instanceHome) moveCause(x shard.ID) string {
	e := s.h.shards[x]
	switch {
	case !s.h.checksTokens():
		return "move without fence"
	case !s.h.everAdopted:
		return "move without adoption"
	case e.last != 0 && s.h.acked <= e.last:
		return "move after expiry"
	}
	return "move after acknowledgement"
}

// finishMove ends a move whose write succeeded or whose shard has another
// assignment by now. After a conflict it keeps the move, to be sent again, or
// abandons it.
func (i *instance) finishMove(s *instanceHome, m *move, a assignment, ok bool, r rows) {
	switch {
	case ok, r[blockKey].block[m.shard] != a:
		s.h.Remove(m.shard)
	case i.w.keepMoves, i.w.r.IntN(2) == 0:
		i.applyRows(r)
		return
	default:
		s.h.Restore(m.shard)
	}
	l := s.moves[:0]
	for _, x := range s.moves {
		if x != m {
			l = append(l, x)
		}
	}
	s.moves = l
	i.applyRows(r)
	i.announce(r)
}

// announce sends rows to all instances.
func (i *instance) announce(r rows) {
	for _, x := range i.w.instances {
		i.w.send(i.id, x.id, func() { x.applyRows(r) })
	}
}

// releaseRow marks the home row released as soon as Retire permits it.
func (i *instance) releaseRow(s *instanceHome) {
	ok, _ := s.h.Retire(i.clock())
	if i.w.without == ruleRetireWait {
		ok = true
	}
	if !ok || s.releasing {
		return
	}
	s.releasing = true
	n := s.row
	n.home.limits, n.home.released = limits{s.h.c.Hold, s.h.c.TTL, s.h.c.MaxRequest}, true
	i.commit(txn{puts: []put{{s.upstream.index, n}}}, func(ok bool, r rows) {
		if ok {
			i.w.stats["released row"]++
		}
		i.applyRows(r)
	})
}
