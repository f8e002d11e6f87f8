package queue

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against goodput that collapses under overload because slots are used
// for requests that miss their deadline, and against one account with many
// requests that delays another with few. Service times are exponentially
// distributed with a mean of 5 ms.
func TestOverload(t *testing.T) {
	const slots, mean, seconds = 2, 5 * time.Millisecond, 20
	synctest.Test(t, func(t *testing.T) {
		for _, tc := range []struct {
			load    float64
			timeout time.Duration
		}{
			{1.2, 60 * time.Millisecond},
			{3, 60 * time.Millisecond},
			{3, 250 * time.Millisecond},
			{10, 60 * time.Millisecond},
		} {
			load, timeout := tc.load, tc.timeout
			g := New[string](Options{Slots: slots})
			r := rand.New(rand.NewPCG(20261204, 0))
			var mu sync.Mutex
			completed, quietTotal, quietDelayed := 0, 0, 0
			var wg sync.WaitGroup
			request := func(account string, service time.Duration) {
				begin := time.Now()
				c, stop := context.WithTimeout(context.Background(), timeout)
				defer stop()
				release, err := g.Acquire(c, account, 1)
				waited := time.Since(begin)
				if err == nil {
					time.Sleep(min(service, timeout-waited))
					release()
				}
				mu.Lock()
				defer mu.Unlock()
				if err == nil && service <= timeout-waited {
					completed++
				}
				if account == "quiet" {
					if quietTotal++; err != nil || waited > 6*mean {
						quietDelayed++
					}
				}
			}
			start := time.Now()
			for time.Since(start) < seconds*time.Second {
				account := "flood"
				if r.IntN(50) == 0 {
					account = "quiet"
				}
				s := time.Duration(r.ExpFloat64() * float64(mean))
				wg.Go(func() { request(account, s) })
				time.Sleep(time.Duration(r.ExpFloat64() / load * float64(mean) / slots))
			}
			wg.Wait()
			capacity := float64(seconds*time.Second) / float64(mean) * slots
			t.Logf("load %.1f, timeout %v: goodput %.3f of the capacity, %d of %d quiet requests waited long", load, timeout, float64(completed)/capacity, quietDelayed, quietTotal)
			if float64(completed) < 0.9*capacity || quietDelayed*100 > quietTotal {
				t.Errorf("load %.1f, timeout %v: goodput %.3f, %d of %d quiet requests waited long", load, timeout, float64(completed)/capacity, quietDelayed, quietTotal)
			}
		}
	})
}
