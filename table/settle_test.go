package table

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"
)

// settleFunc is settle or a faulty variant of it.
type settleFunc func(c context.Context, s Store, t Txn, w func(context.Context, int) error) error

// settleByReading is a faulty variant of settle: after a lost reply, it only reads
// the rows instead of repeating the write.
func settleByReading(c context.Context, s Store, t Txn, w func(context.Context, int) error) error {
	err := s.Commit(c, t)
	if !errors.Is(err, ErrAmbiguous) {
		return err
	}
	for n := 0; ; n++ {
		if l, e := s.Read(c, t.keys()...); e == nil {
			if outcomeOf(t, l) == committed {
				return nil
			}
			return ErrConflict
		}
		if w(c, n) != nil {
			return ErrAmbiguous
		}
	}
}

// outcomes holds the results of Settle that the test must observe.
var outcomes = []error{nil, ErrConflict, ErrAmbiguous, ErrUnavailable}

// settleSystem is the system under test: a Fake, and the results that Settle
// returned.
type settleSystem struct {
	fake   *Fake
	settle settleFunc
	// counts holds the number of times that each result was returned.
	counts map[error]int
	// stale holds rows as they were read for the previous transaction.
	stale map[Key]Row
	// ambiguous holds the transactions for which Settle returned ErrAmbiguous.
	ambiguous []Txn
	// results holds the last result for each transaction.
	results map[TxnID]error
	// lastID is the number of the last transaction ID.
	lastID int
}

// id returns a new transaction ID.
func (l *settleSystem) id() TxnID {
	l.lastID++
	return TxnID(fmt.Sprintf("txn-%d", l.lastID))
}

// write changes row k n times on behalf of another writer.
func (l *settleSystem) write(k Key, n int) {
	f := l.fake.Clone()
	for range n {
		r, _ := f.Read(context.Background(), k)
		t := Txn{ID: l.id(), Puts: []Put{r[0].Put(nil)}}
		if f.Commit(context.Background(), t) != nil {
			panic("commit of the only writer failed")
		}
	}
	l.fake.mu.Lock()
	defer l.fake.mu.Unlock()
	l.fake.rows, l.fake.applied = f.rows, f.applied
}

// check compares all results of Settle with the transactions that have taken effect
// once all postponed writes are applied.
func (l *settleSystem) check() error {
	f := l.fake.Clone()
	f.ApplyPostponed()
	for i, err := range l.results {
		switch n := f.Applied(i); {
		case err == nil && n != 1:
			return fmt.Errorf("%s: reported as committed, took effect %d times", i, n)
		case err != nil && !errors.Is(err, ErrAmbiguous) && n != 0:
			return fmt.Errorf("%s: reported %v, took effect %d times", i, err, n)
		case n > 1:
			return fmt.Errorf("%s: took effect %d times", i, n)
		}
	}
	return nil
}

// step is what happens between two attempts of settle: postponed writes are applied,
// another writer changes a row, and the fault of the next commit is set.
type step struct {
	Fault, Writes, Row     int
	ApplyPostponed, Outage bool
}

// settleCommand settles one transaction. The first commit has the fault of the first
// step. After each attempt, the next step is applied; after the last step, the
// context ends.
type settleCommand struct {
	// Stale makes the transaction use rows that were read earlier; Repeat settles
	// the last ambiguous transaction again.
	Stale, Repeat bool
	Steps         []step
}

// rowKeys holds the keys of a transaction: one check, then two puts.
var rowKeys = []Key{"home/a", "block/a", "block/b"}

// txn returns the transaction to settle.
func (a settleCommand) txn(l *settleSystem) Txn {
	if a.Repeat && len(l.ambiguous) > 0 {
		t := l.ambiguous[len(l.ambiguous)-1]
		t.Repeat = true
		return t
	}
	r, _ := l.fake.Clone().Read(context.Background(), rowKeys...)
	for i, x := range r {
		if a.Stale && l.stale[x.Key].Key != "" {
			r[i] = l.stale[x.Key]
		}
		l.stale[x.Key] = x
	}
	return Txn{ID: l.id(), Puts: []Put{r[1].Put(nil), r[2].Put(nil)}, Checks: []Check{r[0].Check()}}
}

func (a settleCommand) Run(s commands.SystemUnderTest) commands.Result {
	l := s.(*settleSystem)
	t := a.txn(l)
	c, stop := context.WithCancel(context.Background())
	defer stop()
	w := func(c context.Context, n int) error {
		if n >= len(a.Steps) {
			stop()
			return c.Err()
		}
		l.apply(a.Steps[n])
		return nil
	}
	if len(a.Steps) > 0 {
		l.fake.FailNext(Fault(a.Steps[0].Fault))
	}
	err := l.settle(c, l.fake, t, w)
	l.fake.nextFaults, l.fake.outage = nil, false
	l.results[t.ID] = err
	for _, e := range outcomes {
		if errors.Is(err, e) {
			l.counts[e]++
		}
	}
	if errors.Is(err, ErrAmbiguous) {
		l.ambiguous = append(l.ambiguous, t)
	}
	return l.check()
}

