package fleet

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
)

// Service tells how requests for a service are served.
type Service struct {
	// Name is empty for requests that were refused before their service was known.
	Name string `json:"service"`
	// Requests of clients since the start of the instances: answered within the latency
	// objective, answered later, not served, by reason, and of all those the ones that were
	// not a client's first try.
	Answered uint64            `json:"answered"`
	Late     uint64            `json:"late"`
	Unserved map[string]uint64 `json:"unserved,omitempty"`
	Returned uint64            `json:"returned"`
	// Running and Waiting are the requests at targets now, and those that wait for these.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Reduced holds the targets that get fewer requests now than they have slots.
	Reduced []Target `json:"reduced,omitempty"`
}

// Target is a target that gets fewer requests now than it has slots.
type Target struct {
	ID string `json:"target"`
	// Home is the instance that sends requests to the target.
	Home    string `json:"home"`
	Slots   int    `json:"slots"`
	Running int    `json:"running"`
	// ServiceMs is the mean service time in milliseconds; 0 if it is not known.
	ServiceMs int64 `json:"service-ms"`
	// Limit is the rate in requests per second that the target takes, or nil.
	Limit  *float64 `json:"limit,omitempty"`
	Reason string   `json:"reason"`
}

// sum returns the services of all instances, by name, with the targets by id.
func sum(is []Instance) []Service {
	m := map[string]*Service{}
	for _, i := range is {
		for _, s := range i.Services {
			t := m[s.Name]
			if t == nil {
				t = &Service{Name: s.Name, Unserved: map[string]uint64{}}
				m[s.Name] = t
			}
			t.Answered += s.Answered
			t.Late += s.Late
			t.Returned += s.Returned
			t.Running += s.Running
			t.Waiting += s.Waiting
			for r, n := range s.Unserved {
				t.Unserved[r] += n
			}
			t.Reduced = append(t.Reduced, s.Reduced...)
		}
	}
	var out []Service
	for _, n := range slices.Sorted(maps.Keys(m)) {
		slices.SortFunc(m[n].Reduced, func(a, b Target) int { return cmp.Or(strings.Compare(a.ID, b.ID), strings.Compare(a.Home, b.Home)) })
		out = append(out, *m[n])
	}
	return out
}

// writeServices writes a table of the services, and one of their reduced targets if there
// are any.
func writeServices(out io.Writer, services []Service) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprint(w, "\nSERVICE\tANSWERED\tLATE\tUNSERVED\tRETURNED\tRUNNING\tWAITING\tUNSERVED BECAUSE OF\n")
	reduced := false
	for _, s := range services {
		n, why := s.unserved()
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", cmp.Or(s.Name, "-"), s.Answered, s.Late, n, s.Returned, s.Running, s.Waiting, cmp.Or(why, "-"))
		reduced = reduced || len(s.Reduced) > 0
	}
	if err := w.Flush(); err != nil || !reduced {
		return err
	}
	fmt.Fprint(w, "\nTARGET\tSERVICE\tHOME\tRUNNING\tSLOTS\tSERVICE TIME\tLIMIT\tREDUCED BECAUSE OF\n")
	for _, s := range services {
		for _, t := range s.Reduced {
			limit, took := "-", "-"
			if t.Limit != nil {
				limit = strconv.FormatFloat(*t.Limit, 'g', 3, 64) + "/s"
			}
			if t.ServiceMs > 0 {
				took = strconv.FormatInt(t.ServiceMs, 10) + "ms"
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s\n", t.ID, s.Name, t.Home, t.Running, t.Slots, took, limit, t.Reason)
		}
	}
	return w.Flush()
}

// unserved returns the number of requests that were not served, and the reasons, the most
// frequent ones first.
func (s Service) unserved() (uint64, string) {
	reasons := slices.SortedFunc(maps.Keys(s.Unserved), func(a, b string) int {
		return cmp.Or(cmp.Compare(s.Unserved[b], s.Unserved[a]), strings.Compare(a, b))
	})
	var n uint64
	var why []string
	for _, r := range reasons {
		n += s.Unserved[r]
		why = append(why, fmt.Sprintf("%s %d", r, s.Unserved[r]))
	}
	return n, strings.Join(why, ", ")
}
