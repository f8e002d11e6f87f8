package shed

import (
	"cmp"
	"slices"

	"dandelionrock.example/dandelionrock/clock"
)

// Origin identifies where connections come from, such as an address.
type Origin uint64

const (
	// batchPart is the part of the permitted connections that is closed when there are too
	// many, so that they aren't searched for each new one.
	batchPart = 64
	// sparePart is the part of the permitted connections that may be open beside them while
	// others are being closed.
	sparePart = 16
)

// SetMaxOpen sets the number of connections that may be open; 0 means any number.
func (l *Ledger) SetMaxOpen(n int) { l.maxOpen = n }

// Open records that a connection has been opened, whose client is to send a request. It
// reports false if there are too many; the connection is not recorded then.
func (l *Ledger) Open(now clock.Time, id ID, o Origin) bool {
	if l.maxOpen > 0 && (l.open-l.closing >= l.maxOpen || l.open >= l.maxOpen+l.maxOpen/sparePart) {
		return false
	}
	l.open++
	l.origins[o]++
	l.conns[id] = &conn{open: true, origin: o, receiving: true, since: now}
	return true
}

// Close records that a connection has been closed. What it still holds is removed later.
func (l *Ledger) Close(id ID) {
	c := l.conns[id]
	if c == nil || !c.open {
		return
	}
	c.open, c.receiving, c.writing = false, false, false
	l.open--
	if c.chosen {
		l.closing--
	}
	if l.origins[c.origin]--; l.origins[c.origin] == 0 {
		delete(l.origins, c.origin)
	}
	l.drop(id, c)
}

// Crowd returns connections to close because there is no place for another one: those whose
// clients have kept the instance waiting for longest, if an origin has more than half of
// all connections, of that origin. Connections whose requests are being served stay.
func (l *Ledger) Crowd(now clock.Time) []Victim {
	if l.maxOpen == 0 || l.open-l.closing < l.maxOpen {
		return nil
	}
	var all, major []Victim
	for id, c := range l.conns {
		d := c.blocked(now)
		if !c.open || c.chosen || d < minBlocked {
			continue
		}
		v := Victim{id, Connections, c.bytes, d}
		all = append(all, v)
		if 2*l.origins[c.origin] > l.open {
			major = append(major, v)
		}
	}
	if len(major) > 0 {
		all = major
	}
	slices.SortFunc(all, func(a, b Victim) int { return cmp.Or(cmp.Compare(b.Blocked, a.Blocked), cmp.Compare(a.ID, b.ID)) })
	all = all[:min(len(all), l.maxOpen/batchPart+1)]
	for _, v := range all {
		l.choose(l.conns[v.ID])
	}
	return all
}

// Waits reports whether the client of a connection keeps the instance waiting.
func (l *Ledger) Waits(id ID) bool {
	c := l.conns[id]
	return c != nil && (c.receiving || c.writing)
}
