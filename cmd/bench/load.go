package main

import (
	"sync"
	"time"

	"dandelionrock.example/dandelionrock/internal/header"
)

// tally holds the results of a load.
type tally struct {
	// latencies holds the latencies of answered requests.
	latencies []time.Duration
	outcomes  map[string]int
	reasons   map[string]int
	wrong     int
	// samples holds all results, if the load keeps them.
	samples []sample
	// length is the time in which the results were counted.
	length time.Duration
}

// sample is one request with its result.
type sample struct {
	call   *call
	result result
	begin  time.Time
	took   time.Duration
}

func newTally() *tally { return &tally{outcomes: map[string]int{}, reasons: map[string]int{}} }

// rate returns the answered requests per second.
func (t *tally) rate() float64 { return float64(t.outcomes[header.Answered]) / t.length.Seconds() }

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
	t.samples = append(t.samples, o.samples...)
	t.wrong += o.wrong
	for k, n := range o.outcomes {
		t.outcomes[k] += n
	}
	for k, n := range o.reasons {
		t.reasons[k] += n
	}
}

// load describes requests that a number of workers send.
type load struct {
	addresses []string
	// workers is the number of connections, each with one request at a time.
	workers int
	// rate is the number of requests per second of all workers; if 0, each worker
	// sends the next request as soon as the last one has ended.
	rate float64
	// warmup is the time before results are counted, length the time in which
	// they are.
	warmup, length time.Duration
	// keep is set if the results are kept one by one.
	keep bool
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
	t.length = l.length
	return t
}

// work runs one worker. With a rate, the latency of a request that is sent late
// because the worker still waited for an answer counts from when it was due.
func (l *load) work(w int, begin time.Time) *tally {
	t, s := newTally(), &connection{address: l.addresses[w%len(l.addresses)]}
	defer s.close()
	first, end := begin.Add(l.warmup), begin.Add(l.warmup+l.length)
	for i := 0; ; i++ {
		start := time.Now()
		if l.rate > 0 {
			due := begin.Add(time.Duration((float64(i*l.workers+w) / l.rate) * float64(time.Second)))
			if due.After(end) {
				return t
			}
			if due.After(start) {
				time.Sleep(time.Until(due))
				start = time.Now()
			} else {
				start = due
			}
		}
		c := l.next(w, i)
		r := s.do(c)
		now := time.Now()
		if now.After(end) {
			return t
		}
		if start.After(first) {
			t.add(r, now.Sub(start))
			if l.keep {
				t.samples = append(t.samples, sample{c, r, start, now.Sub(start)})
			}
		}
	}
}
