package main

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// One-way latencies between failure domains of one region and between regions, as
// in docs/design.md, section 1.2.
const (
	domainDelay = time.Millisecond
	regionDelay = 20 * time.Millisecond
)

// gapHold is the hold time in the measurement of failures. The default of 15 min,
// which the example configurations use, is too long to measure.
const gapHold = time.Second

type setupCommand struct {
	Dir  string `long:"dir" required:"yes" description:"directory to write to"`
	Args struct {
		Experiment string `positional-arg-name:"EXPERIMENT" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *setupCommand) Execute([]string) error {
	if err := os.MkdirAll(c.Dir, 0o700); err != nil {
		return err
	}
	l := &layout{Dir: c.Dir, Organisation: "bench", Accounts: []string{"desk"}}
	f, ok := map[string]func() error{
		"throughput": l.throughput, "gaps": l.gaps, "overload": l.overload, "idle": l.idle,
	}[c.Args.Experiment]
	if !ok {
		return fmt.Errorf("experiment %q has no deployment", c.Args.Experiment)
	}
	if err := f(); err != nil {
		return err
	}
	for _, s := range l.Services {
		l.Shards += s.Shards
		l.Homes += len(s.Upstreams)
	}
	return l.write()
}

// throughput has two instances, an entry and a home, so that each request takes
// two hops, and the bare path with the same upstreams.
func (l *layout) throughput() error {
	// The home is the first in the list and the only instance in the region of the
	// upstreams.
	l.addInstance("south", "south-a")
	l.addInstance("north", "north-a")
	s := service{
		Name: "lookups", Idempotent: true, Shards: 256, Slots: 64, Hold: "15m", Evacuate: "0s",
		Flags: "--service-time 0s --queue 256 --connections 0",
	}
	l.addUpstreams(&s, 8, "all", []string{"south"}, []string{"b"})
	l.Services = []service{s}
	b := "bench bare-home --address " + loopbackAddress(bareHomePort)
	for _, u := range s.Upstreams {
		b += " --upstream " + u.Address
	}
	l.addProcess("bare-home", b)
	l.addProcess("bare-entry", "bench bare-entry --address "+loopbackAddress(bareEntryPort)+" --home "+loopbackAddress(bareHomePort))
	// The upstreams don't check tokens, since the bare path sends none.
	return l.addGroup(s, "none")
}

// addGroup adds the process that simulates all upstreams of a service.
func (l *layout) addGroup(s service, fencing string) error {
	var b strings.Builder
	for _, u := range s.Upstreams {
		fmt.Fprintf(&b, "[[upstreams]]\nname = %q\naddress = %q\nregion = %q\nfailure-domain = %q\nfencing = %q\nslots = %d\n",
			u.Name, u.Address, u.Region, u.Domain, fencing, s.Slots)
	}
	p := l.path(s.Name + "-upstreams.toml")
	l.addProcess(s.Name, fmt.Sprintf("standin upstream --config %s --control %s %s", p, loopbackAddress(controlPort), s.Flags))
	return l.writeFile(s.Name+"-upstreams.toml", b.String())
}

// addUpstreams adds n upstreams to a service, in turn in each region and failure
// domain. process is the process that simulates them; if it is empty, each has a
// process of its own.
func (l *layout) addUpstreams(s *service, n int, process string, regions, domains []string) {
	first := upstreamPort
	for _, o := range l.Services {
		first += len(o.Upstreams)
	}
	for i := range n {
		r := regions[i%len(regions)]
		u := upstream{
			Name: fmt.Sprintf("%s-%02d", strings.TrimSuffix(s.Name, "s"), i+1), Address: loopbackAddress(first + i),
			Region: r, Domain: r + "-" + domains[i/len(regions)%len(domains)], Process: process,
		}
		if process == "" {
			u.Process = u.Name
		}
		s.Upstreams = append(s.Upstreams, u)
	}
}

// gaps has two instances in each of six failure domains, 16 upstreams for quotes
// in processes of their own, and 12 for orders in one process, which keeps its
// counts of executions when it simulates failures. Six more upstreams, for stocks,
// have the evacuate-after of the cooperative, for the restart of an upstream.
func (l *layout) gaps() error {
	l.PlatformDelay, l.near, l.far = regionDelay, domainDelay, regionDelay
	r, d := []string{"hobart", "launceston", "burnie"}, []string{"a", "b"}
	for range 2 {
		for _, x := range r {
			for _, y := range d {
				l.addInstance(x, x+"-"+y)
			}
		}
	}
	f := "--service-time 2ms --delay " + domainDelay.String()
	q := service{Name: "quotes", Idempotent: true, Shards: 256, Slots: 2, Hold: gapHold.String(), Evacuate: "0s", Flags: f}
	l.addUpstreams(&q, 16, "", r, d)
	l.Services = append(l.Services, q)
	o := service{Name: "orders", Shards: 256, Slots: 2, Hold: gapHold.String(), Evacuate: "0s", Flags: f}
	l.addUpstreams(&o, 12, "orders", r, d)
	l.Services = append(l.Services, o)
	k := service{Name: "stocks", Idempotent: true, Shards: 256, Slots: 2, Hold: gapHold.String(), Evacuate: restartEvacuateAfter, Flags: f}
	l.addUpstreams(&k, 6, "", r, d)
	l.Services = append(l.Services, k)
	for _, u := range append(q.Upstreams, k.Upstreams...) {
		l.addProcess(u.Process, fmt.Sprintf("standin upstream --name %s --address %s --fencing checked --slots 2 %s", u.Name, u.Address, f))
	}
	return l.addGroup(o, "checked")
}

// overload has few slots, so that little load exceeds the capacity.
func (l *layout) overload() error {
	l.near = domainDelay
	for _, d := range []string{"a", "b", "c"} {
		l.addInstance("hobart", "hobart-"+d)
	}
	l.Accounts = []string{"quiet-1", "quiet-2", "quiet-3", "quiet-4", "loud"}
	s := service{
		Name: "lookups", Idempotent: true, Shards: 256, Slots: 2, Hold: "15m", Evacuate: "0s",
		Flags: "--service-time " + overloadServiceTime.String() + " --delay " + domainDelay.String(),
	}
	l.addUpstreams(&s, 4, "all", []string{"hobart"}, []string{"a", "b", "c"})
	l.Services = []service{s}
	return l.addGroup(s, "checked")
}

// exampleAddress matches the address of an upstream in an example configuration:
// its port is 21 or 22, by organisation, then 0 and a number of two digits.
var exampleAddress = regexp.MustCompile(`"127\.0\.0\.1:2([12])0(\d\d)"`)

// idle has 12 instances in the failure domains of both example configurations,
// whose upstreams get other ports.
func (l *layout) idle() error {
	l.PlatformDelay, l.near, l.far = regionDelay, domainDelay, regionDelay
	for _, r := range []string{"hobart", "launceston", "burnie", "fes", "marrakech", "agadir"} {
		l.addInstance(r, r+"-a")
		l.addInstance(r, r+"-b")
	}
	l.Texts = map[string]string{}
	for i, o := range []string{"guild", "cooperative"} {
		b, err := os.ReadFile(filepath.Join("examples", o+".toml"))
		if err != nil {
			return err
		}
		t := exampleAddress.ReplaceAllStringFunc(string(b), func(s string) string {
			m := exampleAddress.FindStringSubmatch(s)
			n, _ := strconv.Atoi(m[2])
			return strconv.Quote(loopbackAddress(upstreamPort + 100*i + n))
		})
		l.Texts[o] = o + ".toml"
		l.Homes += strings.Count(t, "slots = ")
		l.Shards += 256 * strings.Count(t, "shard-count = 256")
		if err := l.writeFile(o+".toml", t); err != nil {
			return err
		}
		l.addProcess(o+"-upstreams", "standin upstream --config "+l.path(o+".toml")+" --delay "+domainDelay.String())
	}
	return nil
}
