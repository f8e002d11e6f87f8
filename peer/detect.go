package peer

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"dandelionrock.example/dandelionrock/schema"
)

// Defaults of Config.
const (
	// DefaultSuspectAfter is four heartbeat intervals of 100 ms.
	DefaultSuspectAfter = 400 * time.Millisecond
	// DefaultForgetAfter keeps a lost instance listed for an operator's look at
	// the status.
	DefaultForgetAfter = 30 * time.Second
)

// Config configures a detector.
type Config struct {
	// Self is the own instance; it counts as live until Leave.
	Self Instance
	// SuspectAfter is the time without a heartbeat after which an instance is
	// suspect; 0 means DefaultSuspectAfter.
	SuspectAfter time.Duration
	// MaxGap is the longest time between two calls of Tick that doesn't count
	// as a pause of the own process; 0 means half of SuspectAfter. The
	// heartbeat interval, the delay of a heartbeat and MaxGap together must be
	// shorter than SuspectAfter, or a pause just below MaxGap can cause a false
	// suspicion.
	MaxGap time.Duration
	// ForgetAfter is the time without a heartbeat after which a suspect is
	// gone, and after which an instance that is gone is dropped; 0 means
	// DefaultForgetAfter.
	ForgetAfter time.Duration
}

// maxExpected bounds the runs that are remembered as expected for each
// instance. Home rows name the present run and perhaps one or two before it.
const maxExpected = 8

// Listing is an entry of a list of instances.
type Listing struct {
	ID         string
	RPCAddress string
	Leaving    bool
}

// Detector tells the states of the instances. It is safe for concurrent use.
// Use New, and call Tick at intervals well below MaxGap.
type Detector struct {
	lock sync.Mutex
	conf Config
	all  map[string]*record
	// ticked is the time of the last Tick; 0 before the first one.
	ticked     Time
	generation uint64
	pauses     int
	changes    []Change
}

// record is what is known of one other instance.
type record struct {
	Instance
	// quiet is when the time without a heartbeat began to count: at the last
	// heartbeat, at the first mention, or at the end of a pause.
	quiet Time
	// clock is the highest hybrid logical clock heard in this incarnation.
	clock   uint64
	leaving bool
	// unlisted tells that a list received since the last heartbeat lacks the
	// instance or states that it is leaving.
	unlisted bool
	// mentioned is when the instance was last listed or expected.
	mentioned Time
	// expected holds when each run was expected first; at most maxExpected.
	expected map[string]Time
}

// New returns a detector that knows only its own instance.
func New(c Config) *Detector {
	if c.SuspectAfter <= 0 {
		c.SuspectAfter = DefaultSuspectAfter
	}
	if c.MaxGap <= 0 {
		c.MaxGap = c.SuspectAfter / 2
	}
	if c.ForgetAfter <= 0 {
		c.ForgetAfter = DefaultForgetAfter
	}
	c.Self.State = Live
	return &Detector{conf: c, all: map[string]*record{}}
}

// RecordHeartbeat takes a heartbeat, or the sender's part of a reply to one. A delayed
// message of an earlier incarnation is ignored: its clock lies behind that of
// the present incarnation, which is still being heard.
func (d *Detector) RecordHeartbeat(now Time, m *schema.HeartbeatRequest) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if m.GetInstanceId() == "" || m.GetInstanceId() == d.conf.Self.ID {
		return
	}
	d.awake(now)
	r := d.record(now, m.GetInstanceId())
	other, known := r.Incarnation != m.GetIncarnation(), r.Incarnation != ""
	if other && r.alive() && m.GetClock() < r.clock {
		return
	}
	if other || m.GetClock() >= r.clock {
		r.update(m)
	}
	r.LastHeartbeat, r.quiet, r.unlisted = now, now, false
	d.enter(now, r, r.heardState(), other && known)
}

// RecordList takes a list of instances. The list may lag, so it is only a hint: it
// makes no instance live and no live instance suspect. It introduces instances
// that were never heard, and a suspect that it lacks is gone.
func (d *Detector) RecordList(now Time, list []Listing) {
	d.lock.Lock()
	defer d.lock.Unlock()
	listed := map[string]bool{}
	for _, l := range list {
		listed[l.ID] = !l.Leaving
		if l.ID == "" || l.ID == d.conf.Self.ID || l.Leaving && d.all[l.ID] == nil {
			continue
		}
		r := d.record(now, l.ID)
		r.mentioned = now
		if r.Incarnation == "" {
			r.RPCAddress = l.RPCAddress
		}
	}
	for id, r := range d.all {
		r.unlisted = !listed[id]
	}
}

