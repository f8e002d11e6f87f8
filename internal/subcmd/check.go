package subcmd

import (
	"fmt"
	"os"

	"dandelionrock.example/dandelionrock/config"
	"dandelionrock.example/dandelionrock/internal/gate/depot"
	"dandelionrock.example/dandelionrock/internal/gate/lint"
	"dandelionrock.example/dandelionrock/internal/gate/tuning"
	"dandelionrock.example/dandelionrock/internal/value/parts"
	"dandelionrock.example/dandelionrock/platform"
	"github.com/cockroachdb/errors"
)

const checkHelp = `Checks the configuration text of an organisation, the settings of an instance, or a configuration of the users' platform, and prints every fault with its place. With --in-force it also prints what differs from the version in force. Warnings name entries without effect and limits that contradict each other; only errors make the exit code 1.`

type check struct {
	r             *run
	Settings      bool     `long:"settings" description:"FILE holds the settings of an instance"`
	Gateway       bool     `long:"gateway" description:"FILE holds the settings of an instance on the users' platform"`
	Configuration bool     `long:"configuration" description:"FILE holds a configuration of the users' platform"`
	InForce       string   `long:"in-force" value-name:"FILE" description:"The configuration in force, to compare with"`
	Instances     []string `long:"instance-settings" value-name:"FILE" description:"With --configuration: settings of an instance that it is for; may be repeated"`
	Targets       []string `long:"targets" value-name:"FILE" description:"With --configuration: the store's answer with the rows of all targets; repeated if it took several"`
	Args          struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *check) Execute([]string) error {
	if err := c.checkOptions(); err != nil {
		return err
	}
	f := c.Args.File
	switch {
	case c.Configuration:
		return c.checkConfiguration(f)
	case c.Gateway:
		return c.checkGateway(f)
	}
	b, err := os.ReadFile(f)
	if err != nil {
		return err
	}
	if c.Settings {
		s, err := config.ParseSettings(f, b)
		if err == nil {
			fmt.Fprintf(c.r.Out, "%s is valid: settings of instance %s\n", f, s.InstanceID)
		}
		return err
	}
	return c.checkOrganisation(f, b)
}

// checkOptions returns a usage error for options that exclude each other.
func (c *check) checkOptions() error {
	kinds := 0
	for _, k := range []bool{c.Settings, c.Gateway, c.Configuration} {
		if k {
			kinds++
		}
	}
	switch {
	case kinds > 1:
		return errors.Mark(errors.New("give only one of --settings, --gateway and --configuration"), errUsage)
	case c.InForce != "" && (c.Settings || c.Gateway):
		return errors.Mark(errors.New("--in-force applies to configurations, not to settings"), errUsage)
	case !c.Configuration && (len(c.Instances) > 0 || len(c.Targets) > 0):
		return errors.Mark(errors.New("--instance-settings and --targets need --configuration"), errUsage)
	}
	return nil
}

// checkOrganisation checks the text of an organisation.
func (c *check) checkOrganisation(file string, text []byte) error {
	o, err := config.Parse(file, text)
	if err != nil {
		return err
	}
	old := o
	if c.InForce != "" {
		b, err := os.ReadFile(c.InForce)
		if err != nil {
			return err
		}
		if old, err = config.Parse(c.InForce, b); err != nil {
			return err
		}
		if err := config.CheckChange(old, o); err != nil {
			return err
		}
	}
	n := 0
	for _, s := range o.Services {
		n += len(s.Upstreams)
	}
	fmt.Fprintf(c.r.Out, "%s is valid: organisation %s, %d services, %d upstreams, %d client accounts\n",
		file, o.Name, len(o.Services), n, len(o.Accounts))
	for _, w := range o.Warnings() {
		fmt.Fprintf(c.r.Out, "%s:%d: warning: %s\n", w.File, w.Line, w.Cause)
	}
	c.writeChanges(file, parts.Diff(old.Parts(), o.Parts()))
	return nil
}

