package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"dandelionrock.example/dandelionrock/internal/header"
)

const (
	// overloadServiceTime is the time for which a request occupies a slot.
	overloadServiceTime = 10 * time.Millisecond
	overloadFactor      = 3
	overloadTimeout     = 500 * time.Millisecond
	overloadWarmup      = time.Second
	overloadLength      = 5 * time.Second
	overloadKeys        = 2048
	// overloadWorkers bounds the requests in flight. At three times the capacity,
	// 1200 requests are sent within the timeout.
	overloadWorkers = 1536
	// floodFactor is the ratio of the rate of the loud client account to its share.
	floodFactor  = 50
	floodTimeout = 100 * time.Millisecond
	floodWorkers = 1024
	quietWorkers = 128
	quietLength  = 6 * time.Second
	// quietFactor is the ratio of the rate of a quiet client account to its share.
	quietFactor = 0.5
)

type overloadCommand struct {
	common
	layout *layout
	sum    counts
}

// Execute implements flags.Commander.
func (c *overloadCommand) Execute([]string) error {
	var err error
	if c.layout, err = readLayout(c.Dir); err != nil {
		return err
	}
	c.goodput()
	c.neighbours()
	return c.sum.save(c.Counts)
}

// capacity returns the requests per second that the slots can execute.
func (c *overloadCommand) capacity() float64 {
	s := c.layout.Services[0]
	return float64(len(s.Upstreams)*s.Slots) / overloadServiceTime.Seconds()
}

// load returns the load of a client account on keys chosen at random.
func (c *overloadCommand) load(account string, rate float64, workers int, timeout time.Duration) *load {
	var a []string
	for _, i := range c.layout.Instances {
		a = append(a, i.HTTP)
	}
	return &load{addresses: a, workers: workers, rate: rate, warmup: overloadWarmup, length: overloadLength, next: func(w, i int) *call {
		r := rand.New(rand.NewPCG(c.Seed, uint64(w)<<32|uint64(i)))
		return &call{
			method: http.MethodGet, organisation: "bench", service: "lookups", credential: account + "-credential",
			path: "/n/" + account + "-" + strconv.Itoa(w) + "-" + strconv.Itoa(i),
			key:  "key-" + strconv.Itoa(r.IntN(overloadKeys)), timeout: timeout,
		}
	}}
}

// record adds the requests and wrong answers of a load to the counts and prints
// its outcomes.
func (c *overloadCommand) record(name string, t *tally) {
	for _, n := range t.outcomes {
		c.sum.Requests += n
	}
	c.sum.Wrong += t.wrong
	fmt.Fprintf(os.Stderr, "%s: outcomes %v, reasons %v\n", name, t.outcomes, t.reasons)
}

// goodput measures the answered requests at three times the capacity.
func (c *overloadCommand) goodput() {
	k := c.capacity()
	t := c.load("loud", overloadFactor*k, overloadWorkers, overloadTimeout).run()
	c.record("overload", t)
	newPrinter(c.common).print("overload-goodput-ratio", t.rate()/k, "ratio",
		fmt.Sprintf("capacity %.0f requests/s of 8 slots at a service time of %s; one-way latency to upstreams %s; "+
			"%.0f requests/s offered, timeout %s", k, overloadServiceTime, domainDelay, overloadFactor*k, overloadTimeout))
}

// neighbours compares the latency of quiet client accounts with and without an
// overload by another account.
func (c *overloadCommand) neighbours() {
	time.Sleep(time.Second)
	n := len(c.layout.Accounts)
	share := c.capacity() / float64(n)
	before := c.quiet(share)
	c.record("quiet accounts alone", before)
	var g sync.WaitGroup
	var loud *tally
	g.Go(func() {
		l := c.load("loud", floodFactor*share, floodWorkers, floodTimeout)
		l.length = quietLength
		loud = l.run()
	})
	during := c.quiet(share)
	g.Wait()
	c.record("quiet accounts during the flood", during)
	c.record("flood", loud)
	a, b := ms(percentile(before.latencies, 0.99)), ms(percentile(during.latencies, 0.99))
	unanswered := 0
	for k, m := range during.outcomes {
		if k != header.Answered {
			unanswered += m
		}
	}
	newPrinter(c.common).print("neighbour-p99-ratio", b/a, "ratio",
		fmt.Sprintf("%.1f ms over %.1f ms; %d quiet accounts at half of their share of %.0f requests/s each; "+
			"%d of %d quiet requests not answered during the flood", b, a, n-1, share, unanswered, unanswered+during.outcomes[header.Answered]))
}

// quiet runs the load of all quiet client accounts at the same time.
func (c *overloadCommand) quiet(share float64) *tally {
	t := newTally()
	var mu sync.Mutex
	var g sync.WaitGroup
	for _, a := range c.layout.Accounts {
		if a == "loud" {
			continue
		}
		g.Go(func() {
			l := c.load(a, quietFactor*share, quietWorkers, 2*time.Second)
			l.length = quietLength
			x := l.run()
			mu.Lock()
			defer mu.Unlock()
			t.merge(x)
			t.length = x.length
		})
	}
	g.Wait()
	return t
}
