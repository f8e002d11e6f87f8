// Command standin simulates the platform or upstreams, or sends a request as a
// client, on loopback. Tests and the demo use it.
package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"dandelionrock.example/dandelionrock/internal/caller"
	"dandelionrock.example/dandelionrock/internal/stub"
)

// Exit codes.
const (
	exitError = 1
	exitUsage = 2
)

type platformCommand struct {
	stub.PlatformConfig
	log zerolog.Logger
}

type upstreamCommand struct {
	stub.UpstreamConfig
	Config     string `long:"config" description:"TOML file with several upstreams, or an organisation's configuration; the other flags are defaults"`
	OnlyRegion string `long:"only-region" description:"only the upstreams of the file in this region"`
	Control    string `long:"control" description:"IP address and port for faults and runs of all upstreams"`
	log        zerolog.Logger
}

func main() {
	l := zerolog.New(os.Stderr).With().Timestamp().Logger()
	p := flags.NewNamedParser("standin", flags.HelpFlag|flags.PassDoubleDash)
	a := &platformCommand{log: l}
	b := &upstreamCommand{log: l}
	if err := errors.Join(
		add(p, "platform", "Plays the table service and the list of instances", a),
		add(p, "upstream", "Plays one upstream, or many from a file", b),
		add(p, "call", "Sends a request to an instance as a client account", &callCommand{}),
	); err != nil {
		l.Error().Err(err).Msg("cannot define the commands")
		os.Exit(exitError)
	}
	_, err := p.Parse()
	var f *flags.Error
	switch {
	case err == nil:
	case errors.As(err, &f) && f.Type == flags.ErrHelp:
		_, _ = io.WriteString(os.Stdout, f.Message+"\n")
	case f != nil, errors.Is(err, caller.ErrInvalid):
		l.Error().Err(err).Msg("usage")
		os.Exit(exitUsage)
	default:
		l.Error().Err(err).Msg("command failed")
		os.Exit(exitError)
	}
}

func add(p *flags.Parser, name, text string, c any) error {
	_, err := p.AddCommand(name, text, "", c)
	return err
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	x := signalContext()
	c.Log = c.log
	p, err := stub.NewPlatform(c.PlatformConfig)
	if err != nil {
		return err
	}
	c.log.Info().Str("address", p.Address()).Str("table", c.Table).Msg("platform is listening")
	<-x.Done()
	c.log.Info().Interface("stats", p.Stats()).Msg("stopping platform")
	return p.Close()
}

// Execute implements flags.Commander.
func (c *upstreamCommand) Execute([]string) error {
	x := signalContext()
	c.Log = c.log
	l, err := c.upstreamConfigs()
	if err != nil {
		return err
	}
	g, err := stub.NewGroup(c.Control, l)
	if err != nil {
		return err
	}
	for _, u := range g.Upstreams() {
		c.log.Info().Str("upstream", u.Name()).Str("address", u.Address()).Msg("upstream is listening")
	}
	<-x.Done()
	c.log.Info().Msg("draining upstreams")
	g.Drain()
	return g.Close()
}

// upstreamConfigs returns the upstreams of the file in the selected region, or
// the one that the flags describe if no file is given.
func (c *upstreamCommand) upstreamConfigs() ([]stub.UpstreamConfig, error) {
	if c.Config == "" {
		return []stub.UpstreamConfig{c.UpstreamConfig}, nil
	}
	l, err := stub.ReadUpstreams(c.Config, c.UpstreamConfig)
	if err != nil {
		return nil, err
	}
	var r []stub.UpstreamConfig
	for _, u := range l {
		if c.OnlyRegion == "" || u.Region == c.OnlyRegion {
			r = append(r, u)
		}
	}
	if len(r) == 0 {
		return nil, errors.Newf("%s has no matching upstream", c.Config)
	}
	return r, nil
}

// signalContext returns a context that is cancelled by SIGTERM or SIGINT. A
// second signal ends the process at once.
func signalContext() context.Context {
	c, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	context.AfterFunc(c, stop)
	return c
}