// checkConfiguration checks a configuration of the users' platform.
func (c *check) checkConfiguration(file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	k, err := c.known()
	if err != nil {
		return err
	}
	found, err := lint.Check(text, k)
	if err != nil {
		return err
	}
	faults := 0
	for _, f := range found {
		out := c.r.Out
		if f.Severity == lint.Error {
			out = c.r.Err
			faults++
		}
		fmt.Fprintf(out, "%s: %v\n", file, f)
	}
	if k.InForce != nil {
		// A text that is no JSON is among the findings.
		if d, err := lint.Diff(k.InForce, text); err == nil {
			c.writeChanges(file, d)
		}
	}
	if faults > 0 {
		return errors.Newf("%s has %d faults", file, faults)
	}
	fmt.Fprintf(c.r.Out, "%s is valid, with %d warnings\n", file, len(found))
	return nil
}

// known reads the files that the options name.
func (c *check) known() (lint.Known, error) {
	var k lint.Known
	var err error
	if c.InForce != "" {
		if k.InForce, err = os.ReadFile(c.InForce); err != nil {
			return k, err
		}
	}
	for _, f := range c.Instances {
		s, err := platform.ReadSettingsFile(f)
		if err != nil {
			return k, errors.Wrap(err, f)
		}
		k.Instances = append(k.Instances, s)
	}
	if len(c.Targets) > 0 {
		k.Targets, err = c.targets()
	}
	return k, err
}

// targets reads the targets, and writes a warning for each row that instances ignore.
func (c *check) targets() ([]platform.Target, error) {
	var responses [][]byte
	for _, f := range c.Targets {
		b, err := os.ReadFile(f)
		if err != nil {
			return nil, err
		}
		responses = append(responses, b)
	}
	ts, faults, err := platform.DecodeTargets(responses)
	for _, f := range faults {
		fmt.Fprintf(c.r.Out, "warning: the row of %s is ignored: %v\n", f.Place, f.Cause)
	}
	return ts, err
}

// writeChanges writes what differs from the version in force, if that is given.
func (c *check) writeChanges(file string, changes []parts.Change) {
	if c.InForce == "" {
		return
	}
	for _, n := range changes {
		fmt.Fprintf(c.r.Out, "%s: %v\n", file, n)
	}
	fmt.Fprintf(c.r.Out, "%s differs from %s in %d parts\n", file, c.InForce, len(changes))
}

// checkGateway checks a settings file of the users' platform and prints its digest,
// by which the command fleet names it.
func (c *check) checkGateway(file string) error {
	s, err := platform.ReadSettingsFile(file)
	var e *platform.SettingsError
	if errors.As(err, &e) {
		for _, f := range e.Faults {
			fmt.Fprintf(c.r.Err, "%s: field %q: %v\n", file, f.Field, f.Cause)
		}
		return errors.Newf("%s has %d faults", file, len(e.Faults))
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(c.r.Out, "%s is valid: settings %s of instance %s in %s\n", file, tuning.Digest(s), s.Instance, s.FailureDomain)
	if n := depot.Capacity(s.Memory); n < depot.DefaultMaxBody {
		fmt.Fprintf(c.r.Out, "%s: warning: field \"limits.memory-mb\": bodies of more than %d bytes are refused; a configuration without max-body-bytes permits %d\n", file, n, depot.DefaultMaxBody)
	}
	return nil
}

type version struct{ r *run }

// Execute implements flags.Commander.
func (v *version) Execute([]string) error {
	_, err := fmt.Fprintln(v.r.Out, "dandelionrock", v.r.Version)
	return err
}

type serve struct {
	r        *run
	Settings string `long:"settings" value-name:"FILE" required:"yes" description:"Settings of the instance, TOML"`
}

// Execute implements flags.Commander.
func (s *serve) Execute([]string) error {
	b, err := os.ReadFile(s.Settings)
	if err != nil {
		return err
	}
	v, err := config.ParseSettings(s.Settings, b)
	if err != nil {
		return err
	}
	return s.r.Serve(s.r.context, v)
}

type gateway struct{ r *run }

// Execute implements flags.Commander.
func (g *gateway) Execute([]string) error { return g.r.Gateway(g.r.context) }
