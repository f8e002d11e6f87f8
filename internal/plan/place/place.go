// Package place chooses the failure domain to which a request is sent. It performs
// no I/O.
package place

import (
	"sync"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/plan/pool"
)

// Distance classifies how far away a failure domain is.
type Distance int

// Distances: the same failure domain, the same region, or another region.
const (
	Same Distance = iota
	Region
	Far
)

// regionPenalty is the additional wait that is accepted before a request goes to another
// failure domain of its region.
const regionPenalty = 15 * time.Millisecond

// farPenalty is the additional wait that is accepted before a request goes to another
// region, once for its headers and response and once for each penaltyBytes of its body.
// Traffic between regions is charged.
const (
	farPenalty   = 120 * time.Millisecond
	penaltyBytes = 4 << 10
)

// Request holds the properties of a request that the choice depends on.
type Request struct {
	// Objective is when its response becomes late, Deadline when it must have ended.
	Objective, Deadline clock.Time
	// Body is the length of its body in bytes.
	Body int
}

// penalty returns the additional wait that is accepted before the request goes to a
// domain at a distance, given the mean service time in its own region. A response in time
// gains nothing from a shorter wait, so that up to half of the time to spare is spent on
// staying in the region; the rest allows for wrong estimates.
func (r Request) penalty(now clock.Time, d Distance, mean time.Duration) time.Duration {
	switch d {
	case Same:
		return 0
	case Region:
		return regionPenalty
	}
	spare := r.Objective.Sub(now) - mean
	return max(farPenalty*time.Duration(1+r.Body/penaltyBytes), spare/2)
}

// maxLoadAge is the age from which a reported load is ignored.
const maxLoadAge = 1500 * time.Millisecond

// Candidate is a failure domain with targets of a service.
type Candidate struct {
	Service, Domain string
	Distance        Distance
	// Slots is the total number of slots of its targets.
	Slots int
}

// groupID identifies a group.
type groupID struct{ service, domain string }

// record is the known load of a group.
type record struct {
	// load was reported at at; at is 0 if no load was reported.
	load pool.Load
	at   clock.Time
	// sent counts the requests in flight from this instance.
	sent int
}

// Loads holds the known load of each group. The zero value is empty. It is safe for
// concurrent use.
type Loads struct {
	mu     sync.Mutex
	groups map[groupID]*record
}

func (l *Loads) record(k groupID) *record {
	if l.groups == nil {
		l.groups = map[groupID]*record{}
	}
	r := l.groups[k]
	if r == nil {
		r = &record{}
		l.groups[k] = r
	}
	return r
}

// Begin records a request sent to a group.
func (l *Loads) Begin(service, domain string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record(groupID{service, domain}).sent++
}

// End records the end of a request, with the load that the reply reported or nil.
func (l *Loads) End(now clock.Time, service, domain string, load *pool.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.record(groupID{service, domain})
	r.sent--
	if load != nil {
		r.load, r.at = *load, now
	}
}

// Choose returns the candidate with the lowest sum of expected wait and distance penalty
// for a request, and false if there are no candidates. Candidates that are not expected to
// end the request before its deadline come last.
func (l *Loads) Choose(now clock.Time, r Request, cs []Candidate) (Candidate, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var best Candidate
	var bestCost time.Duration
	found := false
	near := l.longestMean(cs)
	for _, c := range cs {
		wait, mean := l.expectedWait(now, c)
		cost := wait + r.penalty(now, c.Distance, near)
		if now.Add(wait+mean) > r.Deadline {
			cost += tooLate
		}
		if !found || cost < bestCost {
			best, bestCost, found = c, cost, true
		}
	}
	return best, found
}

// longestMean returns the longest mean service time of the candidates in the own region,
// 0 if none is known.
func (l *Loads) longestMean(cs []Candidate) time.Duration {
	var d time.Duration
	for _, c := range cs {
		if r := l.groups[groupID{c.Service, c.Domain}]; r != nil && c.Distance != Far {
			d = max(d, r.load.Mean)
		}
	}
	return d
}

// tooLate is more than any wait that is accepted.
const tooLate = 24 * time.Hour

// expectedWait returns the expected wait at a candidate: the longer of the wait
// caused by this instance's own requests and the last reported one, which counts
// less the older it is. It also returns the mean service time, 0 if that is not known.
func (l *Loads) expectedWait(now clock.Time, c Candidate) (wait, mean time.Duration) {
	r := l.groups[groupID{c.Service, c.Domain}]
	if r == nil {
		return 0, 0
	}
	own := r.load
	own.Slots, own.Running, own.Waiting, own.Wait = c.Slots, r.sent, 0, 0
	wait = own.Backlog()
	if age := now.Sub(r.at); age < maxLoadAge && r.at != 0 {
		reported := time.Duration(float64(r.load.Backlog()) * (1 - float64(age)/float64(maxLoadAge)))
		wait = max(wait, reported)
	}
	return wait, r.load.Mean
}
