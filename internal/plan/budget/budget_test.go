package budget

import (
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var bound = Bound{Ratio: 0.2, Window: 10 * time.Second, Allowance: 60}

// Guards against more retries in a window than all instances together may send,
// under varying load.
func TestBudgetHolds(t *testing.T) {
	const instances = 6
	p := gopter.DefaultTestParameters()
	p.Rng.Seed(1)
	q := gopter.NewProperties(p)
	q.Property("no window has too many retries", prop.ForAllNoShrink(func(steps []uint16) bool {
		var bs [instances]Budget
		now := clock.Time(time.Hour)
		var requests, retries []clock.Time
		for _, s := range steps {
			now = now.Add(time.Duration(s%300) * time.Millisecond)
			b := &bs[int(s)%instances]
			if s%4 == 0 {
				b.Request(now, bound)
				requests = append(requests, now)
			}
			for range s % 9 {
				if b.Retry(now, bound, instances) {
					retries = append(retries, now)
				}
			}
		}
		for _, end := range retries {
			from := end.Add(-bound.Window)
			n, m := within(retries, from, end), within(requests, from.Add(-bound.Window/2), end)
			if float64(n) > bound.Ratio*float64(m)+float64(bound.Allowance) {
				return false
			}
		}
		return true
	}, gen.SliceOfN(600, gen.UInt16())))
	q.TestingRun(t)
}

// within counts the times after from and up to to.
func within(ts []clock.Time, from, to clock.Time) int {
	n := 0
	for _, t := range ts {
		if t > from && t <= to {
			n++
		}
	}
	return n
}

// Guards against a used-up budget that never recovers.
func TestBudgetRecovers(t *testing.T) {
	var b Budget
	now := clock.Time(time.Hour)
	for b.Retry(now, bound, 12) {
	}
	if !b.Retry(now.Add(2*bound.Window), bound, 12) {
		t.Error("no retry is allowed two windows later")
	}
}
