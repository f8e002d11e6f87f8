package keys

import (
	"slices"
	"sync"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/schema"
)

// movingTimeout bounds how long keys count as moving if no end of the move is
// announced.
const movingTimeout = 2 * time.Second

// Owners holds the key owners of all services as known to an instance that
// routes requests. The zero value is empty. It is safe for concurrent use.
type Owners struct {
	mu       sync.RWMutex
	services map[string]*owners
}

// owners holds the assignment of one service.
type owners struct {
	epoch  uint64
	ranges Ranges
	moving []moving
	// changed is closed and replaced when the assignment changes.
	changed chan struct{}
}

// moving is a range of keys that is being moved.
type moving struct {
	from, to uint32
	until    clock.Time
}

func (o *Owners) service(name string) *owners {
	if o.services == nil {
		o.services = map[string]*owners{}
	}
	s := o.services[name]
	if s == nil {
		s = &owners{changed: make(chan struct{})}
		o.services[name] = s
	}
	return s
}

func (s *owners) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Adopt replaces the assignment of a service, unless the known one has the same
// or a higher epoch.
func (o *Owners) Adopt(service string, epoch uint64, r Ranges) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.service(service)
	if epoch <= s.epoch {
		return
	}
	s.epoch, s.ranges, s.moving = epoch, r, nil
	s.notify()
}

// Update applies an announcement of a service's keeper. With the known epoch, it
// starts a move or, if Moving is false, cancels it: the ranges stay with their
// owners. With the next epoch, it assigns the ranges to new owners. All other
// announcements are ignored; Adopt follows with the whole assignment.
func (o *Owners) Update(now clock.Time, q *schema.KeysRequest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.service(q.Service)
	switch {
	case q.Moving && q.Epoch == s.epoch:
		for _, r := range q.Ranges {
			s.moving = append(s.moving, moving{r.From, r.To, now.Add(movingTimeout)})
		}
		return
	case !q.Moving && q.Epoch == s.epoch:
		s.moving = slices.DeleteFunc(s.moving, func(m moving) bool { return overlaps(q.Ranges, m) })
		s.notify()
		return
	case q.Moving || q.Epoch != s.epoch+1:
		return
	}
	s.epoch, s.ranges, s.moving = q.Epoch, s.ranges.Replace(q.Ranges...), nil
	s.notify()
}

// overlaps reports whether any of the ranges shares keys with m.
func overlaps(rs []*schema.KeyRange, m moving) bool {
	return slices.ContainsFunc(rs, func(r *schema.KeyRange) bool { return r.From <= m.to && m.from <= r.To })
}

// Find returns the range that contains a key, or nil if the key has no owner or
// is moving, and a channel that is closed when the assignment changes.
func (o *Owners) Find(now clock.Time, service string, key uint32) (*schema.KeyRange, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.service(service)
	for _, m := range s.moving {
		if m.from <= key && key <= m.to && now < m.until {
			return nil, s.changed
		}
	}
	return s.ranges.Find(key), s.changed
}
