package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// observationTime is the time after a failure in which answers are counted,
	// observationTimeBoth that after a failure whose recovery includes the hold
	// time.
	observationTime     = 2500 * time.Millisecond
	observationTimeBoth = gapHold + 3*time.Second
	// recoveryLimit bounds the wait until all shards are served after the failed
	// processes are started again.
	recoveryLimit = 8 * time.Second
	// settleTime is the pause before the first failure, and before and after the
	// wait for a recovery.
	settleTime = 700 * time.Millisecond
	// targetGap is the gap above which the events are saved for diagnosis.
	targetGap = time.Second
)

type gapsCommand struct {
	common
	layout *layout
	random *rand.Rand
	probes *probes
	orders *orders
	// gaps holds the gaps of the affected keys by kind of failure.
	gaps map[string][]time.Duration
	// unserved counts the keys that were not served again while observed, by kind
	// of failure.
	unserved map[string]int
	// failures counts the failures by kind.
	failures map[string]int
}

// failure describes processes that are killed at the same time.
type failure struct {
	// kind is upstream, home, both, domain or restart.
	kind string
	// instances and upstreams are the names of the victims.
	instances, upstreams []string
}

// Execute implements flags.Commander.
func (c *gapsCommand) Execute([]string) error {
	var err error
	if c.layout, err = readLayout(c.Dir); err != nil {
		return err
	}
	c.random = rand.New(rand.NewPCG(c.Seed, 1))
	c.gaps, c.unserved, c.failures = map[string][]time.Duration{}, map[string]int{}, map[string]int{}
	x, stop := context.WithCancel(context.Background())
	defer stop()
	c.probes, c.orders = newProbes(c.layout, c.Seed), newOrders(c.layout, c.Seed)
	c.probes.start(x)
	c.orders.start(x)
	err = c.runFailures(x)
	stop()
	c.probes.wait()
	c.orders.wait()
	if err != nil {
		return err
	}
	return c.report()
}

// runFailures causes and measures the failures one after another.
func (c *gapsCommand) runFailures(x context.Context) error {
	time.Sleep(settleTime)
	if err := c.restart(x); err != nil {
		return err
	}
	for _, k := range []string{"upstream", "home", "both", "domain", "upstream", "home", "both", "upstream", "home"} {
		if !c.wanted(k) {
			continue
		}
		l, err := c.pickFailure(x, k)
		if err != nil {
			return err
		}
		if err := c.runFailure(x, l); err != nil {
			return err
		}
	}
	return nil
}

// wanted reports whether a selected figure needs failures of this kind. The
// counts of orders need all kinds.
func (c *gapsCommand) wanted(kind string) bool {
	return c.Figures == "" || strings.Contains(c.Figures, "gap-"+kind) || strings.Contains(c.Figures, "orders-") ||
		strings.Contains(c.Figures, "wrong-answers") || strings.Contains(c.Figures, "false-not-run")
}

// observationTimeOf returns how long a failure is observed.
func observationTimeOf(kind string) time.Duration {
	if kind == "both" {
		return observationTimeBoth
	}
	return observationTime
}

// pickFailure picks the victims of a failure at random.
func (c *gapsCommand) pickFailure(x context.Context, kind string) (failure, error) {
	l := failure{kind: kind}
	if kind == "domain" {
		d := c.layout.Instances[c.random.IntN(len(c.layout.Instances))].Domain
		for _, i := range c.layout.Instances {
			if i.Domain == d {
				l.instances = append(l.instances, i.ID)
			}
		}
		for _, s := range c.layout.Services {
			for _, u := range s.Upstreams {
				if u.Domain == d {
					l.upstreams = append(l.upstreams, u.Name)
				}
			}
		}
		return l, nil
	}
	_, instances := c.layout.homes(x)
	q := c.layout.Services[0]
	u := q.Upstreams[c.random.IntN(len(q.Upstreams))].Name
	h, ok := instances[c.layout.Organisation+"/"+q.Name+"/"+u]
	if !ok {
		return l, errors.Newf("upstream %s has no home", u)
	}
	if kind != "home" {
		l.upstreams = []string{u}
	}
	if kind != "upstream" {
		l.instances = []string{h}
	}
	return l, nil
}

// runFailure kills the victims, measures the gaps, has the processes started
// again and waits until all shards are served.
func (c *gapsCommand) runFailure(x context.Context, l failure) error {
	// A failure of both is measured on the keys of the upstream alone; the other
	// keys of the home have lost only their home.
	affected := func(u, _ string) bool { return slices.Contains(l.upstreams, u) }
	if l.kind != "both" {
		affected = func(u, h string) bool { return slices.Contains(l.upstreams, u) || slices.Contains(l.instances, h) }
	}
	keys := c.probes.served(affected)
	begin := time.Now()
	if err := c.kill(l); err != nil {
		return err
	}
	time.Sleep(observationTimeOf(l.kind))
	end := time.Now()
	g := c.probes.gaps(keys, begin, end)
	c.failures[l.kind]++
	for _, d := range g {
		c.gaps[l.kind] = append(c.gaps[l.kind], d)
		if d >= observationTimeOf(l.kind) {
			c.unserved[l.kind]++
		}
	}
	fmt.Fprintf(os.Stderr, "loss of %s, instances %v, upstreams %v: %d keys, median %s, longest %s\n",
		l.kind, l.instances, l.upstreams, len(g), percentile(g, 0.5).Round(time.Millisecond), percentile(g, 1).Round(time.Millisecond))
	if percentile(g, 1) > targetGap {
		c.layout.saveTimeline(x, fmt.Sprintf("timeline-%s-%d.txt", l.kind, c.failures[l.kind]), begin)
	}
	if err := c.restore(l); err != nil {
		return err
	}
	y, f := context.WithTimeout(x, recoveryLimit)
	defer f()
	time.Sleep(settleTime)
	if err := c.layout.waitServed(y); err != nil {
		fmt.Fprintf(os.Stderr, "after the loss of %s: %v\n", l.kind, err)
	}
	time.Sleep(settleTime)
	return nil
}

func (c *gapsCommand) report() error {
	o := newPrinter(c.common)
	for _, k := range []string{"upstream", "home", "both", "domain"} {
		if c.failures[k] == 0 {
			continue
		}
		n := fmt.Sprintf("%d keys in %d losses; a request for each key every %s; median %.0f ms, longest %.0f ms",
			len(c.gaps[k]), c.failures[k], probeInterval, ms(percentile(c.gaps[k], 0.5)), ms(percentile(c.gaps[k], 1)))
		if k == "both" {
			n += fmt.Sprintf("; hold-time %s, which the rules add to the recovery", gapHold)
		}
		if m := c.unserved[k]; m > 0 {
			n += fmt.Sprintf("; %d keys were not served again within %s, so that the value is a lower bound", m, observationTimeOf(k))
		}
		o.print("gap-"+k+"-p99-ms", ms(percentile(c.gaps[k], 0.99)), "ms", n)
	}
	r, err := readRuns(loopbackAddress(controlPort))
	if err != nil {
		return err
	}
	t := countViolations(c.orders.all(), r.Orders)
	t.Requests = c.probes.total() + t.Orders
	t.Wrong = c.probes.wrong() + c.orders.wrong()
	return t.save(c.Counts)
}
