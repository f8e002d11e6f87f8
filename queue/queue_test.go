package queue

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against queues that exceed their limits, and against a closed gate that
// admits requests, leaves waiting requests blocked or does not wait for requests
// in flight.
func TestBoundsAndClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New[string](Options{PerAccount: 1, Total: 2})
		release, err := g.Acquire(t.Context(), "a", 1)
		if err != nil {
			t.Fatal(err)
		}
		out := make(chan error, 2)
		for _, k := range []string{"a", "b"} {
			go func() { _, err := g.Acquire(t.Context(), k, 1); out <- err }()
		}
		synctest.Wait()
		for _, k := range []string{"a", "c"} {
			if _, err := g.Acquire(t.Context(), k, 1); !errors.Is(err, ErrFull) {
				t.Errorf("Acquire(%s): %v, want ErrFull", k, err)
			}
		}
		begin := time.Now()
		time.AfterFunc(time.Second, release)
		g.Close()
		if time.Since(begin) != time.Second {
			t.Errorf("Close took %v, want 1s until the slot is released", time.Since(begin))
		}
		for range 2 {
			if err := <-out; !errors.Is(err, ErrClosed) {
				t.Errorf("waiter: %v, want ErrClosed", err)
			}
		}
		if _, err := g.Acquire(t.Context(), "a", 1); !errors.Is(err, ErrClosed) {
			t.Errorf("Acquire: %v, want ErrClosed", err)
		}
	})
}

// Guards against requests that are queued although they can't meet their
// deadline, and against refusals of requests that can.
func TestDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New[string](Options{Slots: 2, ServiceTime: 100 * time.Millisecond})
		for _, tc := range []struct {
			timeout time.Duration
			queued  int
			err     error
		}{
			{time.Second, 0, nil},
			{time.Second, 0, nil},
			{90 * time.Millisecond, 0, ErrDeadline}, // no time for its own execution
			{110 * time.Millisecond, 1, nil},
			{time.Second, 2, nil},
			{190 * time.Millisecond, 2, ErrDeadline}, // 2 ahead, 1 service time for 2 slots
			{210 * time.Millisecond, 3, nil},
		} {
			c, stop := context.WithTimeout(t.Context(), tc.timeout)
			defer stop()
			out := make(chan error, 1)
			go func() { _, err := g.Acquire(c, "a", 1); out <- err }()
			synctest.Wait()
			if n := g.Stats().Queued; n != tc.queued {
				t.Errorf("%v: %d queued, want %d", tc.timeout, n, tc.queued)
			}
			if tc.err != nil {
				if err := <-out; !errors.Is(err, tc.err) {
					t.Errorf("%v: %v, want %v", tc.timeout, err, tc.err)
				}
			}
		}
		time.Sleep(2 * time.Second)
		if s := g.Stats(); s.Queued != 0 || s.InFlight != 2 {
			t.Errorf("after all deadlines: %+v", s)
		}
	})
}

// Guards against an idle gate that refuses all requests after one slow request:
// the average service time exceeds their timeout, and it would never change
// again if no request were admitted.
func TestRecoversFromStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New[string](Options{})
		for i, d := range []time.Duration{time.Minute, time.Millisecond} {
			c, stop := context.WithTimeout(t.Context(), 100*time.Millisecond)
			release, err := g.Acquire(c, "a", 1)
			if err != nil {
				t.Fatalf("request %d: %v", i, err)
			}
			time.Sleep(d)
			release()
			release()
			stop()
		}
		if s := g.Stats(); s.InFlight != 0 {
			t.Errorf("%d in flight after a repeated release", s.InFlight)
		}
	})
}

// Guards against memory that grows with each account that ever sent a request.
func TestIdleAccountsAreDropped(t *testing.T) {
	g := New[int](Options{})
	for i := range 10000 {
		release, _ := g.Acquire(t.Context(), i, 1)
		release()
		release, _ = g.Acquire(t.Context(), -1, 1)
		release()
	}
	if n := len(g.accounts); n > 200 {
		t.Errorf("%d accounts in memory, want at most 200", n)
	}
}

func ExampleGate() {
	g := New[string](Options{Slots: 1})
	release, err := g.Acquire(context.Background(), "atlas-shop", 2)
	fmt.Println(err, g.Stats().InFlight)
	c, stop := context.WithTimeout(context.Background(), time.Millisecond)
	defer stop()
	_, err = g.Acquire(c, "guild-web", 1)
	fmt.Println(err)
	release()
	fmt.Println(g.Stats().InFlight)
	// Output:
	// <nil> 1
	// deadline passes in the queue
	// 0
}

func BenchmarkAcquire(b *testing.B) {
	for _, slots := range []int{2, 1000} {
		b.Run(fmt.Sprintf("slots=%d", slots), func(b *testing.B) {
			g := New[string](Options{Slots: slots, PerAccount: 1000})
			c, stop := context.WithTimeout(context.Background(), time.Hour)
			defer stop()
			b.ReportAllocs()
			b.SetParallelism(10)
			b.RunParallel(func(p *testing.PB) {
				for i := 0; p.Next(); i++ {
					release, err := g.Acquire(c, [4]string{"a", "b", "c", "d"}[i%4], 1+i%4)
					if err != nil {
						b.Error(err)
						return
					}
					release()
				}
			})
		})
	}
}
