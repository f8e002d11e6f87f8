// Package shed decides which connections of clients are closed when they take too much
// memory or too many descriptors. It answers the load of clients that get long responses
// and read little of them, send requests that they don't finish, or keep connections open
// that they don't use. It performs no I/O.
package shed

import (
	"time"

	"dandelionrock.example/dandelionrock/clock"
)

// Bytes is a number of bytes.
type Bytes int64

// ID identifies a connection of a client.
type ID uint64

// Others is the ID of bytes that belong to no connection, such as responses that are on
// the way to another instance.
const Others ID = 0

const (
	// roomShare is the share of the limit up to which all connections have room.
	roomShare = 0.4
	// blockedShare is the share of the limit above which connections are closed whose
	// clients have kept the instance waiting for minBlocked.
	blockedShare = 0.6
	minBlocked   = 100 * time.Millisecond
	// admitShare is the share of the limit up to which bytes are admitted that can be
	// refused. A request needs room for admitFactor ones like it.
	admitShare  = 0.8
	admitFactor = 16
	// fairShare is the share of the limit that a connection may hold and still have room.
	fairShare = 1.0 / 256
	// baseTime is added to the time for which a client has kept the instance waiting, so
	// that among connections that make progress the bytes decide.
	baseTime = time.Millisecond
	// searchInterval is the time after a search that found no connection to close.
	searchInterval = minBlocked / 10
	// minRate is the number of bytes per second that a client must send of a request not to
	// count as one that keeps the instance waiting.
	minRate = 64 << 10
)

// Cause is what a connection is closed for.
type Cause int

const (
	// Memory means that too many bytes are held.
	Memory Cause = iota
	// Connections means that too many connections are open.
	Connections
)

// Victim is a connection to close.
type Victim struct {
	ID    ID
	Cause Cause
	// Bytes are held for the connection.
	Bytes Bytes
	// Blocked is how long the client has kept the instance waiting; 0 if it doesn't.
	Blocked time.Duration
}

// Ledger holds what connections take. Use New. It is not safe for concurrent use.
type Ledger struct {
	limit Bytes
	// total is the sum of the bytes of all connections and of others. leaving is the part
	// of it that belongs to connections that have been chosen.
	total, leaving Bytes
	conns          map[ID]*conn
	// searchAt is when the connections are searched next, unless the ledger is full.
	searchAt clock.Time
	// maxOpen bounds open, the number of open connections; 0 means that it is unbounded.
	// closing is the part of open that has been chosen.
	maxOpen, open, closing int
	// origins counts the open connections by origin.
	origins map[Origin]int
}

// conn is a connection that is open, holds bytes or is written to.
type conn struct {
	bytes Bytes
	// open is set from Open to Close.
	open   bool
	origin Origin
	// receiving is set while the client is to send a request or the rest of one, or to
	// close the connection, and writing while it is to take a response. since is when it
	// began to keep the instance waiting.
	receiving, writing bool
	since              clock.Time
	// chosen is set when the connection has been named as a victim.
	chosen bool
}

// New returns a Ledger of no connections.
func New(limit Bytes) *Ledger {
	return &Ledger{limit: limit, conns: map[ID]*conn{}, origins: map[Origin]int{}}
}

// SetLimit sets the bytes that may be held.
func (l *Ledger) SetLimit(n Bytes) { l.limit = n }

// Total returns the bytes that are held.
func (l *Ledger) Total() Bytes { return l.total }

// Full reports whether more than the limit is held, apart from what the connections hold
// that are being closed.
func (l *Ledger) Full() bool { return l.total-l.leaving > l.limit }

// Admits reports whether n more bytes may be held that can be refused. Long requests leave
// room for short ones.
func (l *Ledger) Admits(n Bytes) bool {
	return float64(l.total-l.leaving+admitFactor*n) <= admitShare*float64(l.limit)
}

