// Package realm restricts requests to the regions in which they may run and in which
// their bodies may be held. It performs no I/O.
//
// A value of type Permitted can't be made without a check, so that a function that takes
// one can't be called with a target or an instance outside of the realm.
package realm

import (
	"slices"
)

// Realm is a set of regions. The zero value holds all of them, also unknown ones.
type Realm struct {
	bounded bool
	// regions is used only if bounded is set.
	regions []string
}

// Of returns the regions that all limits contain. A limit without regions is none.
func Of(limits ...[]string) Realm {
	var r Realm
	for _, l := range limits {
		switch {
		case len(l) == 0:
		case r.bounded:
			r.regions = slices.DeleteFunc(r.regions, func(v string) bool { return !slices.Contains(l, v) })
		default:
			r = Realm{bounded: true, regions: slices.Clone(l)}
		}
	}
	return r
}

// Bounded reports whether there are regions outside of the realm.
func (r Realm) Bounded() bool { return r.bounded }

// Holds reports whether a region belongs to the realm. The region of a place that is not
// known is "", which belongs to no bounded realm.
func (r Realm) Holds(region string) bool { return !r.bounded || slices.Contains(r.regions, region) }

// Permitted is a value that lies in the realm that it was checked against.
type Permitted[T any] struct{ value T }

// Value returns the value that was checked.
func (p Permitted[T]) Value() T { return p.value }

// Admit returns a value in a region as permitted, or false if the realm doesn't hold the
// region.
func Admit[T any](r Realm, v T, region string) (Permitted[T], bool) {
	if !r.Holds(region) {
		return Permitted[T]{}, false
	}
	return Permitted[T]{v}, true
}

// Reached returns the instance that a client has reached as permitted: it may hold the
// body of a request in any region.
func Reached[T any](instance T) Permitted[T] { return Permitted[T]{instance} }

// Prefer returns those of the candidates whose regions the realm holds, or all of them if
// there are none. It is for owners of keys: an owner outside of the realm refuses the
// requests that are bound to it, but serves others.
func Prefer[T any](r Realm, candidates []T, region func(T) string) []T {
	if !r.bounded {
		return candidates
	}
	in := slices.DeleteFunc(slices.Clone(candidates), func(c T) bool { return !r.Holds(region(c)) })
	if len(in) == 0 {
		return candidates
	}
	return in
}
