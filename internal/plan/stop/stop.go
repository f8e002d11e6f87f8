// Package stop schedules the planned stop of an instance. It performs no I/O; the
// caller passes the time.
//
// A stop begins with a signal and ends with a kill after a grace period:
//
//	Begin      not ready; no longer a home for other instances
//	PassUntil  requests that may end in time are passed on, others refused
//	           then all requests that no target runs are refused, also those
//	           that wait in queues
//	OpenUntil  the listener stays open until then, for load balancers that have
//	           not noticed, and until no response is owed
//	GiveWay    requests at work are ended if responses are ready behind them
//	AnswerBy   the deadline of requests that are passed on during the stop, so that a
//	           target that can't run one in time says so while it can be told
//	CutBy      all requests in progress are ended; their clients get a response
//	End        connections are closed
package stop

import (
	"time"

	"dandelionrock.example/dandelionrock/clock"
)

const (
	// maxPass and maxOpen bound PassUntil and OpenUntil: a load balancer probes once
	// a second and reacts to the second failure. A request that a client sends more
	// than three seconds after the signal must not be cut, so that none is passed on
	// by then; the signal may be noticed late.
	maxPass = 2800 * time.Millisecond
	maxOpen = 3200 * time.Millisecond
	// reserve is the time between End and the kill, in which the parts are closed, and
	// answerTime that between AnswerBy and End, in which the last responses reach the
	// clients. They are at most a reservePart and an answerPart of the grace period: a
	// target that is at work in the last sixth must not be cut before. cutTime is the
	// time between CutBy and End, at most a cutPart of the grace period.
	reserve     = 400 * time.Millisecond
	answerTime  = 250 * time.Millisecond
	cutTime     = 100 * time.Millisecond
	reservePart = 8
	answerPart  = 25
	cutPart     = 60
)

// Schedule holds the moments of a planned stop, in the order of its fields.
type Schedule struct{ Begin, PassUntil, OpenUntil, GiveWay, AnswerBy, CutBy, End clock.Time }

// New returns the schedule of a stop that begins at the given time. At least half of the
// grace period is left to requests that were passed on.
func New(begin clock.Time, grace time.Duration) *Schedule {
	end := grace - min(reserve, grace/reservePart)
	return &Schedule{
		Begin: begin, PassUntil: begin.Add(min(maxPass, grace/2)), OpenUntil: begin.Add(min(maxOpen, grace*2/3)),
		GiveWay: begin.Add(grace * 5 / 6), AnswerBy: begin.Add(end - min(answerTime, grace/answerPart)),
		CutBy: begin.Add(end - min(cutTime, grace/cutPart)), End: begin.Add(end),
	}
}

// MayPass reports whether a request whose answer takes the given time may still be passed
// on. Any request may if s is nil. One that may have run can't be refused as not run, so
// that it is repeated as long as there is any time.
func (s *Schedule) MayPass(now clock.Time, takes time.Duration, ran bool) bool {
	return s == nil || ran && now < s.AnswerBy || now < s.PassUntil && now.Add(takes) <= s.AnswerBy
}
