// Package shed decides which connections are closed when responses take too much memory
// because clients read them slowly or not at all. It answers the load of clients that send
// many requests ahead, get long responses and read little of them. It performs no I/O.
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
	// clients have taken nothing for minBlocked.
	blockedShare = 0.6
	minBlocked   = 100 * time.Millisecond
	// fairShare is the share of the limit that a connection may hold and still have room.
	fairShare = 1.0 / 256
	// baseTime is added to the time for which a client has taken nothing, so that among
	// connections that make progress the bytes decide.
	baseTime = time.Millisecond
	// searchInterval is the time after a search that found no connection to close.
	searchInterval = minBlocked / 10
)

// Victim is a connection to close.
type Victim struct {
	ID ID
	// Bytes are held for the connection.
	Bytes Bytes
	// Blocked is how long the client has taken nothing of a response; 0 if none is being
	// written.
	Blocked time.Duration
}

// Ledger holds the bytes that are held for each connection. Use New. It is not safe for
// concurrent use.
type Ledger struct {
	limit Bytes
	// total is the sum of the bytes of all connections and of others. leaving is the part
	// of it that belongs to connections that Next has returned.
	total, leaving Bytes
	conns          map[ID]*conn
	// searchAt is when the connections are searched next, unless the ledger is full.
	searchAt clock.Time
}

// conn is a connection that holds bytes or is written to.
type conn struct {
	bytes Bytes
	// writing is set while a write waits for the client, which has taken nothing since
	// then.
	writing bool
	since   clock.Time
	// chosen is set when Next has returned the connection.
	chosen bool
}

// New returns a Ledger without bytes.
func New(limit Bytes) *Ledger { return &Ledger{limit: limit, conns: map[ID]*conn{}} }

// SetLimit sets the bytes that may be held.
func (l *Ledger) SetLimit(n Bytes) { l.limit = n }

// Total returns the bytes that are held.
func (l *Ledger) Total() Bytes { return l.total }

// Full reports whether more than the limit is held, apart from what the connections hold
// that are being closed.
func (l *Ledger) Full() bool { return l.total-l.leaving > l.limit }

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

// HasRoom reports whether a request of a connection may run ahead of its turn.
func (l *Ledger) HasRoom(id ID) bool {
	if float64(l.total) <= roomShare*float64(l.limit) {
		return true
	}
	c := l.conns[id]
	return l.total <= l.limit && (c == nil || float64(c.bytes) <= fairShare*float64(l.limit))
}

// Next returns the next connection to close, or false if there is none. The connection
// that holds most bytes for longest pays first. Within the limit only those pay whose
// clients take nothing.
func (l *Ledger) Next(now clock.Time) (Victim, bool) {
	if float64(l.total-l.leaving) <= blockedShare*float64(l.limit) || now < l.searchAt && !l.Full() {
		return Victim{}, false
	}
	var most float64
	var v Victim
	for id, c := range l.conns {
		var d time.Duration
		if c.writing {
			d = now.Sub(c.since)
		}
		if c.chosen || d < minBlocked && !l.Full() {
			continue
		}
		debt := float64(c.bytes) * float64(d+baseTime)
		if debt > most || debt == most && debt > 0 && id < v.ID {
			most, v = debt, Victim{id, c.bytes, d}
		}
	}
	if most == 0 {
		l.searchAt = now.Add(searchInterval)
		return Victim{}, false
	}
	c := l.conns[v.ID]
	c.chosen = true
	l.leaving += c.bytes
	return v, true
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

// drop forgets a connection that holds nothing and isn't written to.
func (l *Ledger) drop(id ID, c *conn) {
	if c.bytes == 0 && !c.writing {
		delete(l.conns, id)
	}
}
