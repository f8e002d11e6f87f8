package main

import (
	"sync"
	"time"

	"dandelionrock.example/dandelionrock/internal/header"
)

// tally is what a load generator has seen.
type tally struct {
	// latencies are those of answered requests.
	latencies []time.Duration
	outcomes  map[string]int
	reasons   map[string]int
	wrong     int
	took      time.Duration
}

func newTally() *tally { return &tally{outcomes: map[string]int{}, reasons: map[string]int{}} }

// answered returns the answered requests per second.
func (t *tally) rate() float64 { return float64(t.outcomes[header.Answered]) / t.took.Seconds() }

func (t *tally) add(r result, d time.Duration) {
	t.outcomes[r.outcome]++
	if r.wrong {
		t.wrong++
	}
	if r.outcome == header.Answered {
		t.latencies = append(t.latencies, d)
	} else {
		t.reasons[r.outcome+"/"+r.reason]++
	}
}

func (t *tally) merge(o *tally) {
	t.latencies = append(t.latencies, o.latencies...)
	t.wrong += o.wrong
	for k, n := range o.outcomes {
		t.outcomes[k] += n
	}
	for k, n := range o.reasons {
		t.reasons[k] += n
	}
}

// load describes a load of one kind.
type load struct {
	addresses []string
	// workers is the number of connections, each with one request at a time.
	workers int
	// rate is the number of requests per second, or 0 for as many as the
	// workers get answered.
	rate float64
	// warm is the time before samples count, length the time after it.
	warm, length time.Duration
	// next returns request i of worker w.
	next func(w, i int) *call
}

// run generates the load.
func (l *load) run() *tally {
	t, begin := newTally(), time.Now().Add(10*time.Millisecond)
	var mu sync.Mutex
	var g sync.WaitGroup
	for w := range l.workers {
		g.Go(func() {
			x := l.work(w, begin)
			mu.Lock()
			defer mu.Unlock()
			t.merge(x)
		})
	}
	g.Wait()
	t.took = l.length
	return t
}

// work is one worker. The latency of a request that had to wait for the one
// before it counts from when it was due.
func (l *load) work(w int, begin time.Time) *tally {
	t, s := newTally(), &link{address: l.addresses[w%len(l.addresses)]}
	defer s.close()
	first, end := begin.Add(l.warm), begin.Add(l.warm+l.length)
	for i := 0; ; i++ {
		at := time.Now()
		if l.rate > 0 {
			due := begin.Add(time.Duration((float64(i*l.workers+w) / l.rate) * float64(time.Second)))
			if due.After(end) {
				return t
			}
			if due.After(at) {
				time.Sleep(time.Until(due))
				at = time.Now()
			} else {
				at = due
			}
		}
		c := l.next(w, i)
		r := s.do(c)
		now := time.Now()
		if now.After(end) {
			return t
		}
		if at.After(first) {
			t.add(r, now.Sub(at))
		}
	}
}
