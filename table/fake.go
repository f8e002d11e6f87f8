package table

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Fault is what goes wrong with one call of a Fake.
type Fault int

const (
	// None lets the call pass.
	None Fault = iota
	// Refuse returns ErrUnavailable; nothing takes effect.
	Refuse
	// LoseAnswer lets a write take effect and returns ErrAmbiguous.
	LoseAnswer
	// LoseRequest returns ErrAmbiguous; the write never takes effect.
	LoseRequest
	// Postpone returns ErrAmbiguous; the write reaches the table later.
	Postpone
)

// FaultRates are the probabilities of faults of a Fake, from 0 to 1; their sum
// is at most 1. Reads suffer Refuse only.
type FaultRates struct {
	Refuse, LoseAnswer, LoseRequest, Postpone float64
}

// Fake is a Store in memory with faults, for tests. It doesn't recognise a
// repeated transaction by its id, so that only conditions protect a caller. The
// zero value is not usable, use NewFake.
type Fake struct {
	mu      sync.Mutex
	rows    map[Key]Row
	applied map[TxnID]int
	// late holds postponed writes, oldest first.
	late []lateTxn
	// next holds the faults of the next commits.
	next   []Fault
	outage bool
	delay  time.Duration
	rates  FaultRates
	rand   *rand.Rand
	after  int
	stats  FakeStats
}

// FakeStats counts the calls that reached a Fake.
type FakeStats struct {
	Reads, Scans, Commits int
}

type lateTxn struct {
	txn Txn
	// calls is the number of further calls before the write lands by itself;
	// negative if it waits for ApplyPostponed.
	calls int
}

// NewFake returns an empty table without faults.
func NewFake() *Fake {
	return &Fake{rows: map[Key]Row{}, applied: map[TxnID]int{}, after: -1}
}

// SetOutage makes all calls return ErrUnavailable, or ends that.
func (f *Fake) SetOutage(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outage = on
}

// SetDelay delays each call. A commit whose context ends meanwhile is postponed.
func (f *Fake) SetDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

// SetRates makes calls fail at random from the seed. The same seed and the same
// sequence of calls give the same faults.
func (f *Fake) SetRates(seed uint64, r FaultRates) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rates, f.rand = r, rand.New(rand.NewPCG(seed, 0))
}

// SetPostponedCalls makes a write that is postponed from now on land by itself
// before the n-th call after it. With a negative n, which is the default, it
// waits for ApplyPostponed.
func (f *Fake) SetPostponedCalls(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.after = n
}

// FailNext sets the faults of the next commits, in order. They come before
// those of SetRates.
func (f *Fake) FailNext(k ...Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next = append(f.next, k...)
}

// ApplyPostponed lets the postponed writes reach the table, oldest first, and returns how
// many of them took effect.
func (f *Fake) ApplyPostponed() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, l := range f.late {
		if f.apply(l.txn) == nil {
			n++
		}
	}
	f.late = nil
	return n
}

// Postponed returns the number of postponed writes.
func (f *Fake) Postponed() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.late)
}

// Applied returns how often the transaction has taken effect.
func (f *Fake) Applied(i TxnID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.applied[i]
}

// Stats returns the number of calls so far.
func (f *Fake) Stats() FakeStats {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stats
}

// Clone returns a copy of the table and its postponed writes, without faults.
func (f *Fake) Clone() *Fake {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := NewFake()
	for k, r := range f.rows {
		g.rows[k] = r
	}
	for i, n := range f.applied {
		g.applied[i] = n
	}
	g.late = slices.Clone(f.late)
	return g
}

// Read implements Store.
func (f *Fake) Read(c context.Context, keys ...Key) ([]Row, error) {
	if len(keys) > MaxItems {
		return nil, errors.Wrapf(ErrInvalid, "read of %d keys, more than %d", len(keys), MaxItems)
	}
	if err := f.enterRead(c, &f.stats.Reads); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	l := make([]Row, 0, len(keys))
	for _, k := range keys {
		r := f.rows[k]
		r.Key = k
		l = append(l, r.clone())
	}
	return l, nil
}

