package subcmd

import (
	"fmt"
	"os"

	"dandelionrock.example/dandelionrock/config"
)

type check struct {
	r        *run
	Settings bool `long:"settings" description:"FILE holds the settings of an instance"`
	Args     struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *check) Execute([]string) error {
	f := c.Args.File
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
	o, err := config.Parse(f, b)
	if err != nil {
		return err
	}
	n := 0
	for _, s := range o.Services {
		n += len(s.Upstreams)
	}
	fmt.Fprintf(c.r.Out, "%s is valid: organisation %s, %d services, %d upstreams, %d client accounts\n",
		f, o.Name, len(o.Services), n, len(o.Accounts))
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
