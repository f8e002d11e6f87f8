// Package guard keeps a panic in one duty of an instance from ending the process
// with all its requests.
package guard

import (
	"context"
	"runtime/debug"
	"sync"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

const (
	// maxPanics is the number of panics of one duty within panicWindow after which
	// the instance leaves.
	maxPanics   = 5
	panicWindow = time.Minute
	// restartPause is the pause before a duty begins again.
	restartPause = 200 * time.Millisecond
)

// ErrPanic marks the error of a call that panicked.
var ErrPanic = errors.New("panic")

// Guard recovers from panics. Use New. A nil Guard doesn't recover.
type Guard struct {
	log zerolog.Logger
	// count counts a panic of a duty.
	count func(duty string)
	// leave makes the instance leave in order.
	leave func()

	mu sync.Mutex
	// panics holds the times of the last panics of each duty.
	panics map[string][]time.Time
}

// New returns a Guard. It calls count for each panic, and leave when a duty can't go
// on; leave must not block.
func New(l zerolog.Logger, count func(duty string), leave func()) *Guard {
	return &Guard{log: l, count: count, leave: leave, panics: map[string][]time.Time{}}
}

// record logs and counts a panic.
func (g *Guard) record(duty string, v any) {
	g.log.Error().Str("event", "panic").Str("duty", duty).Interface("cause", v).Bytes("stack", debug.Stack()).Msg("")
	g.count(duty)
}

// Recover turns a panic of a call into an error that is marked with ErrPanic. Defer
// it in the handler of the call.
func (g *Guard) Recover(duty string, err *error) {
	if g == nil {
		return
	}
	if v := recover(); v != nil {
		g.record(duty, v)
		*err = errors.Mark(errors.Newf("%s: %v", duty, v), ErrPanic)
	}
}

// try calls f and reports whether it returned.
func (g *Guard) try(duty string, f func()) (ok bool) {
	defer func() {
		if !ok {
			g.record(duty, recover())
		}
	}()
	f()
	return true
}

// Run calls f until it returns, and again after a pause if it panics, unless c has
// ended. The state that f uses must be consistent wherever it may panic. If f panics
// again and again, the instance leaves.
func (g *Guard) Run(c context.Context, duty string, f func()) {
	if g == nil {
		f()
		return
	}
	for !g.try(duty, f) && c.Err() == nil {
		if g.tooOften(duty, time.Now()) {
			g.leave()
			return
		}
		clock.Sleep(c, restartPause)
	}
}

// Once calls f. If it panics, the instance leaves: it is for duties whose state can't
// be trusted after that.
func (g *Guard) Once(duty string, f func()) {
	if g == nil {
		f()
		return
	}
	if !g.try(duty, f) {
		g.leave()
	}
}

// tooOften records a panic and reports whether there were maxPanics in panicWindow.
func (g *Guard) tooOften(duty string, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := append(g.panics[duty], now)
	if len(p) > maxPanics {
		p = p[1:]
	}
	g.panics[duty] = p
	return len(p) == maxPanics && now.Sub(p[0]) < panicWindow
}
