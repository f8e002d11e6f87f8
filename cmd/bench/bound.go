package main

import (
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"dandelionrock.example/dandelionrock/internal/trial/bound"
	"dandelionrock.example/dandelionrock/internal/trial/lines"
	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

type boundCommand struct {
	Sheet      string `long:"sheet" required:"yes" description:"TOML file with the figures of services, kinds of requests and targets"`
	Positional struct {
		Logs []string `positional-arg-name:"LOG" description:"files of JSON lines of all instances; standard input if none"`
	} `positional-args:"yes"`
}

// sheet holds the figures of a deployment. Times are in milliseconds, those of spells since
// the arrival of the first request in the logs.
type sheet struct {
	Grant    int            `toml:"grant-ms"`
	Stale    int            `toml:"stale-ms"`
	Services []sheetService `toml:"services"`
}

type sheetService struct {
	// Name is that in the logs.
	Name      string          `toml:"name"`
	Keyed     bool            `toml:"keyed"`
	Repeats   float64         `toml:"repeats"`
	Allowance int             `toml:"allowance"`
	Targets   []bound.Targets `toml:"targets"`
	Kinds     []sheetKind     `toml:"kinds"`
	Spells    []struct {
		From  int     `toml:"from-ms"`
		To    int     `toml:"to-ms"`
		Share float64 `toml:"share"`
	} `toml:"spells"`
}

type sheetKind struct {
	Name string `toml:"name"`
	// Routes are those in the logs; without any they are the routes whose requests have
	// the objective.
	Routes    []string `toml:"routes"`
	Work      int      `toml:"work-ms"`
	Objective int      `toml:"objective-ms"`
	// Attempts is the number of attempts that a client makes at most, Limit the time for
	// all of them.
	Attempts int `toml:"attempts"`
	Limit    int `toml:"limit-ms"`
}

// otherKind is the kind of requests that the sheet doesn't name.
const otherKind = "other"

// errSheet is the error of a sheet whose figures are out of range.
var errSheet = errors.New("invalid sheet")

// readSheet reads a sheet. Unknown fields are errors.
func readSheet(r io.Reader) (*sheet, error) {
	s := &sheet{}
	if err := toml.NewDecoder(r).DisallowUnknownFields().Decode(s); err != nil {
		return nil, errors.Wrap(err, "read sheet")
	}
	for _, v := range s.Services {
		if slices.ContainsFunc(v.Targets, func(t bound.Targets) bool { return t.Count <= 0 || t.Slots <= 0 || t.Factor <= 0 }) {
			return nil, errors.Wrapf(errSheet, "targets of service %s need count, slots and factor above 0", v.Name)
		}
		if slices.ContainsFunc(v.Kinds, func(k sheetKind) bool { return k.Work <= 0 }) {
			return nil, errors.Wrapf(errSheet, "kinds of service %s need work-ms above 0", v.Name)
		}
	}
	return s, nil
}

func (s *sheet) figures() bound.Figures {
	f := bound.Figures{Services: map[string]bound.Service{}, Grant: millis(s.Grant), Stale: millis(s.Stale)}
	for _, v := range s.Services {
		n := bound.Service{Targets: v.Targets, Repeats: v.Repeats, Allowance: v.Allowance}
		for _, p := range v.Spells {
			n.Spells = append(n.Spells, bound.Spell{From: millis(p.From), To: millis(p.To), Share: p.Share})
		}
		f.Services[v.Name] = n
	}
	return f
}

// fill sets what the logs don't state of the requests. Those of a kind that the sheet
// doesn't name keep no time at work, so that nothing of them is bound by pace.
func (s *sheet) fill(l []bound.Demand) {
	type route struct{ service, name string }
	kinds, keyed := map[route]sheetKind{}, map[string]bool{}
	for _, v := range s.Services {
		keyed[v.Name] = v.Keyed
		for _, k := range v.Kinds {
			for _, n := range k.Routes {
				kinds[route{v.Name, n}] = k
			}
			for _, d := range l {
				n := route{v.Name, d.Kind}
				if _, ok := kinds[n]; !ok && len(k.Routes) == 0 && d.Service == v.Name && !d.Returned && d.Objective == millis(k.Objective) {
					kinds[n] = k
				}
			}
		}
	}
	for i := range l {
		d := &l[i]
		if !keyed[d.Service] {
			d.Key = bound.NoKey
		}
		k, ok := kinds[route{d.Service, d.Kind}]
		if !ok {
			d.Kind = otherKind
			continue
		}
		d.Kind, d.Work, d.Attempts, d.Limit = k.Name, millis(k.Work), k.Attempts, millis(k.Limit)
		if d.Objective == 0 {
			d.Objective = millis(k.Objective)
		}
	}
}

// Execute implements flags.Commander.
func (c *boundCommand) Execute([]string) error {
	f, err := os.Open(c.Sheet)
	if err != nil {
		return err
	}
	defer f.Close()
	s, err := readSheet(f)
	if err != nil {
		return err
	}
	l := &lines.Log{}
	for _, n := range c.Positional.Logs {
		if err := readLog(l, n); err != nil {
			return err
		}
	}
	if len(c.Positional.Logs) == 0 {
		if err := l.Read(os.Stdin); err != nil {
			return err
		}
	}
	return s.print(os.Stdout, l)
}

func readLog(l *lines.Log, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	return l.Read(f)
}

// print prints the bound for what was logged.
func (s *sheet) print(w io.Writer, l *lines.Log) error {
	if len(l.Requests) == 0 {
		return errors.New("the logs have no lines of requests")
	}
	origin := l.Requests[0].At
	for _, d := range l.Requests {
		origin = min(origin, d.At)
	}
	for i := range l.Requests {
		l.Requests[i].At -= origin
	}
	s.fill(l.Requests)
	f := s.figures()
	for i := range l.Freed {
		l.Freed[i].At -= origin
	}
	if err := bound.Print(w, bound.Table(f, l.Requests, l.Freed), bound.Requests(f, l.Requests)); err != nil {
		return err
	}
	if l.Dropped > 0 {
		_, err := fmt.Fprintf(w, "\n%d lines were not written; requests of theirs are missing\n", l.Dropped)
		return err
	}
	return nil
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }
