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

// Fault is a failure that a Fake simulates in one call.
type Fault int

const (
	// None lets the call succeed.
	None Fault = iota
	// Refuse makes the call return ErrUnavailable. A write does not take effect.
	Refuse
	// LoseAnswer makes a write return ErrAmbiguous. Its conditions are checked,
	// and it takes effect if they hold.
	LoseAnswer
	// LoseRequest makes a write return ErrAmbiguous. It never takes effect.
	LoseRequest
	// Postpone makes a write return ErrAmbiguous. It is applied later; see
	// SetPostponedCalls and ApplyPostponed.
	Postpone
)

// FaultRates holds the probabilities of the faults of a Fake, from 0 to 1. Their
// sum is at most 1. Reads fail with Refuse only.
type FaultRates struct {
	Refuse, LoseAnswer, LoseRequest, Postpone float64
}

// Fake is a Store in memory that simulates faults, for tests. It doesn't recognise a
// repeated transaction by its ID, so that only the conditions keep the transaction
// from taking effect twice. Create one with NewFake.
type Fake struct {
	mu      sync.Mutex
	rows    map[Key]Row
	applied map[TxnID]int
	// postponed holds the postponed writes, oldest first.
	postponed []postponedTxn
	// nextFaults holds the faults of the next commits.
	nextFaults []Fault
	outage     bool
	delay      time.Duration
	rates      FaultRates
	// rand is nil if calls don't fail at random.
	rand *rand.Rand
	// postponedCalls is the value of calls for the next postponed write.
	postponedCalls int
	stats          FakeStats
}

// FakeStats counts the calls that reached a Fake.
type FakeStats struct {
	Reads, Scans, Commits int
}

// postponedTxn is a transaction that was postponed.
type postponedTxn struct {
	txn Txn
	// calls is the number of calls that the transaction still waits for; a
	// negative number means that it waits for ApplyPostponed.
	calls int
}

// NewFake returns an empty table without faults.
func NewFake() *Fake {
	return &Fake{rows: map[Key]Row{}, applied: map[TxnID]int{}, postponedCalls: -1}
}

// SetOutage makes all calls return ErrUnavailable if on is true, and ends that if
// it is false.
func (f *Fake) SetOutage(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outage = on
}

// SetDelay delays each call by d. A commit whose context ends during the delay is
// postponed, unless its fault is LoseRequest.
func (f *Fake) SetDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

// SetRates makes calls fail at random with the given probabilities. The same seed
// and the same sequence of calls give the same faults.
func (f *Fake) SetRates(seed uint64, r FaultRates) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rates, f.rand = r, rand.New(rand.NewPCG(seed, 0))
}

// SetPostponedCalls makes each write that is postponed from now on wait for n
// further calls; it takes effect at the start of the call after these, if its
// conditions hold. With a negative n, which is the default, it waits for
// ApplyPostponed.
func (f *Fake) SetPostponedCalls(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.postponedCalls = n
}

// FailNext appends the faults of the next commits, in order. They take precedence
// over those of SetRates.
func (f *Fake) FailNext(k ...Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextFaults = append(f.nextFaults, k...)
}

// ApplyPostponed applies the postponed writes, oldest first, and returns how many of
// them took effect. A write whose conditions don't hold has no effect.
func (f *Fake) ApplyPostponed() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, l := range f.postponed {
		if f.apply(l.txn) == nil {
			n++
		}
	}
	f.postponed = nil
	return n
}

// Postponed returns the number of postponed writes.
func (f *Fake) Postponed() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.postponed)
}

// Applied returns how many times the transaction has taken effect.
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
	g.postponed = slices.Clone(f.postponed)
	return g
}

// Read implements Store.
func (f *Fake) Read(c context.Context, keys ...Key) ([]Row, error) {
	if len(keys) > MaxItems {
		return nil, errors.Wrapf(ErrInvalid, "read of %d keys, more than %d", len(keys), MaxItems)
	}
	if err := f.beginRead(c, &f.stats.Reads); err != nil {
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
	if err := f.beginRead(c, &f.stats.Scans); err != nil {
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
	k, d := f.beginCall(&f.stats.Commits, true)
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
		f.postponed = append(f.postponed, postponedTxn{t.clone(), f.postponedCalls})
	}
	if k != None {
		return errors.Wrapf(ErrAmbiguous, "fake: transaction %s", t.ID)
	}
	return err
}

// beginRead counts a read in n, delays it and returns the error of its fault.
func (f *Fake) beginRead(c context.Context, n *int) error {
	k, d := f.beginCall(n, false)
	if err := sleep(c, d); err != nil {
		return errors.Wrapf(ErrUnavailable, "fake: %v", err)
	}
	if k == Refuse {
		return errors.Wrap(ErrUnavailable, "fake: read refused")
	}
	return nil
}

// beginCall counts a call in n, applies the postponed writes that are due, and
// returns the fault and the delay of the call.
func (f *Fake) beginCall(n *int, write bool) (Fault, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	*n++
	var w []postponedTxn
	for _, l := range f.postponed {
		if l.calls == 0 {
			_ = f.apply(l.txn) // its caller has already got ErrAmbiguous
			continue
		}
		l.calls--
		w = append(w, l)
	}
	f.postponed = w
	return f.drawFault(write), f.delay
}

// drawFault returns the fault of a call: that of an outage, the next one of
// FailNext, or a random one. The caller holds f.mu.
func (f *Fake) drawFault(write bool) Fault {
	if f.outage {
		return Refuse
	}
	if write && len(f.nextFaults) > 0 {
		k := f.nextFaults[0]
		f.nextFaults = f.nextFaults[1:]
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

// apply writes the rows of t if all its conditions hold, and otherwise returns
// ErrConflict. The caller holds f.mu.
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