// Scan implements Store.
func (f *Fake) Scan(c context.Context, prefix Key) ([]Row, error) {
	if err := f.enterRead(c, &f.stats.Scans); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var l []Row
	for k, r := range f.rows {
		if strings.HasPrefix(string(k), string(prefix)) {
			l = append(l, r.clone())
		}
	}
	slices.SortFunc(l, func(a, b Row) int { return strings.Compare(string(a.Key), string(b.Key)) })
	return l, nil
}

// Versions implements Store.
func (f *Fake) Versions(c context.Context, prefix Key) (map[Key]Version, error) {
	l, err := f.Scan(c, prefix)
	if err != nil {
		return nil, err
	}
	m := make(map[Key]Version, len(l))
	for _, r := range l {
		m[r.Key] = r.Version
	}
	return m, nil
}

// Commit implements Store.
func (f *Fake) Commit(c context.Context, t Txn) error {
	if err := t.Validate(); err != nil {
		return err
	}
	k, d := f.enter(&f.stats.Commits, true)
	if k == Refuse || c.Err() != nil {
		return errors.Wrapf(ErrUnavailable, "fake: transaction %s", t.ID)
	}
	if sleep(c, d) != nil && k != LoseRequest {
		k = Postpone
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var err error
	switch k {
	case None, LoseAnswer:
		err = f.apply(t)
	case Postpone:
		f.late = append(f.late, lateTxn{t.clone(), f.after})
	}
	if k != None {
		return errors.Wrapf(ErrAmbiguous, "fake: transaction %s", t.ID)
	}
	return err
}

// enterRead counts a read, and delays or refuses it.
func (f *Fake) enterRead(c context.Context, n *int) error {
	k, d := f.enter(n, false)
	if err := sleep(c, d); err != nil {
		return errors.Wrapf(ErrUnavailable, "fake: %v", err)
	}
	if k == Refuse {
		return errors.Wrap(ErrUnavailable, "fake")
	}
	return nil
}

// enter counts a call in n, lets postponed writes land that are due, and
// returns the fault and the delay of the call.
func (f *Fake) enter(n *int, write bool) (Fault, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	*n++
	var w []lateTxn
	for _, l := range f.late {
		if l.calls == 0 {
			_ = f.apply(l.txn) // nobody waits for the answer
			continue
		}
		l.calls--
		w = append(w, l)
	}
	f.late = w
	return f.fault(write), f.delay
}

// fault draws the fault of a call; f.mu is held.
func (f *Fake) fault(write bool) Fault {
	if f.outage {
		return Refuse
	}
	if write && len(f.next) > 0 {
		k := f.next[0]
		f.next = f.next[1:]
		return k
	}
	if f.rand == nil {
		return None
	}
	x := f.rand.Float64()
	for _, o := range []struct {
		p float64
		k Fault
	}{
		{f.rates.Refuse, Refuse},
		{f.rates.LoseAnswer, LoseAnswer},
		{f.rates.LoseRequest, LoseRequest},
		{f.rates.Postpone, Postpone},
	} {
		if x < o.p && (write || o.k == Refuse) {
			return o.k
		}
		x -= o.p
	}
	return None
}

// apply writes the rows of t if all its conditions hold; f.mu is held.
func (f *Fake) apply(t Txn) error {
	for _, p := range t.Puts {
		if v := f.rows[p.Key].Version; v != p.Version {
			return errors.Wrapf(ErrConflict, "fake: row %s has version %d, not %d", p.Key, v, p.Version)
		}
	}
	for _, x := range t.Checks {
		if v := f.rows[x.Key].Version; v != x.Version {
			return errors.Wrapf(ErrConflict, "fake: row %s has version %d, not %d", x.Key, v, x.Version)
		}
	}
	for _, r := range t.Rows() {
		f.rows[r.Key] = r
	}
	f.applied[t.ID]++
	return nil
}

// clone returns a copy that shares no memory with t.
func (t Txn) clone() Txn {
	t.Puts, t.Checks = slices.Clone(t.Puts), slices.Clone(t.Checks)
	for i, p := range t.Puts {
		t.Puts[i].Value, t.Puts[i].Txns = slices.Clone(p.Value), slices.Clone(p.Txns)
	}
	return t
}