// apply applies a step.
func (l *settleSystem) apply(s step) {
	if s.ApplyPostponed {
		l.fake.ApplyPostponed()
	}
	if s.Writes > 0 {
		l.write(rowKeys[s.Row], s.Writes)
	}
	l.fake.FailNext(Fault(s.Fault))
	l.fake.SetOutage(s.Outage)
}

func (settleCommand) NextState(s commands.State) commands.State { return s }
func (settleCommand) PreCondition(commands.State) bool          { return true }
func (a settleCommand) String() string                          { return fmt.Sprintf("%v %v %+v", a.Stale, a.Repeat, a.Steps) }

func (settleCommand) PostCondition(_ commands.State, r commands.Result) *gopter.PropResult {
	if err, ok := r.(error); ok && err != nil {
		return &gopter.PropResult{Status: gopter.PropFalse, Labels: []string{err.Error()}}
	}
	return gopter.NewPropResult(true, "")
}

// stepCommand applies a step while no transaction is being settled.
type stepCommand struct{ settleCommand }

func (e stepCommand) Run(s commands.SystemUnderTest) commands.Result {
	l := s.(*settleSystem)
	l.apply(e.Steps[0])
	l.fake.nextFaults, l.fake.outage = nil, false
	return l.check()
}

func genStep() gopter.Gen {
	return gopter.CombineGens(
		gen.IntRange(int(None), int(Postpone)), gen.OneConstOf(0, 0, 0, 1, 2, 7, 8, 9),
		gen.IntRange(0, len(rowKeys)-1), gen.Bool(), gen.Weighted([]gen.WeightedGen{
			{Weight: 4, Gen: gen.Const(false)}, {Weight: 1, Gen: gen.Const(true)},
		}),
	).Map(func(v []any) step { return step{v[0].(int), v[1].(int), v[2].(int), v[3].(bool), v[4].(bool)} })
}

func settleCommands(f settleFunc, m map[error]int) commands.Commands {
	a := gopter.CombineGens(gen.Bool(), gen.Bool(), gen.SliceOfN(4, genStep())).Map(func(v []any) commands.Command {
		return settleCommand{v[0].(bool), v[1].(bool), v[2].([]step)}
	})
	e := genStep().Map(func(s step) commands.Command { return stepCommand{settleCommand{Steps: []step{s}}} })
	return &commands.ProtoCommands{
		NewSystemUnderTestFunc: func(commands.State) commands.SystemUnderTest {
			return &settleSystem{fake: NewFake(), settle: f, counts: m, stale: map[Key]Row{}, results: map[TxnID]error{}}
		},
		InitialStateGen: gen.Const(0),
		GenCommandFunc:  func(commands.State) gopter.Gen { return gen.OneGenOf(a, a, e) },
	}
}

func runSettle(f settleFunc, seed int64, n int, m map[error]int) *gopter.TestResult {
	p := gopter.DefaultTestParametersWithSeed(seed)
	p.MinSuccessfulTests, p.MaxSize, p.Workers = n, 30, 1
	return commands.Prop(settleCommands(f, m)).Check(p)
}

// Guards against a transaction that is reported as committed and has not taken
// effect exactly once, or that is reported as failed and takes effect. The second
// part checks that the test detects a variant that only reads after a lost reply.
func TestSettleStateful(t *testing.T) {
	for _, seed := range []int64{1, 2, 3, 4} {
		m := map[error]int{}
		if r := runSettle(settle, seed, 300, m); !r.Passed() {
			t.Errorf("seed %d: %v %v %v", seed, r.Status, r.Labels, r.Args)
		}
		for _, e := range outcomes {
			if m[e] < 20 {
				t.Errorf("seed %d: outcome %v occurred %d times, want at least 20", seed, e, m[e])
			}
		}
		t.Logf("seed %d: outcomes %v", seed, m)
		if r := runSettle(settleByReading, seed, 300, map[error]int{}); r.Passed() {
			t.Errorf("seed %d: the variant that only reads passed %d cases", seed, r.Succeeded)
		} else {
			t.Logf("seed %d: variant that only reads failed after %d cases: %v", seed, r.Succeeded, r.Labels)
		}
	}
}

// Guards against an outcome that is reported although more than RecentTxns writes
// followed, so that the rows no longer tell it, and against ErrAmbiguous while they
// still do.
func TestSettleTruncated(t *testing.T) {
	for _, x := range []struct {
		fault Fault
		after int
		want  error
	}{
		{LoseAnswer, RecentTxns - 1, nil},
		{LoseAnswer, RecentTxns, ErrAmbiguous},
		{LoseRequest, RecentTxns, ErrConflict},
		{LoseRequest, RecentTxns + 1, ErrAmbiguous},
	} {
		l := &settleSystem{fake: NewFake()}
		l.fake.FailNext(x.fault)
		y := Txn{ID: "x", Puts: []Put{{Key: "a"}}}
		err := settle(context.Background(), l.fake, y, func(context.Context, int) error {
			l.write("a", x.after)
			return nil
		})
		if !errors.Is(err, x.want) {
			t.Errorf("fault %d and %d writes: %v, want %v", x.fault, x.after, err, x.want)
		}
	}
}
