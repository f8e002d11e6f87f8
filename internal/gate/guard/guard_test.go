package guard

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

// Guards against a panic that ends the process, a duty that stays dead after one, and
// an instance that goes on although a duty always fails.
func TestPanics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		counted, left := 0, 0
		g := New(zerolog.New(&log), func(string) { counted++ }, func() { left++ })
		call := func() (err error) {
			defer g.Recover("call", &err)
			panic("planted")
		}
		if err := call(); !errors.Is(err, ErrPanic) || counted != 1 || !strings.Contains(log.String(), "guard_test.go") {
			t.Errorf("call: %v, %d counted, log %s", err, counted, &log)
		}
		c, stop := context.WithCancel(context.Background())
		for _, d := range []struct {
			name string
			// panics is the number of panics, each after a time.
			panics     int
			after      time.Duration
			runs, left int
		}{
			{"heals", 2, 0, 3, 0},
			{"rare", 19, panicWindow / (maxPanics - 1), 20, 0},
			{"broken", 1000, 0, maxPanics, 1},
		} {
			runs := 0
			g.Run(c, d.name, func() {
				if runs++; runs <= d.panics {
					time.Sleep(d.after)
					panic("planted")
				}
			})
			if runs != d.runs || left != d.left {
				t.Errorf("duty %s: %d runs, left %d times", d.name, runs, left)
			}
		}
		g.Once("keeper", func() { panic("planted") })
		runs := 0
		g.Run(c, "stopped", func() { runs++; stop(); panic("planted") })
		if left != 2 || runs != 1 {
			t.Errorf("left %d times; a duty of an instance that has ended runs %d times", left, runs)
		}
	})
}
