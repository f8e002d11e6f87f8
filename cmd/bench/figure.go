package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
)

// figure is one measured value.
type figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	Seed  uint64  `json:"seed"`
	// Target and Met are absent for a figure without a target.
	Target *float64 `json:"target,omitempty"`
	Met    *bool    `json:"met,omitempty"`
	Note   string   `json:"note,omitempty"`
}

// target is an upper bound of a figure, or a lower bound if isLower is true.
type target struct {
	bound   float64
	isLower bool
}

// targets are the targets of docs/design.md, section 1.8, by name of the figure.
var targets = map[string]target{
	"throughput-ratio":        {0.75, true},
	"added-latency-p50-ratio": {1.3, false},
	"added-latency-p99-ratio": {1.5, false},
	"gap-upstream-p99-ms":     {1000, false},
	"gap-home-p99-ms":         {1000, false},
	"gap-both-p99-ms":         {1000, false},
	"gap-domain-p99-ms":       {1000, false},
	"orders-lost":             {0, false},
	"orders-run-twice":        {0, false},
	"wrong-answers":           {0, false},
	"false-not-run":           {0, false},
	"config-converge-p99-ms":  {2000, false},
	"idle-cpu-percent":        {4.2, false},
	"idle-memory-mb":          {64, false},
	"control-bytes-per-s":     {7000, false},
	"overload-goodput-ratio":  {0.9, true},
	"neighbour-p99-ratio":     {1.5, false},
	"imbalance-uniform":       {1.10, false},
	"imbalance-zipf":          {1.25, false},
	"churn-leave-ratio":       {1.1, false},
	"churn-join-ratio":        {1.1, false},
	"churn-restart-share":     {0, false},
}

// printer prints the selected figures.
type printer struct {
	out  io.Writer
	seed uint64
	// only holds the names to print; all if empty.
	only []string
}

func newPrinter(c common) *printer {
	p := &printer{out: os.Stdout, seed: c.Seed}
	if c.Figures != "" {
		p.only = strings.Split(c.Figures, ",")
	}
	return p
}

// print prints a figure with its target, if it has one.
func (p *printer) print(name string, value float64, unit, note string) {
	if len(p.only) > 0 && !slices.Contains(p.only, name) {
		return
	}
	f := figure{Name: name, Value: value, Unit: unit, Seed: p.seed, Note: note}
	if t, ok := targets[name]; ok {
		m := value <= t.bound
		if t.isLower {
			m = value >= t.bound
		}
		f.Target, f.Met = &t.bound, &m
	}
	b, err := json.Marshal(f)
	if err != nil {
		// The value is not a number, as is the median of no samples.
		b, _ = json.Marshal(map[string]any{"name": name, "unit": unit, "seed": p.seed, "met": false, "note": err.Error()})
	}
	fmt.Fprintf(p.out, "%s\n", b)
}

// experiment is a set of figures that are measured in one deployment.
type experiment struct {
	name    string
	figures []string
}

var experiments = []experiment{
	{"throughput", []string{
		"throughput-ratio", "added-latency-p50-ratio", "added-latency-p99-ratio",
		"requests-per-s", "bare-requests-per-s", "p50-ms", "p99-ms", "bare-p50-ms", "bare-p99-ms", "wrong-answers",
	}},
	{"gaps", []string{
		"gap-upstream-p99-ms", "gap-home-p99-ms", "gap-both-p99-ms", "gap-domain-p99-ms",
		"churn-restart-share", "orders-lost", "orders-run-twice", "wrong-answers", "false-not-run",
	}},
	{"idle", []string{
		"config-converge-p99-ms", "idle-cpu-percent", "idle-memory-mb", "control-bytes-per-s",
		"store-writes-per-s", "store-reads-per-s",
	}},
	{"overload", []string{"overload-goodput-ratio", "neighbour-p99-ratio"}},
	{"balance", []string{
		"imbalance-uniform", "imbalance-zipf", "imbalance-zipf-plain", "churn-leave-ratio", "churn-join-ratio",
		"churn-zipf-share",
	}},
}

type experimentsCommand struct {
	Figures string `long:"figures" description:"names of figures, separated by commas; all if empty"`
}

// Execute implements flags.Commander.
func (c *experimentsCommand) Execute([]string) error {
	l, err := experimentsFor(c.Figures)
	if err != nil {
		return err
	}
	for _, n := range l {
		fmt.Println(n)
	}
	return nil
}

// experimentsFor returns the names of the experiments that measure the figures,
// which are separated by commas; all if names is empty.
func experimentsFor(names string) ([]string, error) {
	want := map[string]bool{}
	if names != "" {
		for n := range strings.SplitSeq(names, ",") {
			want[n] = true
		}
	}
	var l []string
	known := map[string]bool{}
	for _, e := range experiments {
		use := names == ""
		for _, f := range e.figures {
			known[f] = true
			use = use || want[f]
		}
		if use {
			l = append(l, e.name)
		}
	}
	for n := range want {
		if !known[n] {
			return nil, fmt.Errorf("no figure is named %q", n)
		}
	}
	return l, nil
}
