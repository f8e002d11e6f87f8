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
		runs := 0
		g.Run(context.Background(), "heals", func() {
			if runs++; runs < 3 {
				panic("planted")
			}
		})
		if runs != 3 || left != 0 {
			t.Errorf("duty that heals: %d runs, left %d times", runs, left)
		}
		runs = 0
		g.Run(context.Background(), "rare", func() {
			if runs++; runs < 20 {
				time.Sleep(panicWindow / (maxPanics - 1))
				panic("planted")
			}
		})
		if runs != 20 || left != 0 {
			t.Errorf("duty that fails rarely: %d runs, left %d times", runs, left)
		}
		runs = 0
		g.Run(context.Background(), "broken", func() { runs++; panic("planted") })
		if runs != maxPanics || left != 1 {
			t.Errorf("broken duty: %d runs, left %d times", runs, left)
		}
		g.Once("keeper", func() { panic("planted") })
		if left != 2 {
			t.Errorf("left %d times", left)
		}
		c, stop := context.WithCancel(context.Background())
		runs = 0
		g.Run(c, "stopped", func() { runs++; stop(); panic("planted") })
		if runs != 1 {
			t.Errorf("a duty of an instance that has ended runs %d times", runs)
		}
	})
}
