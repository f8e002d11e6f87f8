package peer

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"dandelionrock.example/dandelionrock/schema"
)

// Defaults of the fields of Config.
const (
	// DefaultSuspectAfter is four heartbeat intervals of 100 ms.
	DefaultSuspectAfter = 400 * time.Millisecond
	// DefaultForgetAfter keeps a lost instance in the status long enough for an
	// operator to see it.
	DefaultForgetAfter = 30 * time.Second
)

// Config is the configuration of a Detector.
type Config struct {
	// Self is the instance that the detector runs on. It is live until Leave.
	Self Instance
	// SuspectAfter is the time without a heartbeat after which an instance
	// becomes Suspect; 0 means DefaultSuspectAfter.
	SuspectAfter time.Duration
	// MaxGap is the longest time between two calls of Tick that doesn't count
	// as a pause of this process; 0 means half of SuspectAfter. The sum of the
	// heartbeat interval, the delay of a heartbeat and MaxGap must be less than
	// SuspectAfter, or a pause just below MaxGap can cause a false suspicion.
	MaxGap time.Duration
	// ForgetAfter is the time without a heartbeat after which a suspect becomes
	// Gone, and the time after which an instance that is Gone is dropped if it
	// was not listed or expected meanwhile; 0 means DefaultForgetAfter.
	ForgetAfter time.Duration
}

// maxExpected is the largest number of expected runs that are kept for each
// instance. Home rows name the current run and perhaps one or two earlier ones.
const maxExpected = 8

// Listing is an entry of the list of instances that RecordList takes.
type Listing struct {
	ID         string
	RPCAddress string
	// Leaving reports whether the list shows the instance as leaving.
	Leaving bool
}

// Detector tracks the states of the instances. It is safe for concurrent use.
// Create one with New, and call Tick at intervals well below MaxGap.
type Detector struct {
	lock sync.Mutex
	conf Config
	// records holds the other instances by ID.
	records map[string]*record
	// lastTick is the time of the last Tick or of the end of the last pause; 0
	// before the first Tick.
	lastTick   Time
	generation uint64
	pauses     int
	changes    []Change
}

// record holds the state of one other instance.
type record struct {
	Instance
	// silentSince is when the time without a heartbeat began to count: at the
	// last heartbeat, when the record was created, or at the end of a pause.
	silentSince Time
	// clock is the highest hybrid logical clock received in this incarnation.
	clock uint64
	// leaving reports whether the last heartbeat said that the instance is
	// leaving.
	leaving bool
	// unlisted reports whether the last list, if it arrived after the last
	// heartbeat, lacks the instance or shows it as leaving.
	unlisted bool
	// lastMentioned is when the instance was last listed or expected.
	lastMentioned Time
	// expected holds the time of the first call of Expect for each incarnation,
	// or the end of a later pause; it has at most maxExpected entries.
	expected map[string]Time
}

// New returns a detector that knows only the instance c.Self.
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
	return &Detector{conf: c, records: map[string]*record{}}
}

// RecordHeartbeat records a heartbeat, or the sender's description of itself in a
// reply to one. While the current incarnation of the sender is live or leaving, a
// delayed message of an earlier one is ignored: its clock is lower.
func (d *Detector) RecordHeartbeat(now Time, m *schema.HeartbeatRequest) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if m.GetInstanceId() == "" || m.GetInstanceId() == d.conf.Self.ID {
		return
	}
	d.detectPause(now)
	r := d.ensureRecord(now, m.GetInstanceId())
	restarted, known := r.Incarnation != m.GetIncarnation(), r.Incarnation != ""
	if restarted && r.alive() && m.GetClock() < r.clock {
		return
	}
	if restarted || m.GetClock() >= r.clock {
		r.update(m)
	}
	r.LastHeartbeat, r.silentSince, r.unlisted = now, now, false
	d.setState(now, r, r.reportedState(), restarted && known)
}

// RecordList records a list of instances. The list may be outdated, so it makes no
// instance Live, and no Live instance Suspect. It adds instances that are not
// known yet, unless it shows them as leaving. An instance whose heartbeats have
// stopped becomes Gone instead of Suspect if the last list lacks it or shows it as
// leaving.
func (d *Detector) RecordList(now Time, list []Listing) {
	d.lock.Lock()
	defer d.lock.Unlock()
	listed := map[string]bool{}
	for _, l := range list {
		listed[l.ID] = !l.Leaving
		if l.ID == "" || l.ID == d.conf.Self.ID || l.Leaving && d.records[l.ID] == nil {
			continue
		}
		r := d.ensureRecord(now, l.ID)
		r.lastMentioned = now
		if r.Incarnation == "" {
			r.RPCAddress = l.RPCAddress
		}
	}
	for id, r := range d.records {
		r.unlisted = !listed[id]
	}
}

