package event

import (
	"cmp"
	"slices"
	"sync"
)

// Event is one record of a process.
type Event struct {
	// Clock is the stamp of the event, which is unique within the process.
	Clock      uint64
	InstanceID string
	// Kind is in kebab case, such as "home-taken".
	Kind string
	// Subject names the object that the event concerns, such as a row key.
	Subject string
	Fields  []Field
}

// Log keeps the most recent events of a process in memory. It is safe for
// concurrent use.
type Log struct {
	clock    *Clock
	instance string

	mu sync.Mutex
	// slots is a circular buffer ordered by clock. The next event is stored at
	// index total modulo the length.
	slots []Event
	// total counts all events that were recorded.
	total uint64
}

// New returns the log of an instance, which keeps the last size events and stamps
// them with c. If size is less than 1, it keeps one event.
func New(instanceID string, size int, c *Clock) *Log {
	return &Log{clock: c, instance: instanceID, slots: make([]Event, max(size, 1))}
}

// Record adds an event and returns its stamp. If the log is full, the event
// overwrites the oldest one. Record allocates only if the slot that it overwrites
// has too little capacity for the fields.
func (l *Log) Record(kind, subject string, fields ...Field) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := &l.slots[l.total%uint64(len(l.slots))]
	l.total++
	// The lock is held while the clock is read, so that slots are in the order of
	// their stamps.
	s.Clock, s.InstanceID, s.Kind, s.Subject = l.clock.Now(), l.instance, kind, subject
	s.Fields = append(s.Fields[:0], fields...)
	return s.Clock
}

// Events returns a copy of the events in the log, oldest first, and the number of
// events that were overwritten.
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

// Merge returns the events of several processes ordered by clock. It removes
// duplicates, which are events with the same clock and instance id.
func Merge(lists ...[]Event) []Event {
	r := slices.Concat(lists...)
	slices.SortStableFunc(r, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Clock, b.Clock), cmp.Compare(a.InstanceID, b.InstanceID))
	})
	return slices.CompactFunc(r, func(a, b Event) bool {
		return a.Clock == b.Clock && a.InstanceID == b.InstanceID
	})
}
