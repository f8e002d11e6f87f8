package subcmd

import (
	"fmt"
	"os"
	"time"

	"dandelionrock.example/dandelionrock/config"
	"dandelionrock.example/dandelionrock/internal/admin"
	"github.com/cockroachdb/errors"
)

const submitHelp = `Checks the text in FILE and submits it as the version after the one that it is based on. Where a newer version is in force, the difference from that version to FILE is printed and the exit code is 3.

After an unknown outcome, submit the same text again with the same --based-on: if the first attempt was stored, its version is reported.`

type submit struct {
	r           *run
	Instance    string  `long:"instance" value-name:"URL" required:"yes" description:"HTTP address of any instance, such as http://10.0.0.1:8080"`
	BasedOn     *uint64 `long:"based-on" value-name:"VERSION" description:"Version that the text was derived from; 0 for the first one"`
	ForceLatest bool    `long:"force-latest" description:"Replace whatever version is in force"`
	Wait        bool    `long:"wait" description:"Wait until every live instance has put the version into force"`
	callOptions
	operatorOptions
	WaitLimit time.Duration `long:"wait-limit" value-name:"DURATION" default:"30s" description:"Limit of --wait"`
	Args      struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (s *submit) Execute([]string) error {
	b, err := os.ReadFile(s.Args.File)
	if err != nil {
		return err
	}
	o, err := config.Parse(s.Args.File, b)
	if err != nil {
		return err
	}
	k, err := s.credential(s.r)
	if err != nil {
		return err
	}
	c, err := s.client(s.Instance, k)
	if err != nil {
		return err
	}
	n, err := s.basedOn(c, o.Name)
	if err != nil {
		return err
	}
	v, err := c.Submit(s.r.context, o.Name, b, n)
	if err != nil {
		if v, err = s.resolveError(err, o.Name, b, n); err != nil {
			return err
		}
		fmt.Fprintf(s.r.Out, "version %d of %s already holds this text\n", v, o.Name)
	} else {
		fmt.Fprintf(s.r.Out, "version %d of %s is accepted\n", v, o.Name)
	}
	if s.Wait {
		return s.wait(c, o.Name, v)
	}
	return nil
}

// basedOn returns the version that the text replaces. Without --based-on, the
// operator may not have seen the version in force, so that it is replaced only
// with --force-latest.
func (s *submit) basedOn(c *admin.Client, organisation string) (uint64, error) {
	if s.BasedOn != nil {
		if s.ForceLatest {
			return 0, errors.Mark(errors.New("--based-on and --force-latest exclude each other"), errUsage)
		}
		return *s.BasedOn, nil
	}
	v, err := c.Config(s.r.context, organisation)
	if err != nil {
		return 0, errors.Wrap(err, "fetch the version in force")
	}
	if v.Version > 0 && !s.ForceLatest {
		return 0, errors.Mark(errors.Newf("version %d of %s is in force; state --based-on %d after comparing, or --force-latest",
			v.Version, organisation, v.Version), errUsage)
	}
	return v.Version, nil
}

// resolveError handles an error of Client.Submit. It prints the difference to the
// version in force after a conflict, and returns an error that tells whether to
// submit again. If the version in force holds the same text, as after an earlier
// attempt whose answer was lost, it returns that version and no error.
func (s *submit) resolveError(err error, organisation string, text []byte, basedOn uint64) (uint64, error) {
	var f *config.Error
	var c *admin.ConflictError
	switch {
	case errors.As(err, &f):
		for i := range f.Faults {
			f.Faults[i].File = s.Args.File
		}
		return 0, f
	case errors.As(err, &c):
		if c.InForce.Text == string(text) {
			return c.InForce.Version, nil
		}
		fmt.Fprintf(s.r.Out, "--- %s version %d, in force\n+++ %s\n%s",
			organisation, c.InForce.Version, s.Args.File, config.Diff([]byte(c.InForce.Text), text))
		return 0, errors.Wrapf(err, "%s is not submitted", s.Args.File)
	case errors.Is(err, admin.ErrNotRun):
		return 0, errors.Wrapf(err, "%s is not submitted", s.Args.File)
	}
	return 0, errors.Wrapf(err, "outcome unknown, submit %s again with --based-on %d", s.Args.File, basedOn)
}
