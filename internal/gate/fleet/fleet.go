// Package fleet compares what the instances of a deployment run with, and sums up how they
// serve requests.
package fleet

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// Path is the path at which an instance's metrics address serves a Report as JSON.
const Path = "/fleet"

// Instance is what one instance runs with.
type Instance struct {
	ID            string `json:"instance"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure-domain"`
	// Error is why the instance did not answer. If it is set, the fields after it
	// are zero.
	Error     string `json:"error,omitempty"`
	RunningMs int64  `json:"running-ms"`
	Ready     bool   `json:"ready"`
	Leaving   bool   `json:"leaving"`
	// Settings is the digest of the settings in force that all instances share, and
	// SettingsAgeMs the time since the file was last read and found valid.
	Settings      string `json:"settings"`
	SettingsAgeMs int64  `json:"settings-age-ms"`
	// Waiting holds the changed fields of the file that need a restart.
	Waiting []string `json:"waiting-for-restart,omitempty"`
	// Fault is why the present file is not in force.
	Fault string `json:"settings-fault,omitempty"`
	// Configuration is the version of the configuration in force.
	Configuration uint64 `json:"configuration"`
	// Services tells how the instance serves requests, by service.
	Services []Service `json:"services,omitempty"`
	// Deviations holds in what the instance deviates from the others. Compare sets
	// it.
	Deviations []string `json:"deviations,omitempty"`
}

// Report holds all instances that the instance which was asked knows, by id.
type Report struct {
	Instances []Instance `json:"instances"`
	// Settings and Configuration are those that most instances run with.
	Settings      string `json:"settings"`
	Configuration uint64 `json:"configuration"`
	// Services holds the sums over all instances, by name.
	Services []Service `json:"services,omitempty"`
}

// Compare returns the report on instances, ordered by id.
func Compare(is []Instance) Report {
	r := Report{Instances: slices.Clone(is)}
	slices.SortFunc(r.Instances, func(a, b Instance) int { return strings.Compare(a.ID, b.ID) })
	r.Settings = majority(r.Instances, func(i Instance) string { return i.Settings })
	r.Configuration = majority(r.Instances, func(i Instance) uint64 { return i.Configuration })
	for n := range r.Instances {
		i := &r.Instances[n]
		i.Deviations = r.deviations(*i)
	}
	r.Services = sum(r.Instances)
	return r
}

// majority returns the value that most answering instances have; of several, the
// highest.
func majority[T cmp.Ordered](is []Instance, value func(Instance) T) T {
	counts := map[T]int{}
	var best T
	for _, i := range is {
		if i.Error != "" {
			continue
		}
		v := value(i)
		counts[v]++
		if n := counts[v]; n > counts[best] || n == counts[best] && v > best {
			best = v
		}
	}
	return best
}

func (r *Report) deviations(i Instance) []string {
	if i.Error != "" {
		return []string{"no-answer"}
	}
	var d []string
	for _, c := range []struct {
		name    string
		differs bool
	}{
		{"settings", i.Settings != r.Settings},
		{"settings-fault", i.Fault != ""},
		{"restart-needed", len(i.Waiting) > 0},
		{"configuration", i.Configuration != r.Configuration},
		{"not-ready", !i.Ready},
	} {
		if c.differs {
			d = append(d, c.name)
		}
	}
	return d
}

// Deviating returns the number of instances that deviate from the others or did not
// answer.
func (r Report) Deviating() int {
	n := 0
	for _, i := range r.Instances {
		if len(i.Deviations) > 0 {
			n++
		}
	}
	return n
}

// WriteText writes the report as an aligned table.
func (r Report) WriteText(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprint(w, "INSTANCE\tFAILURE DOMAIN\tRUNNING\tSTATE\tSETTINGS\tREAD\tCONFIGURATION\tDEVIATES IN\n")
	for _, i := range r.Instances {
		if i.Error != "" {
			fmt.Fprintf(w, "%s\t%s\t-\t-\t-\t-\t-\tno-answer: %s\n", i.ID, i.FailureDomain, i.Error)
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s ago\t%d\t%s\n", i.ID, i.FailureDomain, seconds(i.RunningMs), i.state(), i.Settings,
			seconds(i.SettingsAgeMs), i.Configuration, i.describe())
	}
	if err := w.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "%d of %d instances deviate; most run settings %s and configuration %d\n", r.Deviating(), len(r.Instances), r.Settings, r.Configuration)
	if err != nil || len(r.Services) == 0 {
		return err
	}
	return writeServices(out, r.Services)
}

func (i Instance) state() string {
	switch {
	case i.Leaving:
		return "leaving"
	case i.Ready:
		return "ready"
	}
	return "not-ready"
}

// describe returns the deviations with their details.
func (i Instance) describe() string {
	var d []string
	for _, n := range i.Deviations {
		switch n {
		case "settings-fault":
			n += ": " + i.Fault
		case "restart-needed":
			n += ": " + strings.Join(i.Waiting, " ")
		}
		d = append(d, n)
	}
	if len(d) == 0 {
		return "-"
	}
	return strings.Join(d, "; ")
}

func seconds(ms int64) string {
	return strconv.FormatInt(ms/time.Second.Milliseconds(), 10) + "s"
}
