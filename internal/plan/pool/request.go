package pool

import (
	"time"

	"dandelionrock.example/dandelionrock/clock"
)

// ID identifies a request among those of a pool.
type ID uint64

// Request holds the properties of a request that decisions depend on.
type Request struct {
	ID ID
	// Priority 0 is the highest.
	Priority int
	// Begin is when the request reached the pool.
	Begin clock.Time
	// Objective is when the request becomes late, Deadline when it must have ended.
	Objective, Deadline clock.Time
	// Exclude holds the ids of targets that must not run the request.
	Exclude []string
	// Suspect is set if a target that ran the request has crashed. Suspects don't run
	// beside one another.
	Suspect bool
}

// Verdict is the kind of a decision.
type Verdict int

// Verdicts on a request: run it now, queue it, or refuse it.
const (
	Start Verdict = iota + 1
	Wait
	Refuse
)

// Reasons of refusals.
const (
	ReasonNoTarget = "no-target"
	ReasonPaused   = "targets-paused"
	ReasonFull     = "full"
	ReasonExpired  = "waited-too-long"
	ReasonLimited  = "target-limit"
	ReasonCold     = "targets-cold"
	// ReasonOvertaken states that more urgent requests have come since.
	ReasonOvertaken = "overtaken"
)

// Decision is the verdict on a request with its details.
type Decision struct {
	ID      ID
	Verdict Verdict
	// Target is the target that runs the request, with Start.
	Target string
	// Retry is the time after which the request may be retried, and Reason why it
	// was refused, with Refuse.
	Retry  time.Duration
	Reason string
}

// Result is how a request ended at its target.
type Result int

// Results of a request.
const (
	// Answered requests count towards the mean service time.
	Answered Result = iota + 1
	// Rejected requests were not run by the target.
	Rejected
	// Failed requests got no usable answer.
	Failed
	// Unreachable targets did not receive the request.
	Unreachable
	// Cancelled requests say nothing about the target.
	Cancelled
)
