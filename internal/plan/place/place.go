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

// distancePenalty is the additional wait that is accepted before a request goes to
// a more distant domain. Traffic between failure domains is charged, traffic between
// regions about eight times as much, and a request that still ends in time gains
// nothing from a shorter wait.
var distancePenalty = [...]time.Duration{Same: 0, Region: 15 * time.Millisecond, Far: 120 * time.Millisecond}

// largeBody is the length in bytes from which the body of a request outweighs all else that
// it sends over the border of a region.
const largeBody = 16 << 10

// Request holds the properties of a request that its place depends on.
type Request struct {
	// Body is the length of its body in bytes.
	Body int
	// Left is the time that is left of its latency objective.
	Left time.Duration
}

// penalty returns the additional wait that is accepted before a request with the given
// mean service time goes to a place at a distance. One with a large body stays in its region
// for half of the time that it has to spare.
func (r Request) penalty(d Distance, mean time.Duration) time.Duration {
	p := distancePenalty[d]
	if d == Far && r.Body >= largeBody {
		p = max(p, (r.Left-mean)/2)
	}
	return p
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

// Choose returns the candidate with the lowest sum of expected wait and distance
// penalty, and false if there are no candidates.
func (l *Loads) Choose(now clock.Time, r Request, cs []Candidate) (Candidate, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var best Candidate
	var bestCost time.Duration
	found := false
	for _, c := range cs {
		wait, mean := l.expectedWait(now, c)
		cost := wait + r.penalty(c.Distance, mean)
		if !found || cost < bestCost {
			best, bestCost, found = c, cost, true
		}
	}
	return best, found
}

// expectedWait returns the expected wait at a candidate and the mean service time there.
// The wait is the longer of the wait
// caused by this instance's own requests and the last reported one, which counts
// less the older it is.
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
	return wait, own.Mean
}
