// Package peer detects which instances are alive and chooses which of them takes
// over an upstream.
//
// A [Detector] derives the states of the instances from the heartbeats that it is
// given, the time, and a list of instances that may be outdated. [Successor],
// [Nearest] and [Assignee] choose instances by rendezvous hashing: callers with the
// same list of live instances make the same choice, and if one instance joins or
// leaves, only choices that involve it change. The package performs no I/O and
// reads no clock. A wrong result costs time but is otherwise harmless, because the
// table decides each takeover.
package peer

import (
	"time"

	"dandelionrock.example/dandelionrock/clock"
)

// Time is a reading of a monotonic clock that keeps running while the machine is
// suspended, in nanoseconds since an arbitrary fixed origin.
type Time = clock.Time

// State is the state of an instance as a Detector sees it.
type State uint8

const (
	// Unknown is the state of an instance that no heartbeat has come from, and
	// that became known less than SuspectAfter ago.
	Unknown State = iota
	// Live is the state of an instance whose heartbeats arrive.
	Live
	// Leaving is the state of an instance whose heartbeats arrive and say that it
	// is leaving.
	Leaving
	// Suspect is the state of an instance that no heartbeat has come from for
	// SuspectAfter.
	Suspect
	// Gone is the state of an instance that no heartbeat has come from for
	// ForgetAfter, or for SuspectAfter if its last heartbeat said that it was
	// leaving or the list lacks it or shows it as leaving.
	Gone
)

// String returns the name of s in lower case.
func (s State) String() string {
	switch s {
	case Live:
		return "live"
	case Leaving:
		return "leaving"
	case Suspect:
		return "suspect"
	case Gone:
		return "gone"
	default:
		return "unknown"
	}
}

// Instance describes an instance, as a Detector sees it or as a caller of
// Successor, Nearest or Assignee gives it.
type Instance struct {
	ID string
	// Incarnation identifies the run of the instance; it is empty if no heartbeat
	// has come from it.
	Incarnation   string
	Region        string
	FailureDomain string
	RPCAddress    string
	HTTPAddress   string
	// Weight is the share of upstreams relative to other instances; 0 or less
	// means 1.
	Weight float64
	State  State
	// Since is when the instance entered its state in this incarnation.
	Since Time
	// LastHeartbeat is when the last heartbeat arrived.
	LastHeartbeat Time
	// Digest is the directory digest in the last heartbeat.
	Digest uint64
	// ConfigVersions holds the configuration versions in the last heartbeat, by
	// organisation. The map must not be changed.
	ConfigVersions map[string]uint64
}

// LiveFor returns how long the instance has been Live without interruption, or 0
// if it is not Live.
func (i Instance) LiveFor(now Time) time.Duration {
	if i.State != Live {
		return 0
	}
	return now.Sub(i.Since)
}

// Change is a change of an instance's state or incarnation.
type Change struct {
	// Instance is the instance after the change.
	Instance Instance
	// Before is the previous state.
	Before State
	// Restarted reports whether the incarnation has changed.
	Restarted bool
}

// Answer is the answer of another instance that was asked about a suspect.
type Answer struct {
	// Hears reports whether the suspect is Live or Leaving for the other
	// instance.
	Hears bool
	// Incarnation identifies the run of the suspect that the other instance
	// received the last heartbeat from.
	Incarnation string
}

// Confirmed reports whether the answers of other instances confirm a suspicion, so
// that a takeover may follow: no answer says that the given incarnation is alive,
// and at least half of the instances that were asked have answered. An instance
// that is cut off from the others itself gets few answers and must not take over.
// asked is the number of other live instances that were asked. If it is 0 and
// there are no answers, the suspicion is confirmed.
func Confirmed(incarnation string, asked int, answers []Answer) bool {
	for _, a := range answers {
		if a.Hears && a.Incarnation == incarnation {
			return false
		}
	}
	return 2*len(answers) >= asked
}
