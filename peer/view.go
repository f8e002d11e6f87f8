package peer

import (
	"maps"
	"slices"
	"strings"
)

// Instances returns all known instances, including Config.Self, sorted by ID.
func (d *Detector) Instances() []Instance {
	return d.filter(func(Instance) bool { return true })
}

// Live returns the instances whose state is Live, sorted by ID. Config.Self is
// among them until Leave.
func (d *Detector) Live() []Instance {
	return d.filter(func(i Instance) bool { return i.State == Live })
}

// Instance returns the instance with the given ID, and whether it is known.
func (d *Detector) Instance(id string) (Instance, bool) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if id == d.conf.Self.ID {
		return d.conf.Self, true
	}
	r, ok := d.records[id]
	if !ok {
		return Instance{ID: id}, false
	}
	return r.Instance, true
}

// Runs reports whether the given run of an instance counts as alive. A home whose
// holder doesn't run may be taken over.
//
// A run counts as alive while its heartbeats arrive, also if they say that it is
// leaving, and no run does while the instance is Suspect or Gone. While heartbeats
// of another run arrive, it counts as alive until SuspectAfter has passed since the
// first call of Expect for it, or without limit if there was no such call. Each run
// of an instance that is Unknown, or not known at all, counts as alive.
func (d *Detector) Runs(now Time, id, incarnation string) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	if id == d.conf.Self.ID {
		return incarnation == d.conf.Self.Incarnation
	}
	d.detectPause(now)
	r, ok := d.records[id]
	if !ok || r.State == Unknown {
		return true
	}
	if !r.alive() || r.Incarnation == incarnation {
		return r.alive()
	}
	// The heartbeats are of another run. A home row may name a run that has just
	// started before its first heartbeat arrives.
	t, ok := r.expected[incarnation]
	return !ok || now.Sub(t) <= d.conf.SuspectAfter
}

// Answer returns this detector's answer to another instance that suspects the
// instance with the given ID. See Confirmed.
func (d *Detector) Answer(id string) Answer {
	i, _ := d.Instance(id)
	return Answer{i.State == Live || i.State == Leaving, i.Incarnation}
}

// Generation returns a number that grows with each change of the known instances
// or of their states.
func (d *Detector) Generation() uint64 {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.generation
}

// Pauses returns the number of pauses of this process that were detected.
func (d *Detector) Pauses() int {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.pauses
}

// filter returns the instances for which f returns true, sorted by ID.
func (d *Detector) filter(f func(Instance) bool) []Instance {
	d.lock.Lock()
	defer d.lock.Unlock()
	var r []Instance
	if f(d.conf.Self) {
		r = append(r, d.conf.Self)
	}
	for _, id := range slices.Sorted(maps.Keys(d.records)) {
		if i := d.records[id].Instance; f(i) {
			r = append(r, i)
		}
	}
	slices.SortFunc(r, func(a, b Instance) int { return strings.Compare(a.ID, b.ID) })
	return r
}