// Expect records that a run of an instance should be alive, such as the one that a
// home row names. If no heartbeat of the run arrives within SuspectAfter, Runs
// reports that it isn't alive. Further calls for the same run don't extend that
// time.
func (d *Detector) Expect(now Time, id, incarnation string) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if id == "" || id == d.conf.Self.ID {
		return
	}
	r := d.ensureRecord(now, id)
	r.lastMentioned = now
	if _, ok := r.expected[incarnation]; ok {
		return
	}
	if len(r.expected) >= maxExpected {
		delete(r.expected, r.oldestExpected())
	}
	r.expected[incarnation] = now
}

// Tick updates the states of the instances to the time now and returns the changes
// since the last call, in the order in which they occurred. If more than MaxGap has
// passed since the last call, this process was paused and could receive no
// heartbeats: SuspectAfter then starts anew for each instance that was neither
// Suspect nor Gone.
func (d *Detector) Tick(now Time) []Change {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.detectPause(now)
	d.lastTick = max(d.lastTick, now)
	for _, id := range slices.Sorted(maps.Keys(d.records)) {
		d.checkSilence(now, d.records[id])
	}
	c := d.changes
	d.changes = nil
	return c
}

// Leave marks the instance Config.Self as leaving.
func (d *Detector) Leave(now Time) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.conf.Self.State != Leaving {
		d.conf.Self.State, d.conf.Self.Since = Leaving, now
		d.generation++
	}
}

// detectPause restarts the suspicion times if this process was paused since the
// last Tick. RecordHeartbeat and Runs call it as well, because they may be called
// before the first Tick after a pause. The caller holds d.lock.
func (d *Detector) detectPause(now Time) {
	if d.lastTick == 0 || now.Sub(d.lastTick) <= d.conf.MaxGap {
		return
	}
	before := d.lastTick
	d.pauses++
	d.lastTick = now
	for _, r := range d.records {
		if r.State != Suspect && r.State != Gone {
			r.silentSince = max(r.silentSince, now)
		}
		for k, t := range r.expected {
			if before.Sub(t) <= d.conf.SuspectAfter {
				r.expected[k] = now
			}
		}
	}
}

// ensureRecord returns the record of an instance and creates it if necessary. The
// caller holds d.lock.
func (d *Detector) ensureRecord(now Time, id string) *record {
	r := d.records[id]
	if r == nil {
		r = &record{Instance: Instance{ID: id, Since: now}, silentSince: now, expected: map[string]Time{}}
		d.records[id] = r
		d.generation++
	}
	return r
}

// checkSilence changes the state of an instance whose heartbeats have stopped, and
// drops one that has been Gone for long enough. The caller holds d.lock.
func (d *Detector) checkSilence(now Time, r *record) {
	q := now.Sub(r.silentSince)
	switch {
	case r.State == Gone:
		// An instance that is still listed or expected is kept: if dropped, it
		// would be added again as Unknown.
		if now.Sub(max(r.Since, r.lastMentioned)) > d.conf.ForgetAfter {
			delete(d.records, r.ID)
			d.generation++
		}
	case q <= d.conf.SuspectAfter:
	case r.leaving, r.unlisted, q > d.conf.ForgetAfter:
		d.setState(now, r, Gone, false)
	default:
		d.setState(now, r, Suspect, false)
	}
}

// setState sets the state of an instance and records the change, if the state or
// the incarnation has changed. The caller holds d.lock.
func (d *Detector) setState(now Time, r *record, s State, restarted bool) {
	if r.State == s && !restarted {
		return
	}
	b := r.State
	r.State, r.Since = s, now
	d.generation++
	d.changes = append(d.changes, Change{r.Instance, b, restarted})
}

// oldestExpected returns the incarnation in expected with the earliest time.
func (r *record) oldestExpected() string {
	return slices.MinFunc(slices.Collect(maps.Keys(r.expected)), func(a, b string) int {
		return cmp.Compare(r.expected[a], r.expected[b])
	})
}

func (r *record) alive() bool { return r.State == Live || r.State == Leaving }

// reportedState returns the state according to the last heartbeat.
func (r *record) reportedState() State {
	if r.leaving {
		return Leaving
	}
	return Live
}

// update copies the fields of a heartbeat.
func (r *record) update(m *schema.HeartbeatRequest) {
	r.Incarnation, r.clock, r.leaving = m.GetIncarnation(), m.GetClock(), m.GetLeaving()
	r.Region, r.FailureDomain = m.GetRegion(), m.GetFailureDomain()
	r.RPCAddress, r.HTTPAddress = m.GetRpcAddress(), m.GetHttpAddress()
	r.Digest, r.ConfigVersions = m.GetDigest(), m.GetConfigVersions()
}
