package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionrock.example/dandelionrock/internal/header"
)

const (
	throughputRounds  = 5
	throughputWorkers = 64
	throughputKeys    = 4096
	throughputWarmup  = 400 * time.Millisecond
	throughputLength  = 1600 * time.Millisecond
)

type throughputCommand struct {
	common
	layout *layout
	sum    counts
}

// path is one of the two paths that are compared, the router or the bare path.
type path struct {
	name, address string
	// rates, p50 and p99 hold one value for each round.
	rates, p50, p99 []float64
}

// Execute implements flags.Commander.
func (c *throughputCommand) Execute([]string) error {
	var err error
	if c.layout, err = readLayout(c.Dir); err != nil {
		return err
	}
	entry, home := c.layout.Instances[1], c.layout.Instances[0]
	if err := c.checkTwoHops(entry, home); err != nil {
		return err
	}
	l := []*path{{name: "product", address: entry.HTTP}, {name: "bare", address: loopbackAddress(bareEntryPort)}}
	for r := range 2 * throughputRounds {
		for i := range l {
			p := l[(i+r)%2]
			if err := c.round(p, r, l); err != nil {
				return err
			}
		}
	}
	c.report(l[0], l[1])
	return c.sum.save(c.Counts)
}

// round measures a path once: the throughput at full load in the first half of
// the rounds, the latency at half of the smaller throughput in the second half.
func (c *throughputCommand) round(p *path, r int, l []*path) error {
	var rate float64
	if r >= throughputRounds {
		rate = min(median(l[0].rates), median(l[1].rates)) / 2
	}
	t := c.load(p.address, rate).run()
	n := t.outcomes[header.Answered]
	c.sum.Requests += n
	c.sum.Wrong += t.wrong
	for k, m := range t.reasons {
		fmt.Fprintf(os.Stderr, "%s: %d requests without an answer: %s\n", p.name, m, k)
	}
	if n == 0 {
		return errors.Newf("%s path answers nothing", p.name)
	}
	if rate == 0 {
		p.rates = append(p.rates, t.rate())
		return nil
	}
	p.p50 = append(p.p50, ms(percentile(t.latencies, 0.5)))
	p.p99 = append(p.p99, ms(percentile(t.latencies, 0.99)))
	return nil
}

func (c *throughputCommand) load(address string, rate float64) *load {
	return &load{
		addresses: []string{address}, workers: throughputWorkers, rate: rate, warmup: throughputWarmup, length: throughputLength,
		next: func(w, i int) *call {
			r := rand.New(rand.NewPCG(c.Seed, uint64(w)<<32|uint64(i)))
			return lookup("lookups", r.IntN(throughputKeys), w, i)
		},
	}
}

// lookup returns a GET request for a key whose path identifies request i of
// worker w.
func lookup(service string, key, w, i int) *call {
	return &call{
		method: http.MethodGet, organisation: "bench", service: service, credential: "desk-credential",
		path: "/n/" + strconv.Itoa(w) + "-" + strconv.Itoa(i), key: "key-" + strconv.Itoa(key), timeout: 2 * time.Second,
	}
}

// checkTwoHops checks that requests to the entry are handled by the home.
func (c *throughputCommand) checkTwoHops(entry, home instance) error {
	x, f := context.WithTimeout(context.Background(), 10*time.Second)
	defer f()
	if err := c.layout.waitServed(x); err != nil {
		return err
	}
	s := &connection{address: entry.HTTP}
	defer s.close()
	for i := range 64 {
		if r := s.do(lookup("lookups", i, 0, i)); r.outcome != header.Answered || r.home != home.ID {
			return errors.Newf("lookup %d at the entry is %s %s with home %q, not %q", i, r.outcome, r.reason, r.home, home.ID)
		}
	}
	return nil
}

func (c *throughputCommand) report(p, b *path) {
	var rates, p50, p99 []float64
	for i := range p.rates {
		rates = append(rates, p.rates[i]/b.rates[i])
		p50 = append(p50, p.p50[i]/b.p50[i])
		p99 = append(p99, p.p99[i]/b.p99[i])
	}
	o := newPrinter(c.common)
	n := fmt.Sprintf("median of %d alternating rounds; %d connections; rounds %.2f", throughputRounds, throughputWorkers, rates)
	h := fmt.Sprintf("whole latency, at half of the smaller throughput (%.0f requests/s); rounds ", min(median(p.rates), median(b.rates))/2)
	o.print("throughput-ratio", median(rates), "ratio", n)
	o.print("added-latency-p50-ratio", median(p50), "ratio", h+fmt.Sprintf("%.2f", p50))
	o.print("added-latency-p99-ratio", median(p99), "ratio", h+fmt.Sprintf("%.2f", p99))
	o.print("requests-per-s", median(p.rates), "requests/s", "")
	o.print("bare-requests-per-s", median(b.rates), "requests/s", "")
	o.print("p50-ms", median(p.p50), "ms", "")
	o.print("p99-ms", median(p.p99), "ms", "")
	o.print("bare-p50-ms", median(b.p50), "ms", "")
	o.print("bare-p99-ms", median(b.p99), "ms", "")
}
