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

// settleFunc is Settle or a mutation of it.
type settleFunc func(c context.Context, s Store, t Txn, w func(context.Context, int) error) error

// settleByReading is the mutation that trusts a read after a lost answer
// instead of repeating the write.
func settleByReading(c context.Context, s Store, t Txn, w func(context.Context, int) error) error {
	err := s.Commit(c, t)
	if !errors.Is(err, ErrAmbiguous) {
		return err
	}
	for n := 0; ; n++ {
		if l, e := s.Read(c, t.keys()...); e == nil {
			if judge(t, l) == committed {
				return nil
			}
			return ErrConflict
		}
		if w(c, n) != nil {
			return ErrAmbiguous
		}
	}
}

var outcomes = []error{nil, ErrConflict, ErrAmbiguous, ErrUnavailable}

// lab is the system under test: a Fake and the outcomes that Settle reported.
type lab struct {
	fake   *Fake
	settle settleFunc
	// seen counts the reported outcomes.
	seen map[error]int
	// stale holds rows as some writer read them earlier.
	stale map[Key]Row
	open  []Txn
	ended map[TxnID]error
	n     int
}

func (l *lab) id() TxnID {
	l.n++
	return TxnID(fmt.Sprintf("txn-%d", l.n))
}

// write lets another writer change row k n times.
func (l *lab) write(k Key, n int) {
	f := l.fake.Clone()
	for range n {
		r, _ := f.Read(context.Background(), k)
		t := Txn{ID: l.id(), Puts: []Put{r[0].Put(nil)}}
		if f.Commit(context.Background(), t) != nil {
			panic("a writer without rivals conflicts")
		}
	}
	l.fake.mu.Lock()
	defer l.fake.mu.Unlock()
	l.fake.rows, l.fake.applied = f.rows, f.applied
}

// check compares all reported outcomes with what took effect once every
// postponed write has reached the table.
func (l *lab) check() error {
	f := l.fake.Clone()
	f.ApplyPostponed()
	for i, err := range l.ended {
		switch n := f.Applied(i); {
		case err == nil && n != 1:
			return fmt.Errorf("%s: reported committed, took effect %d times", i, n)
		case err != nil && !errors.Is(err, ErrAmbiguous) && n != 0:
			return fmt.Errorf("%s: reported %v, took effect %d times", i, err, n)
		case n > 1:
			return fmt.Errorf("%s: took effect %d times", i, n)
		}
	}
	return nil
}

// step is one event between two attempts of Settle.
type step struct {
	Fault, Writes, Row int
	Land, Outage       bool
}

// attempt settles one transaction, with a step before each attempt.
type attempt struct {
	Stale, Again bool
	Steps        []step
}

var rows = []Key{"home/a", "block/a", "block/b"}

func (a attempt) txn(l *lab) Txn {
	if a.Again && len(l.open) > 0 {
		t := l.open[len(l.open)-1]
		t.Repeat = true
		return t
	}
	r, _ := l.fake.Clone().Read(context.Background(), rows...)
	for i, x := range r {
		if a.Stale && l.stale[x.Key].Key != "" {
			r[i] = l.stale[x.Key]
		}
		l.stale[x.Key] = x
	}
	return Txn{ID: l.id(), Puts: []Put{r[1].Put(nil), r[2].Put(nil)}, Checks: []Check{r[0].Check()}}
}

func (a attempt) Run(s commands.SystemUnderTest) commands.Result {
	l := s.(*lab)
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
	l.fake.next, l.fake.outage = nil, false
	l.ended[t.ID] = err
	for _, e := range outcomes {
		if errors.Is(err, e) {
			l.seen[e]++
		}
	}
	if errors.Is(err, ErrAmbiguous) {
		l.open = append(l.open, t)
	}
	return l.check()
}

func (l *lab) apply(s step) {
	if s.Land {
		l.fake.ApplyPostponed()
	}
	if s.Writes > 0 {
		l.write(rows[s.Row], s.Writes)
	}
	l.fake.FailNext(Fault(s.Fault))
	l.fake.SetOutage(s.Outage)
}

func (attempt) NextState(s commands.State) commands.State { return s }
func (attempt) PreCondition(commands.State) bool          { return true }
func (a attempt) String() string                          { return fmt.Sprintf("%v %v %+v", a.Stale, a.Again, a.Steps) }

func (attempt) PostCondition(_ commands.State, r commands.Result) *gopter.PropResult {
	if err, ok := r.(error); ok && err != nil {
		return &gopter.PropResult{Status: gopter.PropFalse, Labels: []string{err.Error()}}
	}
	return gopter.NewPropResult(true, "")
}

// event is a step outside any attempt.
type event struct{ attempt }

func (e event) Run(s commands.SystemUnderTest) commands.Result {
	l := s.(*lab)
	l.apply(e.Steps[0])
	l.fake.next, l.fake.outage = nil, false
	return l.check()
}

func genStep() gopter.Gen {
	return gopter.CombineGens(
		gen.IntRange(int(None), int(Postpone)), gen.OneConstOf(0, 0, 0, 1, 2, 7, 8, 9),
		gen.IntRange(0, len(rows)-1), gen.Bool(), gen.Weighted([]gen.WeightedGen{
			{Weight: 4, Gen: gen.Const(false)}, {Weight: 1, Gen: gen.Const(true)},
		}),
	).Map(func(v []any) step { return step{v[0].(int), v[1].(int), v[2].(int), v[3].(bool), v[4].(bool)} })
}

func settleCommands(f settleFunc, m map[error]int) commands.Commands {
	a := gopter.CombineGens(gen.Bool(), gen.Bool(), gen.SliceOfN(4, genStep())).Map(func(v []any) commands.Command {
		return attempt{v[0].(bool), v[1].(bool), v[2].([]step)}
	})
	e := genStep().Map(func(s step) commands.Command { return event{attempt{Steps: []step{s}}} })
	return &commands.ProtoCommands{
		NewSystemUnderTestFunc: func(commands.State) commands.SystemUnderTest {
			return &lab{fake: NewFake(), settle: f, seen: m, stale: map[Key]Row{}, ended: map[TxnID]error{}}
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

// Guards against a transaction that is reported committed and did not take
// effect exactly once, or reported as a conflict and takes effect. The second
// part shows that the oracle notices a settlement by reading alone.
func TestSettleStateful(t *testing.T) {
	for _, seed := range []int64{1, 2, 3, 4} {
		m := map[error]int{}
		if r := runSettle(settle, seed, 300, m); !r.Passed() {
			t.Errorf("seed %d: %v %v %v", seed, r.Status, r.Labels, r.Args)
		}
		for _, e := range outcomes {
			if m[e] < 20 {
				t.Errorf("seed %d: outcome %v occurred %d times, too rare to test anything", seed, e, m[e])
			}
		}
		t.Logf("seed %d: outcomes %v", seed, m)
		if r := runSettle(settleByReading, seed, 300, map[error]int{}); r.Passed() {
			t.Errorf("seed %d: the mutation that reads alone passed %d cases", seed, r.Succeeded)
		} else {
			t.Logf("seed %d: mutation caught after %d cases: %v", seed, r.Succeeded, r.Labels)
		}
	}
}

// Guards against a guess when more than RecentTxns writes have followed, and
// against an outcome that is given up although the lists still hold it.
func TestSettleHidden(t *testing.T) {
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
		l := &lab{fake: NewFake()}
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
