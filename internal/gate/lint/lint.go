// Package lint finds mistakes in a configuration of the users' platform before it is sent.
// It performs no I/O.
package lint

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"dandelionrock.example/dandelionrock/internal/value/parts"
	"dandelionrock.example/dandelionrock/platform"
	"github.com/cockroachdb/errors"
)

// Severity tells whether a configuration may be sent as it is.
type Severity string

const (
	// Error marks what instances refuse or ignore, or what can't have been meant.
	Error Severity = "error"
	// Warning marks what has no effect, or contradicts something else.
	Warning Severity = "warning"
)

// Finding is a mistake.
type Finding struct {
	Severity
	platform.Fault
}

// String returns the finding in one line.
func (f Finding) String() string {
	s := string(f.Severity) + ": "
	if f.Place != "" {
		s += f.Place + ": "
	}
	if f.Field != "" {
		s += f.Field + ": "
	}
	return s + f.Cause.Error()
}

// Known is what is known of the deployment that a configuration is for. The checks that
// need more are left out.
type Known struct {
	// InForce is the text of the configuration in force, or nil.
	InForce []byte
	// Instances holds the settings of some instances.
	Instances []*platform.Settings
	// Targets holds all targets, or is nil if they are not known.
	Targets []platform.Target
}

// Check returns the mistakes in the text of a configuration. If instances refuse the text,
// it returns the reasons only. It fails if the text in force can't be decoded.
func Check(text []byte, k Known) ([]Finding, error) {
	d, err := platform.DecodeDesired(text)
	var e *platform.DesiredError
	switch {
	case errors.As(err, &e):
		return findings(Error, e.Faults), nil
	case err != nil:
		return []Finding{{Error, syntaxFault(text, err)}}, nil
	}
	c := checker{config: d, known: k, regions: map[string]string{}}
	for _, i := range k.Instances {
		maps.Copy(c.regions, i.Regions)
	}
	ignored, err := platform.Ignored(text)
	if err != nil {
		return nil, err
	}
	c.found = findings(Error, ignored)
	if k.InForce != nil {
		if err := c.checkVersion(text); err != nil {
			return nil, err
		}
	}
	c.checkRoutes()
	for _, n := range slices.Sorted(maps.Keys(d.Services)) {
		c.checkService(d.Services[n])
	}
	c.checkLimits()
	return c.found, nil
}

// Diff returns what differs between two texts of a configuration.
func Diff(inForce, next []byte) ([]parts.Change, error) {
	a, err := platform.DesiredParts(inForce)
	if err != nil {
		return nil, err
	}
	b, err := platform.DesiredParts(next)
	return parts.Diff(a, b), err
}

// syntaxFault returns a fault for a text that is no JSON, or has a value of another type
// than its field.
func syntaxFault(text []byte, err error) platform.Fault {
	var s *json.SyntaxError
	var t *json.UnmarshalTypeError
	switch {
	case errors.As(err, &s):
		return platform.Fault{Place: lineOf(text, s.Offset), Cause: s}
	case errors.As(err, &t):
		return platform.Fault{Place: lineOf(text, t.Offset), Field: t.Field, Cause: errors.Newf("%s does not fit, want %v", t.Value, t.Type.Kind())}
	}
	return platform.Fault{Cause: err}
}

// lineOf returns the line of a text that has the byte before an offset.
func lineOf(text []byte, offset int64) string {
	return fmt.Sprintf("line %d", 1+bytes.Count(text[:min(max(offset-1, 0), int64(len(text)))], []byte("\n")))
}

func findings(s Severity, faults []platform.Fault) []Finding {
	var out []Finding
	for _, f := range faults {
		n := Finding{s, f}
		if errors.Is(f.Cause, platform.ErrUnknownField) {
			n.Severity = Warning
		}
		out = append(out, n)
	}
	return out
}

// checker collects the findings of one configuration.
type checker struct {
	config *platform.Desired
	known  Known
	// regions maps the failure domains that instances know to their regions.
	regions map[string]string
	found   []Finding
}

func (c *checker) add(s Severity, place, field, format string, a ...any) {
	c.found = append(c.found, Finding{s, platform.Fault{Place: place, Field: field, Cause: errors.Newf(format, a...)}})
}

// checkVersion checks that instances take the text for newer than the one in force.
func (c *checker) checkVersion(text []byte) error {
	old, err := platform.DecodeDesired(c.known.InForce)
	if err != nil {
		return errors.Wrap(err, "in force")
	}
	changes, err := Diff(c.known.InForce, text)
	if err != nil {
		return err
	}
	if v := c.config.Version; v < old.Version || v == old.Version && len(changes) > 0 {
		c.add(Error, platform.PlaceWhole, platform.FieldVersion, "%d is not higher than %d in force; instances ignore the configuration", v, old.Version)
	}
	return nil
}