// Hold adds n bytes, or removes them if n is negative.
func (l *Ledger) Hold(id ID, n Bytes) {
	l.total += n
	if id == Others || n == 0 {
		return
	}
	c := l.conn(id)
	c.bytes += n
	if c.chosen {
		l.leaving += n
	}
	l.drop(id, c)
}

// Write records that a write to a connection begins, or that its client has taken some of
// it.
func (l *Ledger) Write(now clock.Time, id ID) {
	c := l.conn(id)
	c.writing, c.since = true, now
}

// Written records that a write has ended.
func (l *Ledger) Written(id ID) {
	c := l.conn(id)
	c.writing = false
	l.drop(id, c)
}

// Receive records that the client is to send, from now on or from its last write on.
func (l *Ledger) Receive(now clock.Time, id ID) {
	if c := l.conns[id]; c != nil && c.open {
		c.receiving, c.since = true, max(c.since, now)
	}
}

// Received records that the client has sent n bytes of what it is to send.
func (l *Ledger) Received(now clock.Time, id ID, n Bytes) {
	if c := l.conns[id]; c != nil && c.open {
		c.since = min(now, c.since.Add(time.Duration(n)*time.Second/minRate))
	}
}

// Serve records that the client has sent all that it is to send.
func (l *Ledger) Serve(id ID) {
	if c := l.conns[id]; c != nil {
		c.receiving = false
	}
}

// IsCalm reports whether so little is held that all connections would have room with a
// limit.
func (l *Ledger) IsCalm(limit Bytes) bool { return float64(l.total) <= roomShare*float64(limit) }

// HasRoom reports whether a request of a connection may run ahead of its turn.
func (l *Ledger) HasRoom(id ID) bool {
	if l.IsCalm(l.limit) {
		return true
	}
	c := l.conns[id]
	return l.total <= l.limit && (c == nil || float64(c.bytes) <= fairShare*float64(l.limit))
}

// Next returns the next connection to close because of memory, or false if there is none.
// The connection that holds most bytes for longest pays first. Within the limit only those
// pay whose clients keep the instance waiting.
func (l *Ledger) Next(now clock.Time) (Victim, bool) {
	if float64(l.total-l.leaving) <= blockedShare*float64(l.limit) || now < l.searchAt && !l.Full() {
		return Victim{}, false
	}
	var most float64
	var v Victim
	for id, c := range l.conns {
		d := c.blocked(now)
		if c.chosen || d < minBlocked && !l.Full() {
			continue
		}
		debt := float64(c.bytes) * float64(d+baseTime)
		if debt > most || debt == most && debt > 0 && id < v.ID {
			most, v = debt, Victim{id, Memory, c.bytes, d}
		}
	}
	if most == 0 {
		l.searchAt = now.Add(searchInterval)
		return Victim{}, false
	}
	l.choose(l.conns[v.ID])
	return v, true
}

// choose marks a connection as one that is being closed.
func (l *Ledger) choose(c *conn) {
	c.chosen = true
	l.leaving += c.bytes
	if c.open {
		l.closing++
	}
}

// Spare takes back that a connection has been named as a victim.
func (l *Ledger) Spare(id ID) {
	c := l.conns[id]
	if c == nil || !c.chosen {
		return
	}
	c.chosen = false
	l.leaving -= c.bytes
	if c.open {
		l.closing--
	}
}

// blocked returns how long the client has kept the instance waiting, or 0.
func (c *conn) blocked(now clock.Time) time.Duration {
	if !c.receiving && !c.writing {
		return 0
	}
	return now.Sub(c.since)
}

// conn returns the state of a connection.
func (l *Ledger) conn(id ID) *conn {
	c := l.conns[id]
	if c == nil {
		c = &conn{}
		l.conns[id] = c
	}
	return c
}

// drop forgets a connection that is not open, holds nothing and isn't written to.
func (l *Ledger) drop(id ID, c *conn) {
	if c.bytes == 0 && !c.writing && !c.open {
		delete(l.conns, id)
	}
}
