// Package steps builds stateful property tests: gopter generates random sequences
// of named steps from a fixed seed and runs each on a new system that includes its
// test oracle.
package steps

import (
	"fmt"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"
)

// Step is a named operation on a system of type S. Create it with New.
type Step[S any] struct {
	name string
	run  func(S, int) string
}

// New returns a step. The function run performs it and returns "", or a description
// of the violation. Its argument is a random number from 0 to 9,999 that selects a
// variant of the step.
func New[S any](name string, run func(S, int) string) Step[S] { return Step[S]{name, run} }

// Properties returns the property that no step of any sequence reports a violation.
// It generates the given number of sequences, of up to length steps each, and runs
// each on a system that start returns. A failing sequence is shrunk and printed with
// the names and arguments of its steps. A step that is listed twice is chosen twice
// as often.
func Properties[S any](seed int64, sequences, length int, start func() S, steps ...Step[S]) *gopter.Properties {
	p := gopter.DefaultTestParametersWithSeed(seed)
	p.MinSuccessfulTests, p.MaxSize = sequences, length
	r := gopter.NewProperties(p)
	r.Property(fmt.Sprintf("seed %d", seed), commands.Prop(&commands.ProtoCommands{
		NewSystemUnderTestFunc: func(commands.State) commands.SystemUnderTest { return start() },
		InitialStateGen:        gen.Const(0),
		GenCommandFunc: func(commands.State) gopter.Gen {
			return gen.IntRange(0, 10000*len(steps)-1).Map(func(n int) commands.Command {
				return steps[n%len(steps)].command(n / len(steps))
			})
		},
	}))
	return r
}

func (s Step[S]) command(n int) commands.Command {
	return &commands.ProtoCommand{
		Name:    fmt.Sprintf("%s(%d)", s.name, n),
		RunFunc: func(x commands.SystemUnderTest) commands.Result { return s.run(x.(S), n) },
		PostConditionFunc: func(_ commands.State, r commands.Result) *gopter.PropResult {
			return gopter.NewPropResult(r == "", fmt.Sprint(r))
		},
	}
}
