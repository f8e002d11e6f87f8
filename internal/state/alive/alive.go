// Package alive tracks which instances of the directory answer. An instance is
// suspected after a failed call, until a later call succeeds or it restarts.
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
	suspects map[string]string
	// generation counts the changes of suspects.
	generation uint64
	// orderings caches the results of Nearest by name.
	orderings map[string]ordering
	firsts    firsts
}

// firsts caches for which names the own instance comes first, valid for the generations of
// the directory and of the suspects. It takes less memory than the orderings, which are for
// the names that are used.
type firsts struct {
	directory, suspects uint64
	live                []peer.Instance
	// domains holds the failure domains of live.
	domains map[string]bool
	first   map[string]bool
}

// ordering is a result of Nearest, valid for the generations of the directory and
// of the suspects.
type ordering struct {
	directory, suspects uint64
	order               []peer.Instance
}

// New returns a set without suspects. The instance with the id self is never
// suspected.
func New(self string) *Set {
	return &Set{self: self, suspects: map[string]string{}, orderings: map[string]ordering{}}
}

// Suspect records that a call to an instance failed. It reports whether the
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

// Clear records that an instance answered. It reports whether the instance was
// suspected.
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

// Suspected reports whether this incarnation of an instance is suspected.
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

// Nearest returns the instances that are not suspected in the order of peer.Nearest
// for a name and a place. A name must always be used with the same place. The result
// must not be modified.
func (s *Set) Nearest(v *view.View, name string, at peer.Place) []peer.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.orderings[name]; ok && r.directory == v.Generation && r.suspects == s.generation {
		return r.order
	}
	r := ordering{v.Generation, s.generation, peer.Nearest(name, at, s.live(v))}
	s.orderings[name] = r
	return r.order
}

// IsFirst reports whether this instance is the first one that Nearest returns. It is for
// many names.
func (s *Set) IsFirst(v *view.View, name string, at peer.Place) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := &s.firsts
	if f.first == nil || f.directory != v.Generation || f.suspects != s.generation {
		*f = firsts{v.Generation, s.generation, s.live(v), map[string]bool{}, map[string]bool{}}
		for _, i := range f.live {
			f.domains[i.FailureDomain] = true
		}
	}
	first, ok := f.first[name]
	if !ok {
		first = s.comesFirst(v, name, at)
		f.first[name] = first
	}
	return first
}

// comesFirst is IsFirst without the cache. The caller holds mu.
func (s *Set) comesFirst(v *view.View, name string, at peer.Place) bool {
	if self, ok := v.Instance(s.self); !ok || self.FailureDomain != at.FailureDomain && s.firsts.domains[at.FailureDomain] {
		return false
	}
	i, ok := peer.First(name, at, s.firsts.live)
	return ok && i.ID == s.self
}

// live returns the instances of the directory that are not suspected. The caller holds mu.
func (s *Set) live(v *view.View) []peer.Instance {
	live := make([]peer.Instance, 0, len(v.Instances))
	for _, i := range v.Instances {
		if n, ok := s.suspects[i.ID]; !ok || n != i.Incarnation {
			live = append(live, i)
		}
	}
	return live
}
