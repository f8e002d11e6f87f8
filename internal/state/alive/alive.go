// Package alive tells which instances of the directory answer. Instances that
// fail a call are suspected until a later call succeeds.
package alive

import (
	"sync"

	"dandelionrock.example/dandelionrock/internal/state/view"
	"dandelionrock.example/dandelionrock/peer"
)

// Set holds the suspected instances. Use New. It is safe for concurrent use.
type Set struct {
	self string

	mu sync.Mutex
	// suspects maps ids to the incarnations that failed.
	suspects   map[string]string
	generation uint64
	ranks      map[string]rank
}

type rank struct {
	directory, suspects uint64
	order               []peer.Instance
}

// New returns a set without suspects; the instance itself is never suspected.
func New(self string) *Set {
	return &Set{self: self, suspects: map[string]string{}, ranks: map[string]rank{}}
}

// Suspect reports that a call to an instance failed. It returns whether the
// instance was not suspected before.
func (s *Set) Suspect(i peer.Instance) bool {
	if i.ID == s.self {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if n, ok := s.suspects[i.ID]; ok && n == i.Incarnation {
		return false
	}
	s.suspects[i.ID] = i.Incarnation
	s.generation++
	return true
}

// Clear reports that an instance answered. It returns whether it was suspected.
func (s *Set) Clear(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.suspects[id]; !ok {
		return false
	}
	delete(s.suspects, id)
	s.generation++
	return true
}

// Suspected reports whether this run of an instance is suspected.
func (s *Set) Suspected(i peer.Instance) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, ok := s.suspects[i.ID]
	return ok && n == i.Incarnation
}

// Suspects returns the suspected instances of the directory.
func (s *Set) Suspects(v *view.View) []peer.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	var r []peer.Instance
	for _, i := range v.Instances {
		if n, ok := s.suspects[i.ID]; ok && n == i.Incarnation {
			r = append(r, i)
		}
	}
	return r
}

// Nearest returns the instances that are not suspected in the order in which
// they serve the named target at a place. The result must not be changed.
func (s *Set) Nearest(v *view.View, name string, at peer.Place) []peer.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.ranks[name]; ok && r.directory == v.Generation && r.suspects == s.generation {
		return r.order
	}
	live := make([]peer.Instance, 0, len(v.Instances))
	for _, i := range v.Instances {
		if n, ok := s.suspects[i.ID]; !ok || n != i.Incarnation {
			live = append(live, i)
		}
	}
	r := rank{v.Generation, s.generation, peer.Nearest(name, at, live)}
	s.ranks[name] = r
	return r.order
}
