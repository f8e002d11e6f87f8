// Package steps builds stateful property tests: sequences of steps, drawn by
// gopter from a fixed seed, run against a system and its oracle.
package steps

import (
	"fmt"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"
)

// Step is something that may happen to a system of type S. Use New.
type Step[S any] struct {
	name string
	run  func(S, int) string
}

// New returns a step. run performs it and returns what is wrong, or "". Its
// number chooses among the variants of the step, from 0 to 9,999.
func New[S any](name string, run func(S, int) string) Step[S] { return Step[S]{name, run} }

// Properties returns the property that no sequence of steps finds anything
// wrong. It draws the given number of sequences, of up to length steps each. A
// failing sequence is shrunk and printed with the names and numbers of its
// steps. A step that is listed twice is drawn twice as often.
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
