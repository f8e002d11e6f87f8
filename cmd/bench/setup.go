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

// Latencies of section 1.2 of the design.
const (
	domainDelay = time.Millisecond
	regionDelay = 20 * time.Millisecond
)

// gapHold is the hold time in the measurement of losses. The sample
// configurations leave it at 15 min, for which nothing can be measured.
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
		"throughput": l.pair, "gaps": l.regions, "overload": l.narrow, "idle": l.samples,
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

// pair has an entry and a home, so that a request takes two hops, and the bare
// path beside them, with the same upstreams.
func (l *layout) pair() error {
	// The home comes first in the list and is alone in the region of the
	// upstreams.
	l.addInstance("south", "south-a")
	l.addInstance("north", "north-a")
	s := service{
		Name: "lookups", Idempotent: true, Shards: 256, Slots: 64, Hold: "15m", Evacuate: "0s",
		Flags: "--service-time 0s --queue 256 --connections 0",
	}
	l.upstreams(&s, 8, "all", []string{"south"}, []string{"b"})
	l.Services = []service{s}
	b := "bench bare-home --address " + at(bareHomePort)
	for _, u := range s.Upstreams {
		b += " --upstream " + u.Address
	}
	l.process("bare-home", b)
	l.process("bare-entry", "bench bare-entry --address "+at(bareEntryPort)+" --home "+at(bareHomePort))
	// The bare path sends no tokens.
	return l.group(s, "none")
}

// group adds the process that plays all upstreams of a service.
func (l *layout) group(s service, fencing string) error {
	var b strings.Builder
	for _, u := range s.Upstreams {
		fmt.Fprintf(&b, "[[upstreams]]\nname = %q\naddress = %q\nregion = %q\nfailure-domain = %q\nfencing = %q\nslots = %d\n",
			u.Name, u.Address, u.Region, u.Domain, fencing, s.Slots)
	}
	p := l.path(s.Name + "-upstreams.toml")
	l.process(s.Name, fmt.Sprintf("standin upstream --config %s --control %s %s", p, at(controlPort), s.Flags))
	return l.put(s.Name+"-upstreams.toml", b.String())
}

// upstreams adds upstreams, in turn in each region and failure domain. Process
// names the one that plays them; if it is empty, each has its own.
func (l *layout) upstreams(s *service, n int, process string, regions, domains []string) {
	first := upstreamPort
	for _, o := range l.Services {
		first += len(o.Upstreams)
	}
	for i := range n {
		r := regions[i%len(regions)]
		u := upstream{
			Name: fmt.Sprintf("%s-%02d", strings.TrimSuffix(s.Name, "s"), i+1), Address: at(first + i),
			Region: r, Domain: r + "-" + domains[i/len(regions)%len(domains)], Process: process,
		}
		if process == "" {
			u.Process = u.Name
		}
		s.Upstreams = append(s.Upstreams, u)
	}
}

// regions has two instances in each of six failure domains, 16 upstreams for
// lookups in processes of their own, and 12 for orders in one process, whose
// counts of runs therefore survive the losses that it plays. Six more have the
// cooperative's setting for restarts.
func (l *layout) regions() error {
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
	l.upstreams(&q, 16, "", r, d)
	l.Services = append(l.Services, q)
	o := service{Name: "orders", Shards: 256, Slots: 2, Hold: gapHold.String(), Evacuate: "0s", Flags: f}
	l.upstreams(&o, 12, "orders", r, d)
	l.Services = append(l.Services, o)
	k := service{Name: "stocks", Idempotent: true, Shards: 256, Slots: 2, Hold: gapHold.String(), Evacuate: patientEvacuate, Flags: f}
	l.upstreams(&k, 6, "", r, d)
	l.Services = append(l.Services, k)
	for _, u := range append(q.Upstreams, k.Upstreams...) {
		l.process(u.Process, fmt.Sprintf("standin upstream --name %s --address %s --fencing checked --slots 2 %s", u.Name, u.Address, f))
	}
	return l.group(o, "checked")
}

// narrow has few slots, so that little load exceeds the capacity.
func (l *layout) narrow() error {
	l.near = domainDelay
	for _, d := range []string{"a", "b", "c"} {
		l.addInstance("hobart", "hobart-"+d)
	}
	l.Accounts = []string{"quiet-1", "quiet-2", "quiet-3", "quiet-4", "loud"}
	s := service{
		Name: "lookups", Idempotent: true, Shards: 256, Slots: 2, Hold: "15m", Evacuate: "0s",
		Flags: "--service-time " + overloadService.String() + " --delay " + domainDelay.String(),
	}
	l.upstreams(&s, 4, "all", []string{"hobart"}, []string{"a", "b", "c"})
	l.Services = []service{s}
	return l.group(s, "checked")
}

// sampleAddress is an address of a sample configuration: 21 or 22 for the
// organisation, then a number.
var sampleAddress = regexp.MustCompile(`"127\.0\.0\.1:2([12])0(\d\d)"`)

// samples has 12 instances in the failure domains of both sample
// configurations, with other ports.
func (l *layout) samples() error {
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
		t := sampleAddress.ReplaceAllStringFunc(string(b), func(s string) string {
			m := sampleAddress.FindStringSubmatch(s)
			n, _ := strconv.Atoi(m[2])
			return strconv.Quote(at(upstreamPort + 100*i + n))
		})
		l.Texts[o] = o + ".toml"
		l.Homes += strings.Count(t, "slots = ")
		l.Shards += 256 * strings.Count(t, "shard-count = 256")
		if err := l.put(o+".toml", t); err != nil {
			return err
		}
		l.process(o+"-upstreams", "standin upstream --config "+l.path(o+".toml")+" --delay "+domainDelay.String())
	}
	return nil
}
