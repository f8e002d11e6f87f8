// Package subcmd implements the commands of the dandelionrock program.
package subcmd

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"dandelionrock.example/dandelionrock/config"
	"dandelionrock.example/dandelionrock/internal/admin"
	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

// Exit codes of the program.
const (
	ExitDone     = 0
	ExitError    = 1
	ExitUsage    = 2
	ExitConflict = 3
)

// errUsage marks an error in the arguments.
var errUsage = errors.New("usage")

const longHelp = `Routes requests to upstreams that own keys exclusively.

Units: durations are a number with us, ms, s, m or h, such as 100ms; sizes are a whole number with B, KiB, MiB or GiB, such as 1MiB; rates are in requests per second; versions count from 1.

Exit codes: 0 done, 1 error, 2 usage, 3 conflict with a newer version.`

// Program holds the parts of the process that the commands use.
type Program struct {
	Out, Err io.Writer
	// Getenv returns the value of an environment variable.
	Getenv func(string) string
	// Serve runs an instance until c is cancelled.
	Serve func(c context.Context, s *config.Settings) error
	// Gateway runs an instance on the users' platform until c is cancelled.
	Gateway func(c context.Context) error
	// Version is the version of the program.
	Version string
}

// run is one execution of a command.
type run struct {
	Program
	context context.Context
}

// Run parses the arguments, which don't include the name of the program,
// executes the command and returns the exit code.
func (p Program) Run(c context.Context, args []string) int {
	r := &run{Program: p, context: c}
	f := flags.NewNamedParser("dandelionrock", flags.HelpFlag|flags.PassDoubleDash)
	f.LongDescription = longHelp
	f.CommandHandler = func(c flags.Commander, args []string) error {
		if len(args) > 0 {
			return errors.Mark(errors.Newf("unexpected argument %q", args[0]), errUsage)
		}
		return c.Execute(args)
	}
	for _, c := range r.commands() {
		if _, err := f.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			panic("subcmd: " + err.Error())
		}
	}
	_, err := f.ParseArgs(args)
	return r.exit(err)
}

type command struct {
	name, short, long string
	data              flags.Commander
}

func (r *run) commands() []command {
	return []command{
		{"serve", "Run an instance", "Runs an instance until SIGTERM or SIGINT, then finishes its requests and hands its homes over. A second signal ends it at once.", &serve{r: r}},
		{"gateway", "Run an instance on the users' platform", "Runs an instance whose settings file the platform provides, until SIGTERM or SIGINT. A second signal ends it at once.", &gateway{r: r}},
		{"check", "Check a configuration without an instance", checkHelp, &check{r: r}},
		{"submit", "Submit the configuration of an organisation", submitHelp, &submit{r: r}},
		{"status", "Show an instance, its peers and homes", "Shows the status of an instance, and what it knows about the others.", &status{r: r}},
		{"fleet", "Compare what the instances of the gateway run with", fleetHelp, &fleetCommand{r: r}},
		{"timeline", "Show the events of instances in causal order", "Merges the events of the given instances by their hybrid logical clocks. Events of instances that can be reached are shown even if others fail.", &timeline{r: r}},
		{"version", "Show the version of the program", "Shows the version of the program.", &version{r: r}},
	}
}

// exit prints err, which may be nil or a request for help, and returns the exit
// code.
func (r *run) exit(err error) int {
	var f *flags.Error
	var i *config.Error
	var c *admin.ConflictError
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &f) && f.Type == flags.ErrHelp:
		fmt.Fprintln(r.Out, f.Message)
		return ExitDone
	case errors.As(err, &f):
		fmt.Fprintln(r.Err, "dandelionrock:", f.Message)
		return ExitUsage
	case errors.As(err, &i):
		fmt.Fprintln(r.Err, i)
		return ExitError
	}
	fmt.Fprintln(r.Err, "dandelionrock:", err)
	if errors.As(err, &c) {
		return ExitConflict
	}
	if errors.Is(err, errUsage) {
		return ExitUsage
	}
	return ExitError
}

// callOptions holds the option of all commands that call an instance.
type callOptions struct {
	Timeout time.Duration `long:"timeout" value-name:"DURATION" default:"5s" description:"Limit of one call to an instance"`
}

// client returns a client for the instance at a URL. It uses no proxy, and
// returns a usage error if the URL is invalid.
func (l callOptions) client(instance, credential string) (*admin.Client, error) {
	u, err := url.Parse(instance)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, errors.Mark(errors.Newf("instance %q is not an http or https URL", instance), errUsage)
	}
	h := &http.Client{Timeout: l.Timeout, Transport: &http.Transport{}}
	return &admin.Client{URL: instance, Credential: credential, HTTP: h}, nil
}

// credentialVariable is the environment variable that holds the operator
// credential if no file is given.
const credentialVariable = "DANDELIONROCK_CREDENTIAL"

// operatorOptions holds the option of all commands that need a credential.
type operatorOptions struct {
	CredentialFile string `long:"credential-file" value-name:"FILE" description:"Operator credential; without it, the environment variable DANDELIONROCK_CREDENTIAL is used"`
}

// credential returns the operator credential, or a usage error if it is empty.
func (o operatorOptions) credential(r *run) (string, error) {
	k, from := r.Getenv(credentialVariable), credentialVariable
	if o.CredentialFile != "" {
		b, err := os.ReadFile(o.CredentialFile)
		if err != nil {
			return "", err
		}
		k, from = string(b), o.CredentialFile
	}
	if k = strings.TrimSpace(k); k == "" {
		return "", errors.Mark(errors.Newf("no credential in %s; give --credential-file or set %s", from, credentialVariable), errUsage)
	}
	return k, nil
}
