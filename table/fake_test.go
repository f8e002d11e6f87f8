package table

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"
)

// Guards against faults that differ between two runs with the same seed, or that
// never occur.
func TestFakeRates(t *testing.T) {
	run := func(seed uint64) (l []string) {
		f := NewFake()
		f.SetRates(seed, FaultRates{Refuse: 0.2, LoseAnswer: 0.2, LoseRequest: 0.2, Postpone: 0.2})
		f.SetPostponedCalls(1)
		for range 200 {
			err := f.Commit(context.Background(), Txn{ID: "x", Puts: []Put{{Key: "a", Version: Version(f.Applied("x"))}}})
			l = append(l, errors.Join(err, errors.New("")).Error())
		}
		if r := f.Applied("x"); r < 40 || r > 160 {
			t.Errorf("seed %d: %d of 200 writes took effect", seed, r)
		}
		return l
	}
	if !slices.Equal(run(1), run(1)) || slices.Equal(run(1), run(2)) {
		t.Error("two runs with the same seed differ, or two with different seeds are equal")
	}
}

// Guards against a write that takes effect during an outage or is lost in a delay,
// and against returned rows that share memory with the table.
func TestFakeFaults(t *testing.T) {
	f, c := NewFake(), context.Background()
	x := Txn{ID: "x", Puts: []Put{{Key: "a", Value: []byte("v")}}}
	f.SetOutage(true)
	_, err := f.Scan(c, "")
	if e := f.Commit(c, x); !errors.Is(e, ErrUnavailable) || !errors.Is(err, ErrUnavailable) {
		t.Errorf("during the outage: %v, %v", e, err)
	}
	f.SetOutage(false)
	f.SetDelay(time.Minute)
	d, stop := context.WithTimeout(c, time.Millisecond)
	defer stop()
	if e := f.Commit(d, x); !errors.Is(e, ErrAmbiguous) || f.Postponed() != 1 || f.Applied("x") != 0 {
		t.Errorf("context ended during the delay: Commit returned %v, want a postponed write", e)
	}
	f.SetDelay(0)
	if f.ApplyPostponed() != 1 || f.Applied("x") != 1 {
		t.Error("postponed write did not take effect")
	}
	l, _ := f.Read(c, "a")
	l[0].Value[0] = 'w'
	if l, _ = f.Scan(c, "a"); len(l) != 1 || string(l[0].Value) != "v" {
		t.Errorf("a change of a returned row changed the table: %+v", l)
	}
}
