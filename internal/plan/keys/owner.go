package keys

import (
	"slices"
	"sync"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/schema"
)

// moveTime bounds how long keys count as moving without news of the move.
const moveTime = 2 * time.Second

// Owners holds the owners of the keys of all services, as an instance that
// sends requests believes them. The zero value knows none. It is safe for
// concurrent use.
type Owners struct {
	mu       sync.RWMutex
	services map[string]*owners
}

type owners struct {
	epoch  uint64
	ranges Ranges
	moving []moving
	// changed is closed and replaced at each change.
	changed chan struct{}
}

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

// Adopt takes over the assignment of a whole service, unless a newer one is
// known.
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

// Update takes over news from the keeper of a service. Ranges of the known
// epoch that don't move have stayed with their owners. Changes that don't follow
// on the known assignment are left to Adopt.
func (o *Owners) Update(now clock.Time, q *schema.KeysRequest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.service(q.Service)
	switch {
	case q.Moving && q.Epoch == s.epoch:
		for _, r := range q.Ranges {
			s.moving = append(s.moving, moving{r.From, r.To, now.Add(moveTime)})
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

// overlaps reports whether any of the ranges has keys that count as moving.
func overlaps(rs []*schema.KeyRange, m moving) bool {
	return slices.ContainsFunc(rs, func(r *schema.KeyRange) bool { return r.From <= m.to && m.from <= r.To })
}

// Find returns the range of a key, or nil if it has no owner or is moving, and
// a channel that is closed when the assignment changes.
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
