package peer

import (
	"maps"
	"slices"
	"strings"
)

// Instances returns all known instances and the own one, sorted by id.
func (d *Detector) Instances() []Instance {
	return d.filter(func(Instance) bool { return true })
}

// Live returns the live instances, sorted by id. The own one is among them
// until Leave.
func (d *Detector) Live() []Instance {
	return d.filter(func(i Instance) bool { return i.State == Live })
}

// Instance returns what is known of an instance.
func (d *Detector) Instance(id string) (Instance, bool) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if id == d.conf.Self.ID {
		return d.conf.Self, true
	}
	r, ok := d.all[id]
	if !ok {
		return Instance{ID: id}, false
	}
	return r.Instance, true
}

// Runs tells whether the given run of an instance counts as alive. It does
// while its heartbeats are heard, also while it is leaving, and until the
// suspicion time after the first call of Expect for it has passed. A home
// whose holder doesn't run may be taken over.
func (d *Detector) Runs(now Time, id, incarnation string) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	if id == d.conf.Self.ID {
		return incarnation == d.conf.Self.Incarnation
	}
	d.awake(now)
	r, ok := d.all[id]
	if !ok || r.State == Unknown {
		return true
	}
	if !r.alive() || r.Incarnation == incarnation {
		return r.alive()
	}
	// Another run is heard. A run that has just started may be named by a row
	// before its first heartbeat arrives.
	t, ok := r.expected[incarnation]
	return !ok || now.Sub(t) <= d.conf.SuspectAfter
}

// Answer returns the answer to an instance that asks about a suspect.
func (d *Detector) Answer(id string) Answer {
	i, _ := d.Instance(id)
	return Answer{i.State == Live || i.State == Leaving, i.Incarnation}
}

// Generation grows with each change of the known instances or their states.
func (d *Detector) Generation() uint64 {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.generation
}

// Pauses returns the number of pauses of the own process that Tick noticed.
func (d *Detector) Pauses() int {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.pauses
}

func (d *Detector) filter(f func(Instance) bool) []Instance {
	d.lock.Lock()
	defer d.lock.Unlock()
	var r []Instance
	if f(d.conf.Self) {
		r = append(r, d.conf.Self)
	}
	for _, id := range slices.Sorted(maps.Keys(d.all)) {
		if i := d.all[id].Instance; f(i) {
			r = append(r, i)
		}
	}
	slices.SortFunc(r, func(a, b Instance) int { return strings.Compare(a.ID, b.ID) })
	return r
}