// Expect introduces a run of an instance that should be alive, such as the one
// that a home row names. If it is not heard within the suspicion time, it
// doesn't run. It may be called repeatedly for the same run.
func (d *Detector) Expect(now Time, id, incarnation string) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if id == "" || id == d.conf.Self.ID {
		return
	}
	r := d.record(now, id)
	r.mentioned = now
	if _, ok := r.expected[incarnation]; ok {
		return
	}
	if len(r.expected) >= maxExpected {
		delete(r.expected, r.oldest())
	}
	r.expected[incarnation] = now
}

// Tick lets time pass and returns the changes since the last Tick, sorted by
// time. A longer gap than MaxGap since the last Tick means that the own
// process was paused and could hear nobody: every instance that was not
// suspect then gets a fresh period.
func (d *Detector) Tick(now Time) []Change {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.awake(now)
	d.ticked = max(d.ticked, now)
	for _, id := range slices.Sorted(maps.Keys(d.all)) {
		d.age(now, d.all[id])
	}
	c := d.changes
	d.changes = nil
	return c
}

// Leave marks the own instance as leaving.
func (d *Detector) Leave(now Time) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.conf.Self.State != Leaving {
		d.conf.Self.State, d.conf.Self.Since = Leaving, now
		d.generation++
	}
}

// awake grants a fresh period after a pause of the own process. Heard calls it
// too, because heartbeats may be handled before the first Tick after a pause.
func (d *Detector) awake(now Time) {
	if d.ticked == 0 || now.Sub(d.ticked) <= d.conf.MaxGap {
		return
	}
	slept := d.ticked
	d.pauses++
	d.ticked = now
	for _, r := range d.all {
		if r.State != Suspect && r.State != Gone {
			r.quiet = max(r.quiet, now)
		}
		for k, t := range r.expected {
			if slept.Sub(t) <= d.conf.SuspectAfter {
				r.expected[k] = now
			}
		}
	}
}

// record returns the record of an instance, which is made if need be.
func (d *Detector) record(now Time, id string) *record {
	r := d.all[id]
	if r == nil {
		r = &record{Instance: Instance{ID: id, Since: now}, quiet: now, expected: map[string]Time{}}
		d.all[id] = r
		d.generation++
	}
	return r
}

// age moves an instance on that was not heard.
func (d *Detector) age(now Time, r *record) {
	q := now.Sub(r.quiet)
	switch {
	case r.State == Gone:
		// While it is mentioned, dropping it would only bring it back as
		// unknown.
		if now.Sub(max(r.Since, r.mentioned)) > d.conf.ForgetAfter {
			delete(d.all, r.ID)
			d.generation++
		}
	case q <= d.conf.SuspectAfter:
	case r.leaving, r.unlisted, q > d.conf.ForgetAfter:
		d.enter(now, r, Gone, false)
	default:
		d.enter(now, r, Suspect, false)
	}
}

// enter records a change of state or incarnation.
func (d *Detector) enter(now Time, r *record, s State, restarted bool) {
	if r.State == s && !restarted {
		return
	}
	b := r.State
	r.State, r.Since = s, now
	d.generation++
	d.changes = append(d.changes, Change{r.Instance, b, restarted})
}

// oldest returns the run that was expected first.
func (r *record) oldest() string {
	return slices.MinFunc(slices.Collect(maps.Keys(r.expected)), func(a, b string) int {
		return cmp.Compare(r.expected[a], r.expected[b])
	})
}

func (r *record) alive() bool { return r.State == Live || r.State == Leaving }

func (r *record) heardState() State {
	if r.leaving {
		return Leaving
	}
	return Live
}

func (r *record) update(m *schema.HeartbeatRequest) {
	r.Incarnation, r.clock, r.leaving = m.GetIncarnation(), m.GetClock(), m.GetLeaving()
	r.Region, r.FailureDomain = m.GetRegion(), m.GetFailureDomain()
	r.RPCAddress, r.HTTPAddress = m.GetRpcAddress(), m.GetHttpAddress()
	r.Digest, r.ConfigVersions = m.GetDigest(), m.GetConfigVersions()
}
