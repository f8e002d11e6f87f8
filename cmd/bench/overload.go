package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

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
	keyPrefix           = "key-"
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
	Requests string `long:"requests" description:"file to which each request at three times the capacity is written, for the command bound"`
	layout   *layout
	sum      counts
}

// Execute implements flags.Commander.
func (c *overloadCommand) Execute([]string) error {
	var err error
	if c.layout, err = readLayout(c.Dir); err != nil {
		return err
	}
	t := c.goodput()
	c.neighbours()
	return errors.Join(c.writeRequests(t), c.sum.save(c.Counts))
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
			key:  keyPrefix + strconv.Itoa(r.IntN(overloadKeys)), timeout: timeout,
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
func (c *overloadCommand) goodput() *tally {
	k := c.capacity()
	l := c.load("loud", overloadFactor*k, overloadWorkers, overloadTimeout)
	l.keep = c.Requests != ""
	t := l.run()
	c.record("overload", t)
	newPrinter(c.common).print("overload-goodput-ratio", t.rate()/k, "ratio",
		fmt.Sprintf("capacity %.0f requests/s of 8 slots at a service time of %s; one-way latency to upstreams %s; "+
			"%.0f requests/s offered, timeout %s", k, overloadServiceTime, domainDelay, overloadFactor*k, overloadTimeout))
	return t
}

// writeRequests writes the requests of a load in the form of an instance's lines. The
// objective is the timeout.
func (c *overloadCommand) writeRequests(t *tally) error {
	if c.Requests == "" {
		return nil
	}
	f, err := os.Create(c.Requests)
	if err != nil {
		return err
	}
	w := bufio.NewWriter(f)
	l := zerolog.New(w)
	for _, s := range t.samples {
		event, reason := "request-answered", ""
		if s.result.outcome != header.Answered {
			event, reason = "request-failed", s.result.outcome+"/"+s.result.reason
		}
		n, err := strconv.Atoi(strings.TrimPrefix(s.call.key, keyPrefix))
		if err != nil {
			return errors.Join(err, f.Close())
		}
		l.Info().Str("event", event).Str("route", s.call.service).Str("service", s.call.service).Str("reason", reason).Int("key", n).
			Dur("took", s.took).Dur("objective", s.call.timeout).Bool("late", s.took > s.call.timeout).Int64("time", s.begin.Add(s.took).UnixMilli()).Msg("")
	}
	return errors.Join(w.Flush(), f.Close())
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
