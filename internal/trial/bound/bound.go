// Package bound computes, after a run, how many of its requests no assignment of
// requests and keys to targets could have answered within their objectives, by cause. It
// performs no I/O; times are those of the run.
//
// Load answered: a few keys with more requests than a target takes, a service with more
// than its targets take together, targets that reject at will, and lost owners.
//
// Each cause is a lower bound. What it doesn't cover is counted as ours:
//
//   - Unknown: the instance that received the request had no configuration, an outdated
//     one, or stated a place that is gone when its copy of the store was older than
//     Figures.Stale.
//   - Move: the request failed because its key had no owner, the key became free only by
//     the loss of its owner, and a target would have had to begin with the request before
//     then to be in time. The wait counts for Figures.Grant at most, from the first
//     such failure on the range: a longer one is ours. Keys that move while their owner
//     lives are ours too.
//   - Key: the requests for one key are more than one target takes. Of those that arrive in
//     a time w, a target of s slots answers at most s/t * (w + o) in time, for the mean time
//     t at work at the fastest targets and the objective o. The excess is summed over the
//     disjoint times with the largest sum.
//   - Room: the same for all requests of a service and all its targets. Only what exceeds
//     the claims of Key on overlapping times counts.
//   - Shed: in a stated spell the targets reject a stated share of what reaches them,
//     whatever its number. Of the requests whose objective ends in the spell, at most the
//     rest is answered in time, with the repeats that the budget allows; a request fails
//     if all tries of all its attempts do. Only what exceeds the claims before counts.
//
// If requests differ, a bound by pace is that of the requests with at least some mean time t
// at work and at most some objective o, all taken to have t and o, for the best t and o. Times
// at work are means: a run of requests that happen to be shorter can exceed the pace, which
// isn't known of a single request. Targets are taken to be warm, at their full pace and at no
// distance.
//
// Table counts attempts as they came: of those that repeat a refused one, a better assignment
// might have had fewer. Requests counts requests, each with all its attempts; logs don't
// state which attempts are of one request, so that it takes the least number of requests
// that they can be of.
//
// Requests in time are known by samples, or not at all. Of a sampled number the bound uses
// what it exceeds with three standard deviations, and at least the samples themselves.
package bound

import "time"

// Outcome is what became of a request.
type Outcome int

// Outcomes.
const (
	InTime Outcome = iota
	// Late means that it was answered after its objective.
	Late
	// Refused means that it got no answer of a target.
	Refused
)

// Cause is why no assignment could have answered a request in time.
type Cause int

// Causes, in the order in which requests are attributed to them.
const (
	// Ours is the absence of a cause.
	Ours Cause = iota
	Unknown
	Move
	Key
	Room
	Shed
	// Causes is the number of causes.
	Causes int = iota
)

// NoKey is the key of requests without one.
const NoKey = -1

// Demand is an attempt of a client. One that repeats another is a demand of its own, since
// nothing states what belongs together.
type Demand struct {
	// At is the arrival, since any origin that all demands share.
	At      time.Duration
	Service string
	Kind    string
	Key     int
	// Objective is the time after At by which the response is in time.
	Objective time.Duration
	// Work is the mean time that a request of this kind takes at a target of factor 1.
	Work    time.Duration
	Outcome Outcome
	// Reason is why the request was refused, as logged.
	Reason string
	// Stands is the number of requests in time that a sampled one stands for, itself
	// included; 1 for all others.
	Stands int
	// Attempts is the largest number of attempts of one request, if above 1, and Limit the
	// longest time from the first to the last.
	Attempts int
	Limit    time.Duration
	// Returned is set if the client was known to have tried before.
	Returned bool
	// Age is that of what the instance knew of the targets.
	Age time.Duration
}

// Targets are targets of the same pace.
type Targets struct {
	Count, Slots int
	// Factor multiplies the time at work.
	Factor float64
}

// Spell is a time in which all targets of a service reject the share Share of the requests
// that reach them.
type Spell struct {
	From, To time.Duration
	Share    float64
}

// Service holds the figures of a service.
type Service struct {
	Targets []Targets
	Spells  []Spell
	// Repeats is the number of further tries for each request, and Allowance the number
	// of those in any spell beside.
	Repeats   float64
	Allowance int
}

// Figures are those of the deployment.
type Figures struct {
	Services map[string]Service
	// Grant is the longest time for which a lost owner binds its keys, Stale the age from
	// which a copy of the store doesn't tell where keys and targets are; 0 for none.
	Grant, Stale time.Duration
}

// Freed is a range of keys, both ends included, that has no owner from At on.
type Freed struct {
	At       time.Duration
	Service  string
	From, To int
	// Lost is set if the owner was lost and did not release the range.
	Lost bool
}

// Row holds the numbers of one kind.
type Row struct {
	Service, Kind string
	// InTime is estimated from samples; Late and Refused are counted.
	InTime, Late, Refused int
	// By holds the numbers of late and refused requests by cause; their sum is Late +
	// Refused.
	By [Causes]int
	// Left holds what is ours by reason; late requests have the reason of LateReason.
	Left map[string]int
}

// LateReason stands for the reason of late requests.
const LateReason = "late"

// Table computes the rows of attempts as they came, sorted by service and kind.
func Table(f Figures, demands []Demand, freed []Freed) []Row {
	l := newLedger(f, demands)
	l.markUnknown()
	l.markMoves(freed)
	l.claimAll()
	return l.rows()
}

// Least holds the least number of requests of a service, each with all its attempts, that
// no assignment could have answered in time.
type Least struct {
	Service         string
	Key, Room, Shed int
}

// Requests computes the bounds for requests, sorted by service. Requests that came for the
// first time in a window are at least the attempts in it, without those that may repeat
// attempts refused before the window, by the most attempts of one.
func Requests(f Figures, demands []Demand) []Least {
	l := newLedger(f, demands)
	l.requests = true
	l.claimAll()
	var out []Least
	for _, n := range sorted(f.Services) {
		r := Least{Service: n}
		for _, c := range l.claims {
			if c.service != n {
				continue
			}
			switch c.cause {
			case Key:
				r.Key += c.size
			case Room:
				r.Room += c.size
			case Shed:
				r.Shed += c.size
			}
		}
		out = append(out, r)
	}
	return out
}
