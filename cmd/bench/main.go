// Command bench measures the router. It writes the files of a deployment,
// generates load and prints one JSON line for each figure. It also runs the bare
// path, a minimal proxy of two processes that the router is compared with.
// scripts/bench.sh starts the processes.
package main

import (
	"os"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"
)

// Exit codes.
const (
	exitError = 1
	exitUsage = 2
)

// common holds the flags that all experiments have.
type common struct {
	Dir     string `long:"dir" required:"yes" description:"directory of the deployment"`
	Seed    uint64 `long:"seed" default:"1" description:"seed of keys, order and victims"`
	Figures string `long:"figures" description:"names of the figures to print, separated by commas; all if empty"`
	Counts  string `long:"counts" description:"file to which the counts of orders and wrong answers are added"`
}

func main() {
	l := zerolog.New(os.Stderr).With().Timestamp().Logger()
	p := flags.NewNamedParser("bench", flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range []struct {
		name, text string
		data       any
	}{
		{"experiments", "Prints the experiments that the figures need", &experimentsCommand{}},
		{"setup", "Writes the files of a deployment and the list of its processes", &setupCommand{}},
		{"wait", "Waits until all shards of a deployment are served", &waitCommand{}},
		{"bare-entry", "Plays the first process of the bare path", &bareEntryCommand{}},
		{"bare-home", "Plays the second process of the bare path", &bareHomeCommand{}},
		{"throughput", "Compares the router with the bare path", &throughputCommand{}},
		{"gaps", "Measures unavailable time after losses, and checks orders", &gapsCommand{}},
		{"idle", "Measures idle instances and the spread of configurations", &idleCommand{}},
		{"overload", "Measures goodput under overload and fairness", &overloadCommand{}},
		{"balance", "Computes imbalance and churn of the planner", &balanceCommand{}},
		{"bound", "Prints how many refused and late requests no assignment could have served, from logs", &boundCommand{}},
		{"counts", "Prints the sums of the counts of all experiments", &countsCommand{}},
	} {
		if _, err := p.AddCommand(c.name, c.text, "", c.data); err != nil {
			l.Error().Err(err).Msg("cannot define the commands")
			os.Exit(exitError)
		}
	}
	_, err := p.Parse()
	var f *flags.Error
	switch {
	case err == nil:
	case errors.As(err, &f) && f.Type == flags.ErrHelp:
		_, _ = os.Stdout.WriteString(f.Message + "\n")
	case f != nil:
		l.Error().Err(err).Msg("usage")
		os.Exit(exitUsage)
	default:
		l.Error().Err(err).Msg("experiment failed")
		os.Exit(exitError)
	}
}
