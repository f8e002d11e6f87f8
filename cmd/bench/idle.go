package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionrock.example/dandelionrock/event"
	"dandelionrock.example/dandelionrock/internal/stub"
)

const (
	// idleSettleTime is the time after the start before the measurement begins,
	// idleTime the duration of the measurement.
	idleSettleTime = 3 * time.Second
	idleTime       = 8 * time.Second
	// convergeSubmits is the number of configurations that are submitted, with a
	// pause after each.
	convergeSubmits = 16
	convergePause   = 400 * time.Millisecond
)

type idleCommand struct {
	common
	layout *layout
}

// Execute implements flags.Commander.
func (c *idleCommand) Execute([]string) error {
	var err error
	if c.layout, err = readLayout(c.Dir); err != nil {
		return err
	}
	time.Sleep(idleSettleTime)
	if err := c.idle(); err != nil {
		return err
	}
	return c.converge()
}

// idle measures the resource usage of the instances without requests.
func (c *idleCommand) idle() error {
	s, err := platformStats()
	if err != nil {
		return err
	}
	a, err := c.usages()
	if err != nil {
		return err
	}
	begin := time.Now()
	time.Sleep(idleTime)
	b, err := c.usages()
	if err != nil {
		return err
	}
	elapsed := time.Since(begin).Seconds()
	t, err := platformStats()
	if err != nil {
		return err
	}
	var cpu, memory, control, read []float64
	for i := range a {
		cpu = append(cpu, 100*(b[i].cpu-a[i].cpu).Seconds()/elapsed)
		memory = append(memory, float64(b[i].memory)/1e6)
		control = append(control, float64(b[i].read+b[i].written-a[i].read-a[i].written)/elapsed)
		read = append(read, float64(b[i].read-a[i].read)/elapsed)
	}
	o, n := newPrinter(c.common), fmt.Sprintf("highest of %d instances; median ", len(a))
	o.print("idle-cpu-percent", slices.Max(cpu), "percent of a core", n+fmt.Sprintf("%.2f", median(cpu)))
	o.print("idle-memory-mb", slices.Max(memory), "MB", n+fmt.Sprintf("%.1f", median(memory))+"; resident size")
	o.print("control-bytes-per-s", slices.Max(control), "bytes/s", n+fmt.Sprintf("%.0f, of which %.0f received; "+
		"bytes sent and received by read and write calls (/proc/PID/io), without headers of TCP and IP", median(control), median(read)))
	p := fmt.Sprintf("all %d instances; items, mean of %s", len(a), idleTime)
	o.print("store-writes-per-s", float64(t.Writes-s.Writes)/elapsed, "writes/s", p)
	o.print("store-reads-per-s", float64(t.Reads-s.Reads)/elapsed, "reads/s", p)
	return nil
}

func (c *idleCommand) usages() ([]usage, error) {
	var l []usage
	for _, i := range c.layout.Instances {
		p, err := processID(c.Dir, i.ID)
		if err != nil {
			return nil, err
		}
		u, err := readUsage(p)
		if err != nil {
			return nil, err
		}
		l = append(l, u)
	}
	return l, nil
}

// platformStats reads the numbers of reads and writes of the store.
func platformStats() (stub.Stats, error) {
	var s stub.Stats
	c := http.Client{Timeout: 5 * time.Second}
	r, err := c.Get("http://" + loopbackAddress(platformPort) + "/stats")
	if err != nil {
		return s, err
	}
	defer func() { _ = r.Body.Close() }()
	return s, json.NewDecoder(r.Body).Decode(&s)
}

// converge submits configurations, and measures the time from the acceptance
// of each until it is in force at each instance.
func (c *idleCommand) converge() error {
	x, f := context.WithTimeout(context.Background(), 40*time.Second)
	defer f()
	since := time.Now()
	for n := range convergeSubmits {
		i := c.layout.Instances[(n*5+int(c.Seed))%len(c.layout.Instances)]
		o := []string{"guild", "cooperative"}[n%2]
		b, err := os.ReadFile(c.layout.path(c.layout.Texts[o]))
		if err != nil {
			return err
		}
		k := c.layout.operator(i, o)
		v, err := k.Config(x, o)
		if err != nil {
			return err
		}
		b = fmt.Appendf(b, "# Submitted by the bench as change %d.\n", n)
		if _, err := k.Submit(x, o, b, v.Version); err != nil {
			return errors.Wrapf(err, "submit %d", n)
		}
		time.Sleep(convergePause)
	}
	time.Sleep(2 * time.Second)
	d, missing := convergenceTimes(c.layout.timeline(x, since), len(c.layout.Instances))
	n := fmt.Sprintf("%d submits at 12 instances; median %.0f ms, longest %.0f ms; %d not in force within 2 s of the last submit",
		convergeSubmits, ms(percentile(d, 0.5)), ms(percentile(d, 1)), missing)
	v := ms(percentile(d, 0.99))
	if missing > 0 {
		v = math.NaN()
	}
	newPrinter(c.common).print("config-converge-p99-ms", v, "ms", n)
	return nil
}

// convergenceTimes returns the times from the acceptance of each version of a
// configuration until that version or a higher one is in force at each of n
// instances, and the number of pairs of version and instance where none is.
func convergenceTimes(l []event.Event, n int) ([]time.Duration, int) {
	var r []time.Duration
	missing := 0
	for _, a := range l {
		if a.Kind != "config-accepted" {
			continue
		}
		first := map[string]time.Time{}
		for _, e := range l {
			if e.Kind != "config-in-force" || e.Subject != a.Subject || version(e) < version(a) {
				continue
			}
			t := event.Time(e.Clock)
			if o, ok := first[e.InstanceID]; !ok || t.Before(o) {
				first[e.InstanceID] = t
			}
		}
		for _, t := range first {
			r = append(r, max(0, t.Sub(event.Time(a.Clock))))
		}
		missing += n - len(first)
	}
	return r, missing
}
