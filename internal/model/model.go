// Package model runs stateful property tests: random sequences of operations
// on a system that includes its own test oracle.
package model

import (
	"fmt"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"
)

// Property describes a system under test.
type Property[S any] struct {
	// Seed is the seed of the random generator. The same seed gives the same
	// sequences.
	Seed int64
	// Runs is the number of sequences, Length the maximum length of each.
	Runs, Length int
	// New returns a fresh system.
	New func() S
	// Operations are applied with equal probability and a random argument from 0
	// to MaxArgument. They return an error if the property is violated.
	Operations  []func(s S, argument int) error
	MaxArgument int
	// Finish is called at the end of a sequence. It returns an error if the final
	// state violates the property.
	Finish func(s S) error
}

// Check runs the sequences. It returns nil, or an error with the labels of the
// violation and the shortest failing sequence that was found. If only Finish fails,
// it returns its first error.
func (p Property[S]) Check() error {
	var finishErr error
	q := gopter.DefaultTestParametersWithSeed(p.Seed)
	q.MinSuccessfulTests, q.MaxSize = p.Runs, p.Length
	c := &commands.ProtoCommands{
		NewSystemUnderTestFunc: func(commands.State) commands.SystemUnderTest { return p.New() },
		DestroySystemUnderTestFunc: func(s commands.SystemUnderTest) {
			if err := p.Finish(s.(S)); err != nil && finishErr == nil {
				finishErr = err
			}
		},
		InitialStateGen: gen.Const(0),
		GenCommandFunc: func(commands.State) gopter.Gen {
			return gopter.CombineGens(gen.IntRange(0, len(p.Operations)-1), gen.IntRange(0, p.MaxArgument)).Map(func(v []any) commands.Command {
				return step[S]{p.Operations, v[0].(int), v[1].(int)}
			})
		},
	}
	r := commands.Prop(c).Check(q)
	if !r.Passed() {
		return fmt.Errorf("property violated: %v %v %v", r.Labels, r.Error, r.Args)
	}
	return finishErr
}

// step is an operation with its argument. It implements commands.Command. The state
// of gopter's model is not used, since the oracle is part of the system.
type step[S any] struct {
	operations      []func(S, int) error
	index, argument int
}

func (s step[S]) Run(u commands.SystemUnderTest) commands.Result {
	return s.operations[s.index](u.(S), s.argument)
}

func (s step[S]) NextState(state commands.State) commands.State { return state }
func (s step[S]) PreCondition(commands.State) bool              { return true }
func (s step[S]) String() string                                { return fmt.Sprintf("%d(%d)", s.index, s.argument) }

func (s step[S]) PostCondition(_ commands.State, r commands.Result) *gopter.PropResult {
	if err, ok := r.(error); ok && err != nil {
		return &gopter.PropResult{Status: gopter.PropFalse, Labels: []string{err.Error()}}
	}
	return &gopter.PropResult{Status: gopter.PropTrue}
}
