package pace

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/sebdah/goldie/v2"
)

// Replays what targets state, and records what is found out. Guards against a change that is
// not followed within about a second, and against belief in factors that times don't follow.
func TestReplays(t *testing.T) {
	const work, gap = 300 * time.Millisecond, 60 * time.Millisecond
	second := func(n float64) clock.Time { return clock.Time(n * float64(time.Second)) }
	spells := func(now clock.Time) float64 {
		if now%second(2) >= second(1.6) {
			return 2.1
		}
		return 0.7
	}
	for name, c := range map[string]struct{ stated, real func(clock.Time) float64 }{
		"spells": {spells, spells},
		"lies":   {spells, func(clock.Time) float64 { return 1 }},
		"slower for good": {func(now clock.Time) float64 {
			if now > second(4) {
				return 4
			}
			return 1
		}, nil},
		"warm after cold": {func(now clock.Time) float64 {
			if now < second(3) {
				return 3.2
			}
			return 1.6
		}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			var f Finder
			var b bytes.Buffer
			actual := c.real
			if actual == nil {
				actual = c.stated
			}
			for now := second(0.3); now < second(8); now = now.Add(gap) {
				f.State(now, Factor(c.stated(now)))
				took := time.Duration(float64(work) * actual(now))
				f.Done(now.Add(took), took)
				if now%second(0.3) == 0 {
					fmt.Fprintf(&b, "%.1f s: stated %.1f, usual %.1f, mean %v, next %v, lies %v, hold %v, after 0.1 s %v, after 0.4 s %v\n", float64(now)/1e9, c.stated(now), f.usual,
						f.Mean().Round(time.Millisecond), f.Expect(now).Round(time.Millisecond), f.Lies(), f.Hold(now), f.Hold(now.Add(100*time.Millisecond)), f.Hold(now.Add(400*time.Millisecond)))
				}
			}
			goldie.New(t).Assert(t, t.Name(), b.Bytes())
		})
	}
}

// Guards against targets that get no requests for long, whatever they state and however long
// their requests take.
func TestHoldEnds(t *testing.T) {
	p := gopter.NewProperties(nil)
	p.Property("a hold ends", prop.ForAll(func(factors []float64, gap, took int64) bool {
		var f Finder
		now, held := clock.Time(time.Hour), time.Duration(0)
		for _, x := range factors {
			f.Done(now, time.Duration(took))
			f.State(now, Factor(x))
			held += time.Duration(gap)
			if !f.Hold(now) {
				held = 0
			}
			if held > maxHold+time.Duration(gap) || f.Hold(now.Add(maxHold+time.Duration(gap))) {
				return false
			}
			now = now.Add(time.Duration(gap))
		}
		return true
	}, gen.SliceOf(gen.Float64Range(0.01, 1000)), gen.Int64Range(1, int64(time.Minute)), gen.Int64Range(1, int64(time.Minute))))
	p.TestingRun(t)
}
