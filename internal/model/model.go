// Package model runs stateful property tests: random sequences of operations
// on a system that carries its own oracle.
package model

import (
	"fmt"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"
)

// Property describes a system under test.
type Property[S any] struct {
	// Seed makes the sequences reproducible.
	Seed int64
	// Runs is the number of sequences, Length the greatest length of one.
	Runs, Length int
	// New returns a fresh system.
	New func() S
	// Operations are applied with equal probability, with an argument between 0
	// and MaxArgument. They report a violation as an error.
	Operations  []func(s S, argument int) error
	MaxArgument int
	// Finish ends a system and reports violations that show only then.
	Finish func(s S) error
}

// Check returns nil, or the first violation with the shortest sequence found.
func (p Property[S]) Check() error {
	var fault error
	q := gopter.DefaultTestParametersWithSeed(p.Seed)
	q.MinSuccessfulTests, q.MaxSize = p.Runs, p.Length
	c := &commands.ProtoCommands{
		NewSystemUnderTestFunc: func(commands.State) commands.SystemUnderTest { return p.New() },
		DestroySystemUnderTestFunc: func(s commands.SystemUnderTest) {
			if err := p.Finish(s.(S)); err != nil && fault == nil {
				fault = err
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
		return fmt.Errorf("violated: %v %v %v", r.Labels, r.Error, r.Args)
	}
	return fault
}

// step is an operation with its argument. The oracle is part of the system, so
// the state of gopter's model is not used.
type step[S any] struct {
	operations       []func(S, int) error
	number, argument int
}

func (s step[S]) Run(u commands.SystemUnderTest) commands.Result {
	return s.operations[s.number](u.(S), s.argument)
}

func (s step[S]) NextState(state commands.State) commands.State { return state }
func (s step[S]) PreCondition(commands.State) bool              { return true }
func (s step[S]) String() string                                { return fmt.Sprintf("%d(%d)", s.number, s.argument) }

func (s step[S]) PostCondition(_ commands.State, r commands.Result) *gopter.PropResult {
	if err, ok := r.(error); ok && err != nil {
		return &gopter.PropResult{Status: gopter.PropFalse, Labels: []string{err.Error()}}
	}
	return &gopter.PropResult{Status: gopter.PropTrue}
}
