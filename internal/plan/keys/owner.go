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
	// ahead holds the announced changes of epochs whose predecessor is not known yet:
	// announcements may arrive in another order than they were sent in.
	ahead map[uint64]Ranges
	// changed is closed and replaced when the assignment changes.
	changed chan struct{}
}

// maxAhead bounds the announced changes that wait for an earlier one.
const maxAhead = 32

// moving is a range of keys that is being moved.
type moving struct {
	// owner holds the range with the owner that it is moved away from; nil if that is
	// not known.
	owner    *schema.KeyRange
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
	s.epoch, s.ranges = epoch, r
	s.settle()
}

// settle applies the changes whose turn has come, ends the moves of ranges that have
// another owner now, and notifies those who wait for owners.
func (s *owners) settle() {
	for {
		r, ok := s.ahead[s.epoch+1]
		if !ok {
			break
		}
		s.epoch, s.ranges = s.epoch+1, s.ranges.Replace(r...)
	}
	for e := range s.ahead {
		if e <= s.epoch {
			delete(s.ahead, e)
		}
	}
	s.moving = slices.DeleteFunc(s.moving, func(m moving) bool {
		r := s.ranges.Find(m.from)
		return m.owner == nil || r == nil || r.Target != m.owner.Target || r.Born != m.owner.Born
	})
	s.notify()
}

// Update applies an announcement of a service's keeper: a move begins, or is cancelled if
// Moving is false and the epoch 0, so that the ranges stay with their owners. Otherwise the
// ranges have new owners from the epoch on. A change waits for those of the epochs before
// it, or for Adopt, which follows with the whole assignment.
func (o *Owners) Update(now clock.Time, q *schema.KeysRequest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.service(q.Service)
	switch {
	case q.Moving:
		s.begin(now, q)
		return
	case q.Epoch == 0:
		s.moving = slices.DeleteFunc(s.moving, func(m moving) bool { return overlaps(q.Ranges, m) })
		s.notify()
		return
	case q.Epoch <= s.epoch || len(s.ahead) >= maxAhead:
		return
	}
	if s.ahead == nil {
		s.ahead = map[uint64]Ranges{}
	}
	s.ahead[q.Epoch] = q.Ranges
	s.settle()
}

// begin starts the moves of ranges that still have the owners that are named in the
// announcement: with an earlier epoch, they may have moved since.
func (s *owners) begin(now clock.Time, q *schema.KeysRequest) {
	s.moving = slices.DeleteFunc(s.moving, func(m moving) bool { return now >= m.until })
	for _, r := range q.Ranges {
		if o := s.ranges.Find(r.From); q.Epoch == s.epoch || o != nil && o.Target == r.Target && o.Born == r.Born {
			s.moving = append(s.moving, moving{o, r.From, r.To, now.Add(movingTimeout)})
		}
	}
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
