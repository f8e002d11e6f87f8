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
	// observe is the time after a loss in which answers count, observeBoth the
	// one after a loss for which the hold time has to pass.
	observe     = 2500 * time.Millisecond
	observeBoth = gapHold + 3*time.Second
	// recoverLimit bounds the wait for all shards after the lost processes run
	// again.
	recoverLimit = 8 * time.Second
	calm         = 700 * time.Millisecond
	// targetGap is the gap above which the events are kept for an explanation.
	targetGap = time.Second
)

type gapsCommand struct {
	common
	layout *layout
	random *rand.Rand
	probes *probes
	orders *orders
	// gaps are those of the keys that each kind of loss concerned.
	gaps map[string][]time.Duration
	// capped counts keys that were not served again while observed.
	capped map[string]int
	losses map[string]int
}

// loss is one experiment.
type loss struct {
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
	c.gaps, c.capped, c.losses = map[string][]time.Duration{}, map[string]int{}, map[string]int{}
	x, stop := context.WithCancel(context.Background())
	defer stop()
	c.probes, c.orders = newProbes(c.layout, c.Seed), newOrders(c.layout, c.Seed)
	c.probes.start(x)
	c.orders.start(x)
	err = c.losing(x)
	stop()
	c.probes.wait()
	c.orders.wait()
	if err != nil {
		return err
	}
	return c.report()
}

// losing causes the losses one after another.
func (c *gapsCommand) losing(x context.Context) error {
	time.Sleep(calm)
	if err := c.restart(x); err != nil {
		return err
	}
	for _, k := range []string{"upstream", "home", "both", "domain", "upstream", "home", "both", "upstream", "home"} {
		if !c.wanted(k) {
			continue
		}
		l, err := c.choose(x, k)
		if err != nil {
			return err
		}
		if err := c.lose(x, l); err != nil {
			return err
		}
	}
	return nil
}

// wanted reports whether a figure needs losses of this kind. The counts of
// orders need all of them.
func (c *gapsCommand) wanted(kind string) bool {
	return c.Figures == "" || strings.Contains(c.Figures, "gap-"+kind) || strings.Contains(c.Figures, "orders-") ||
		strings.Contains(c.Figures, "wrong-answers") || strings.Contains(c.Figures, "false-not-run")
}

// span returns how long a loss is observed.
func span(kind string) time.Duration {
	if kind == "both" {
		return observeBoth
	}
	return observe
}

// choose picks the victims.
func (c *gapsCommand) choose(x context.Context, kind string) (loss, error) {
	l := loss{kind: kind}
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
	_, at := c.layout.homes(x)
	q := c.layout.Services[0]
	u := q.Upstreams[c.random.IntN(len(q.Upstreams))].Name
	h, ok := at[c.layout.Organisation+"/"+q.Name+"/"+u]
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

// lose causes a loss, measures it and lets the processes be started again.
func (c *gapsCommand) lose(x context.Context, l loss) error {
	// A loss of both concerns the keys of the upstream; the other keys of the
	// home have only lost their home.
	concerned := func(u, _ string) bool { return slices.Contains(l.upstreams, u) }
	if l.kind != "both" {
		concerned = func(u, h string) bool { return slices.Contains(l.upstreams, u) || slices.Contains(l.instances, h) }
	}
	keys := c.probes.served(concerned)
	begin := time.Now()
	if err := c.kill(l); err != nil {
		return err
	}
	time.Sleep(span(l.kind))
	end := time.Now()
	g := c.probes.gaps(keys, begin, end)
	c.losses[l.kind]++
	for _, d := range g {
		c.gaps[l.kind] = append(c.gaps[l.kind], d)
		if d >= span(l.kind) {
			c.capped[l.kind]++
		}
	}
	fmt.Fprintf(os.Stderr, "loss of %s, instances %v, upstreams %v: %d keys, median %s, longest %s\n",
		l.kind, l.instances, l.upstreams, len(g), percentile(g, 0.5).Round(time.Millisecond), percentile(g, 1).Round(time.Millisecond))
	if percentile(g, 1) > targetGap {
		c.layout.saveTimeline(x, fmt.Sprintf("timeline-%s-%d.txt", l.kind, c.losses[l.kind]), begin)
	}
	if err := c.revive(l); err != nil {
		return err
	}
	y, f := context.WithTimeout(x, recoverLimit)
	defer f()
	time.Sleep(calm)
	if err := c.layout.settled(y); err != nil {
		fmt.Fprintf(os.Stderr, "after the loss of %s: %v\n", l.kind, err)
	}
	time.Sleep(calm)
	return nil
}

func (c *gapsCommand) report() error {
	o := newPrinter(c.common)
	for _, k := range []string{"upstream", "home", "both", "domain"} {
		if c.losses[k] == 0 {
			continue
		}
		n := fmt.Sprintf("%d keys in %d losses; a request for each key every %s; median %.0f ms, longest %.0f ms",
			len(c.gaps[k]), c.losses[k], probeInterval, ms(percentile(c.gaps[k], 0.5)), ms(percentile(c.gaps[k], 1)))
		if k == "both" {
			n += fmt.Sprintf("; hold-time %s, which the rules add to the recovery", gapHold)
		}
		if m := c.capped[k]; m > 0 {
			n += fmt.Sprintf("; %d keys were not served again within %s, so that the value is a lower bound", m, span(k))
		}
		o.print("gap-"+k+"-p99-ms", ms(percentile(c.gaps[k], 0.99)), "ms", n)
	}
	r, err := runs(at(controlPort))
	if err != nil {
		return err
	}
	t := check(c.orders.placed(), r.Orders)
	t.Requests = c.probes.total() + t.Orders
	t.Wrong = c.probes.wrong() + c.orders.wrong()
	return t.save(c.Counts)
}
