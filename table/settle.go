package table

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// firstPause is about one call within the region of the table.
	firstPause = 10 * time.Millisecond
	// maxPause bounds the load of waiting writers on a store that recovers.
	maxPause = time.Second
)

// Settle commits a transaction and resolves a lost answer: it repeats the same
// transaction with back-off until its outcome is known or c ends. Reading alone
// would not do, because the first write may still be on its way. Settle returns
//   - nil: the transaction has taken effect, exactly once;
//   - ErrConflict: it has not and never will, because a row has changed;
//   - ErrUnavailable or ErrInvalid: it has not and never will, because the
//     service took no attempt;
//   - ErrAmbiguous: c ended first, or more than RecentTxns later writes have
//     hidden the outcome. Call Settle again with Txn.Repeat set.
func Settle(c context.Context, s Store, t Txn) error { return settle(c, s, t, pause) }

// settle implements Settle; w waits before the attempt after the n-th.
func settle(c context.Context, s Store, t Txn, w func(c context.Context, n int) error) error {
	if err := t.Validate(); err != nil {
		return err
	}
	d := t.Repeat // whether an attempt may have taken effect or be on its way
	for n := 0; ; n++ {
		err := s.Commit(c, t)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, ErrConflict):
			switch o := inspect(c, s, t); {
			case o == committed:
				return nil
			case o == refused || !d:
				return err
			case o == hidden:
				return errors.Wrapf(ErrAmbiguous, "transaction %s: more than %d writes followed", t.ID, RecentTxns)
			}
		case errors.Is(err, ErrAmbiguous):
			d = true
		case !d:
			return err
		}
		if e := w(c, n); e != nil {
			return errors.Wrapf(ErrAmbiguous, "transaction %s: %v after %d attempts, last: %v", t.ID, e, n+1, err)
		}
	}
}

// pause sleeps between half and all of the pause after n+1 attempts. It returns
// the error of c.
func pause(c context.Context, n int) error {
	p := min(firstPause<<min(n, 16), maxPause)
	return sleep(c, p/2+rand.N(p/2))
}

// sleep waits for d, or returns the error of c.
func sleep(c context.Context, d time.Duration) error {
	if d <= 0 {
		return c.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-c.Done():
		return c.Err()
	case <-t.C:
		return nil
	}
}

// outcome is what the rows tell about a transaction.
type outcome int

const (
	// pending: not committed so far, but an attempt on its way may yet be; or
	// the rows can't be read.
	pending outcome = iota
	// committed: the transaction has taken effect.
	committed
	// refused: it has not, and a changed row refuses it for ever.
	refused
	// hidden: the lists of the rows do not reach back far enough.
	hidden
)

// inspect reads the rows of t and looks for its id.
func inspect(c context.Context, s Store, t Txn) outcome {
	l, err := s.Read(c, t.keys()...)
	if err != nil || len(l) != len(t.Puts)+len(t.Checks) {
		return pending
	}
	return judge(t, l)
}

// judge tells the outcome of t from its rows, read at one instant, puts first.
func judge(t Txn, l []Row) outcome {
	var changed, absent bool
	for i, p := range t.Puts {
		r := l[i]
		for _, x := range r.Txns {
			if x == t.ID {
				return committed
			}
		}
		if r.Version > p.Version {
			changed = true
		}
		// The id can only be missing from a list that covers all writes since
		// p.Version if the transaction is not among them.
		if r.Version <= p.Version || uint64(len(r.Txns)) >= uint64(r.Version-p.Version) {
			absent = true
		}
	}
	for i, x := range t.Checks {
		changed = changed || l[len(t.Puts)+i].Version > x.Version
	}
	switch {
	case !absent:
		return hidden
	case changed:
		return refused
	default:
		return pending
	}
}
