// Package peer tells which instances are alive and which of them takes over an
// upstream.
//
// A Detector is fed with the heartbeats that an instance hears, with its own
// clock, and with a list of instances that may lag. Successor and Assignee
// choose instances by rendezvous hashing: instances with the same view agree,
// and a change of the view moves only what concerns the changed instance. The
// package performs no I/O and reads no clock. A wrong answer costs time but is
// harmless: a takeover is decided by the table.
package peer

import (
	"time"

	"dandelionrock.example/dandelionrock/clock"
)

// Time is a reading of a monotonic clock that counts suspension, in
// nanoseconds since any fixed origin.
type Time = clock.Time

// State is what a detector knows of an instance.
type State uint8

const (
	// Unknown marks an instance that was never heard and has had less than the
	// suspicion time to send a heartbeat.
	Unknown State = iota
	// Live marks an instance whose heartbeats are heard.
	Live
	// Leaving marks an instance whose heartbeats say that it is leaving.
	Leaving
	// Suspect marks an instance that was not heard for the suspicion time.
	Suspect
	// Gone marks a suspect that has left, that the list no longer contains, or
	// that was not heard for the time to forget.
	Gone
)

// String returns the name of s in kebab case.
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

// Instance is an instance as seen by a detector, or given by a caller that
// chooses among instances.
type Instance struct {
	ID string
	// Incarnation is the run of the instance; empty if it was never heard.
	Incarnation   string
	Region        string
	FailureDomain string
	RPCAddress    string
	HTTPAddress   string
	// Weight is the share of upstreams relative to other instances; 0 means 1.
	Weight float64
	State  State
	// Since is when the instance entered its state in this incarnation.
	Since Time
	// LastHeartbeat is when the last heartbeat was heard.
	LastHeartbeat Time
	// Digest is the directory digest of the last heartbeat.
	Digest uint64
	// ConfigVersions are those of the last heartbeat. They must not be changed.
	ConfigVersions map[string]uint64
}

// LiveFor returns for how long the instance has been live without a break; 0 if
// it is not live.
func (i Instance) LiveFor(now Time) time.Duration {
	if i.State != Live {
		return 0
	}
	return now.Sub(i.Since)
}

// Change is a change of an instance's state or incarnation.
type Change struct {
	Instance Instance
	// Before is the previous state.
	Before State
	// Restarted tells that the incarnation has changed.
	Restarted bool
}

// Answer is what another instance says about a suspect.
type Answer struct {
	// Hears tells whether the other instance counts the suspect as live.
	Hears bool
	// Incarnation is the run of the suspect that the other instance hears.
	Incarnation string
}

// Confirmed tells whether a suspicion is confirmed well enough for a takeover:
// no answer states that the given incarnation is heard, and at least half of
// the instances that were asked have answered. An instance that is cut off
// itself gets few answers and must not take over. asked counts the other live
// instances that were asked; with 0 there is nobody else to tell.
func Confirmed(incarnation string, asked int, answers []Answer) bool {
	for _, a := range answers {
		if a.Hears && a.Incarnation == incarnation {
			return false
		}
	}
	return 2*len(answers) >= asked
}
