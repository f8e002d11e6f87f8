// Package place chooses the failure domain whose targets get a request. It does
// no input or output.
package place

import (
	"sync"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/plan/pool"
)

// Distance is how far away a failure domain is.
type Distance int

// Distances.
const (
	Same Distance = iota
	Region
	Far
)

// penalty is the wait that is accepted before a request goes farther: bytes
// between failure domains are priced, those between regions about eight times
// as high, and a request that still ends in time gains nothing from a shorter
// wait.
var penalty = [...]time.Duration{Same: 0, Region: 15 * time.Millisecond, Far: 120 * time.Millisecond}

// memory is the age at which the load of a group tells nothing any more.
const memory = 1500 * time.Millisecond

// Candidate is a failure domain with targets of a service.
type Candidate struct {
	Service, Domain string
	Distance        Distance
	// Slots are those of all its targets.
	Slots int
}

type key struct{ service, domain string }

type record struct {
	load pool.Load
	at   clock.Time
	// sent counts the requests sent there that have not ended.
	sent int
}

// Loads holds what is known of the load of the groups. The zero value knows
// nothing. It is safe for concurrent use.
type Loads struct {
	mu     sync.Mutex
	groups map[key]*record
}

func (l *Loads) record(k key) *record {
	if l.groups == nil {
		l.groups = map[key]*record{}
	}
	r := l.groups[k]
	if r == nil {
		r = &record{}
		l.groups[k] = r
	}
	return r
}

// Begin counts a request sent to a group.
func (l *Loads) Begin(service, domain string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record(key{service, domain}).sent++
}

// End counts the end of a request, with the load that the reply stated, if any.
func (l *Loads) End(now clock.Time, service, domain string, load *pool.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.record(key{service, domain})
	r.sent--
	if load != nil {
		r.load, r.at = *load, now
	}
}

// Choose returns the candidate with the shortest expected wait, distance
// considered, and false if there is none.
func (l *Loads) Choose(now clock.Time, cs []Candidate) (Candidate, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var best Candidate
	var bestCost time.Duration
	found := false
	for _, c := range cs {
		cost := l.wait(now, c) + penalty[c.Distance]
		if !found || cost < bestCost {
			best, bestCost, found = c, cost, true
		}
	}
	return best, found
}

// wait returns the expected wait at a candidate. What was heard counts less
// with its age; the requests sent from here are known.
func (l *Loads) wait(now clock.Time, c Candidate) time.Duration {
	r := l.groups[key{c.Service, c.Domain}]
	if r == nil {
		return 0
	}
	own := r.load
	own.Slots, own.Running, own.Waiting = c.Slots, r.sent, 0
	wait := own.Backlog()
	if age := now.Sub(r.at); age < memory && r.at != 0 {
		heard := time.Duration(float64(r.load.Backlog()) * (1 - float64(age)/float64(memory)))
		wait = max(wait, heard)
	}
	return wait
}
