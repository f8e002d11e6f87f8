package table

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// firstBackoff is about the duration of one call within the region of the
	// table.
	firstBackoff = 10 * time.Millisecond
	// maxBackoff is long enough to bound the load of waiting writers on a
	// recovering store.
	maxBackoff = time.Second
)

// Settle commits a transaction and determines its outcome if a reply is lost: it
// repeats the same transaction with exponential backoff until the outcome is known
// or c ends. It is not enough to read the rows, because the first write may still
// be in flight. Settle returns
//   - nil if the transaction has taken effect, exactly once;
//   - an error that wraps ErrConflict if it has not and never will, because a row
//     has changed;
//   - one that wraps ErrUnavailable or ErrInvalid if it has not and never will,
//     because the service executed no attempt;
//   - one that wraps ErrAmbiguous if c ended before the outcome was known, or if
//     more than RecentTxns writes followed, so that the rows no longer tell the
//     outcome. Call Settle again with Txn.Repeat set.
func Settle(c context.Context, s Store, t Txn) error { return settle(c, s, t, backoff) }

// settle implements Settle. After attempt n, counted from 0, it calls w to wait for
// the next one; an error of w ends it.
func settle(c context.Context, s Store, t Txn, w func(c context.Context, n int) error) error {
	if err := t.Validate(); err != nil {
		return err
	}
	maybeSent := t.Repeat // whether an attempt may have taken effect or be in flight
	for n := 0; ; n++ {
		err := s.Commit(c, t)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, ErrConflict):
			switch o := readOutcome(c, s, t); {
			case o == committed:
				return nil
			case o == conflict || !maybeSent:
				return err
			case o == truncated:
				return errors.Wrapf(ErrAmbiguous, "transaction %s: more than %d later writes", t.ID, RecentTxns)
			}
		case errors.Is(err, ErrAmbiguous):
			maybeSent = true
		case !maybeSent:
			return err
		}
		if e := w(c, n); e != nil {
			return errors.Wrapf(ErrAmbiguous, "transaction %s: %v after %d attempts, last error: %v", t.ID, e, n+1, err)
		}
	}
}

// backoff sleeps for a random time between half and all of the backoff after
// attempt n, counted from 0. It returns the error of c if c ends first.
func backoff(c context.Context, n int) error {
	p := min(firstBackoff<<min(n, 16), maxBackoff)
	return sleep(c, p/2+rand.N(p/2))
}

// sleep waits until d has passed. It returns the error of c if c ends first.
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

// outcome is the outcome of a transaction according to the rows.
type outcome int

const (
	// pending means that the transaction has not taken effect yet but an attempt
	// in flight may, or that the rows can't be read.
	pending outcome = iota
	// committed means that the transaction has taken effect.
	committed
	// conflict means that the transaction has not taken effect and never will,
	// because a row has changed.
	conflict
	// truncated means that so many writes followed that the transaction IDs of
	// the rows no longer tell whether the transaction has taken effect.
	truncated
)

// readOutcome reads the rows of t and returns its outcome according to them.
func readOutcome(c context.Context, s Store, t Txn) outcome {
	l, err := s.Read(c, t.keys()...)
	if err != nil || len(l) != len(t.Puts)+len(t.Checks) {
		return pending
	}
	return outcomeOf(t, l)
}

// outcomeOf returns the outcome of t according to l, the rows of t.keys() as of one
// point in time.
func outcomeOf(t Txn, l []Row) outcome {
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
		// A list that covers all writes since p.Version would hold the ID if the
		// transaction had taken effect.
		if r.Version <= p.Version || uint64(len(r.Txns)) >= uint64(r.Version-p.Version) {
			absent = true
		}
	}
	for i, x := range t.Checks {
		changed = changed || l[len(t.Puts)+i].Version > x.Version
	}
	switch {
	case !absent:
		return truncated
	case changed:
		return conflict
	default:
		return pending
	}
}
