package subcmd

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"

	"dandelionrock.example/dandelionrock/event"
	"dandelionrock.example/dandelionrock/internal/admin"
	"github.com/cockroachdb/errors"
)

type status struct {
	r        *run
	Instance string `long:"instance" value-name:"URL" required:"yes" description:"HTTP address of an instance"`
	Format   string `long:"format" choice:"text" choice:"json" default:"text" description:"Form of the output"`
	callOptions
	operatorOptions
}

// Execute implements flags.Commander.
func (s *status) Execute([]string) error {
	k, err := s.credential(s.r)
	if err != nil {
		return err
	}
	c, err := s.client(s.Instance, k)
	if err != nil {
		return err
	}
	v, err := c.Status(s.r.context)
	if err != nil {
		return err
	}
	if s.Format == "json" {
		e := json.NewEncoder(s.r.Out)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	return writeStatus(s.r.Out, v)
}

// writeStatus writes v as aligned text.
func writeStatus(out io.Writer, v admin.Status) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	state := "not ready"
	if v.Leaving {
		state = "leaving"
	} else if v.Ready {
		state = "ready"
	}
	fmt.Fprintf(w, "instance\t%s\nincarnation\t%s\nregion\t%s\nfailure domain\t%s\nstate\t%s\nversions\t%s\n",
		v.InstanceID, v.Incarnation, v.Region, v.FailureDomain, state, formatVersions(v.ConfigVersions))
	fmt.Fprint(w, "\nPEER\tSTATE\tVERSIONS\n")
	for _, p := range v.Peers {
		fmt.Fprintf(w, "%s\t%s\t%s\n", p.InstanceID, p.State, formatVersions(p.ConfigVersions))
	}
	fmt.Fprint(w, "\nHOME\tTERM\tSTATE\tSHARDS\tIN FLIGHT\tQUEUED\n")
	for _, h := range v.Homes {
		fmt.Fprintf(w, "%s/%s/%s\t%d\t%s\t%d\t%d\t%d\n",
			h.Organisation, h.Service, h.Upstream, h.Term, h.State, h.Shards, h.InFlight, h.Queued)
	}
	return w.Flush()
}

// formatVersions returns the versions as "organisation=version", ordered by
// organisation.
func formatVersions(m map[string]uint64) string {
	var a []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		a = append(a, fmt.Sprintf("%s=%d", k, m[k]))
	}
	if len(a) == 0 {
		return "-"
	}
	return strings.Join(a, " ")
}

type timeline struct {
	r         *run
	Instances []string `long:"instance" value-name:"URL" required:"yes" description:"HTTP address of an instance; may be repeated"`
	Format    string   `long:"format" choice:"text" choice:"json" default:"text" description:"Form of the output; json is one object a line"`
	callOptions
	operatorOptions
}

// Execute implements flags.Commander.
func (t *timeline) Execute([]string) error {
	lists := make([][]event.Event, len(t.Instances))
	notes, errs := make([]string, len(t.Instances)), make([]error, len(t.Instances))
	k, err := t.credential(t.r)
	if err != nil {
		return err
	}
	var g sync.WaitGroup
	for i, u := range t.Instances {
		c, err := t.client(u, k)
		if err != nil {
			return err
		}
		g.Go(func() {
			var n uint64
			if lists[i], n, errs[i] = c.Timeline(t.r.context); n > 0 {
				notes[i] = fmt.Sprintf("%s has overwritten its oldest events: %d\n", u, n)
			}
			errs[i] = errors.Wrap(errs[i], u)
		})
	}
	g.Wait()
	write := event.WriteText
	if t.Format == "json" {
		write = event.WriteJSON
	}
	fmt.Fprint(t.r.Err, strings.Join(notes, ""))
	return errors.Join(append(errs, write(t.r.Out, event.Merge(lists...)))...)
}
