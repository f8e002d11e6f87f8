package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionrock.example/dandelionrock/internal/admin"
)

type waitCommand struct {
	Dir   string        `long:"dir" required:"yes" description:"directory of the deployment"`
	Limit time.Duration `long:"limit" default:"20s" description:"longest wait"`
}

// Execute implements flags.Commander. It submits the configurations and waits
// until all shards are served.
func (c *waitCommand) Execute([]string) error {
	l, err := readLayout(c.Dir)
	if err != nil {
		return err
	}
	x, f := context.WithTimeout(context.Background(), c.Limit)
	defer f()
	for o, p := range l.Texts {
		b, err := os.ReadFile(l.path(p))
		if err != nil {
			return err
		}
		if err := l.submitFirst(x, o, b); err != nil {
			return err
		}
	}
	if err := l.waitServed(x); err != nil {
		l.saveTimeline(context.Background(), "timeline-start.txt", time.Time{})
		return err
	}
	return nil
}

// submitFirst submits a configuration as version 1. It retries until an instance
// accepts the text or x is done.
func (l *layout) submitFirst(x context.Context, organisation string, text []byte) error {
	for {
		_, err := l.operator(l.Instances[0], organisation).Submit(x, organisation, text, 0)
		if err == nil || !errors.Is(err, admin.ErrNotRun) {
			return err
		}
		var o *net.OpError
		if !errors.As(err, &o) {
			fmt.Fprintf(os.Stderr, "submit of %s: %v\n", organisation, err)
		}
		if !sleep(x, 50*time.Millisecond) {
			return errors.Wrap(err, organisation)
		}
	}
}

// sleep waits for d. It returns false if x is done first.
func sleep(x context.Context, d time.Duration) bool {
	select {
	case <-x.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (l *layout) operator(i instance, organisation string) *admin.Client {
	return &admin.Client{URL: "http://" + i.HTTP, Credential: operatorCredential + organisation}
}

// homes returns the home of the highest term of each upstream, and the id of its
// instance. The keys have the form "organisation/service/upstream".
func (l *layout) homes(x context.Context) (map[string]admin.Home, map[string]string) {
	h, instances := map[string]admin.Home{}, map[string]string{}
	for _, i := range l.Instances {
		for _, y := range l.homesAt(x, i) {
			k := y.Organisation + "/" + y.Service + "/" + y.Upstream
			if o, ok := h[k]; !ok || o.Term < y.Term {
				h[k], instances[k] = y, i.ID
			}
		}
	}
	return h, instances
}

// homesAt returns the homes at an instance. It asks for each organisation, since
// an operator sees only the homes of one.
func (l *layout) homesAt(x context.Context, i instance) []admin.Home {
	var r []admin.Home
	for o := range l.Texts {
		c, f := context.WithTimeout(x, time.Second)
		s, err := l.operator(i, o).Status(c)
		f()
		if err != nil {
			return nil
		}
		r = append(r, s.Homes...)
	}
	return r
}

// waitServed waits until all homes run and serve all shards. There may be more
// shards than configured, since hot keys get shards of their own.
func (l *layout) waitServed(x context.Context) error {
	for {
		h, _ := l.homes(context.WithoutCancel(x))
		n := 0
		for _, y := range h {
			if y.State == "serving" {
				n += y.Shards
			}
		}
		if n >= l.Shards && len(h) == l.Homes && len(states(h)) == 1 {
			return nil
		}
		if !sleep(x, 50*time.Millisecond) {
			return errors.Newf("%d of %d shards are served; homes by state: %v", n, l.Shards, states(h))
		}
	}
}

// states describes the number of homes and shards in each state, and lists the
// homes without shards.
func states(h map[string]admin.Home) []string {
	homes, shards := map[string]int{}, map[string]int{}
	for _, y := range h {
		homes[y.State]++
		shards[y.State] += y.Shards
	}
	var s []string
	for k, y := range h {
		if y.Shards == 0 {
			s = append(s, k+" without shards")
		}
	}
	for k, m := range homes {
		s = append(s, fmt.Sprintf("%s: %d homes with %d shards", k, m, shards[k]))
	}
	slices.Sort(s)
	return s
}
