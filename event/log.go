package event

import (
	"cmp"
	"slices"
	"sync"
)

// Event is one record of a process.
type Event struct {
	// Clock is unique within the process.
	Clock      uint64
	InstanceID string
	// Kind is in kebab case, such as "home-taken".
	Kind string
	// Subject names what the event is about, such as a row key.
	Subject string
	Fields  []Field
}

// Log keeps the last events of a process in memory. It is safe for concurrent
// use.
type Log struct {
	clock    *Clock
	instance string

	mu sync.Mutex
	// slots is a circular buffer ordered by clock; total counts all events, so
	// that the next one goes to total modulo the length.
	slots []Event
	total uint64
}

// New returns a log of an instance that keeps the last size events, at least
// one, and stamps them with c.
func New(instanceID string, size int, c *Clock) *Log {
	return &Log{clock: c, instance: instanceID, slots: make([]Event, max(size, 1))}
}

// Record adds an event, overwriting the oldest one of a full log, and returns
// its stamp. It doesn't allocate once the slots have room for the fields.
func (l *Log) Record(kind, subject string, fields ...Field) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := &l.slots[l.total%uint64(len(l.slots))]
	l.total++
	// The stamp is taken with the lock held, so that the slots stay in order.
	s.Clock, s.InstanceID, s.Kind, s.Subject = l.clock.Now(), l.instance, kind, subject
	s.Fields = append(s.Fields[:0], fields...)
	return s.Clock
}

// Events returns a copy of the events that are kept, oldest first, and the
// number of older events that were overwritten.
func (l *Log) Events() ([]Event, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := uint64(len(l.slots))
	k := min(l.total, n)
	r := make([]Event, 0, k)
	for i := l.total - k; i < l.total; i++ {
		e := l.slots[i%n]
		e.Fields = slices.Clone(e.Fields)
		r = append(r, e)
	}
	return r, l.total - k
}

// Merge returns the events of several processes ordered by clock. An event
// that occurs more than once is kept once.
func Merge(lists ...[]Event) []Event {
	r := slices.Concat(lists...)
	slices.SortStableFunc(r, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Clock, b.Clock), cmp.Compare(a.InstanceID, b.InstanceID))
	})
	return slices.CompactFunc(r, func(a, b Event) bool {
		return a.Clock == b.Clock && a.InstanceID == b.InstanceID
	})
}
