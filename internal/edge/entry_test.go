package edge

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dandelionrock.example/dandelionrock/internal/model"
	"dandelionrock.example/dandelionrock/internal/relay"
	"dandelionrock.example/dandelionrock/schema"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// What a home does with one attempt.
const (
	answers        = iota
	moved          // refuses without a run, after the directory has changed
	sheds          // refuses without a run and without a retry
	unreachable    // the request was not sent
	lostBefore     // home lost before the run
	lostAfter      // home lost after the run
	silent         // ran, the reply never arrives
	late           // ran, the reply takes 400 ms
	frozen         // did not run, never replies; another home takes over
	unknownOutcome // ran, the upstream's answer was lost
	behaviours
)

// world is a directory and a home that counts runs.
type world struct {
	entry *Entry

	mu      sync.Mutex
	version uint64
	changed chan struct{}
	// scripts are the behaviours for the attempts of each request.
	scripts map[string][]int
	runs    map[string]int
	sent    map[string]int
	cancels map[string]int
	retries int
	next    int
	group   sync.WaitGroup
	errs    chan error
}

func newWorld(f fault) *world {
	w := &world{
		changed: make(chan struct{}), scripts: map[string][]int{}, runs: map[string]int{},
		sent: map[string]int{}, cancels: map[string]int{}, retries: 1000, errs: make(chan error, 1000),
	}
	w.entry = NewEntry(w, w, w.retry)
	w.entry.fault = f
	return w
}

func (w *world) retry(string, string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.retries--
	return w.retries >= 0
}

func (w *world) Resolve(string, string, string) (Target, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := Target{Version: w.version, Address: fmt.Sprint("home-", w.version)}
	if w.version%4 == 3 {
		return t, errors.New("no owner")
	}
	return t, nil
}

func (w *world) Wait(c context.Context, t Target) error {
	w.mu.Lock()
	ch, changed := w.changed, w.version != t.Version
	w.mu.Unlock()
	if changed {
		return nil
	}
	select {
	case <-ch:
		return nil
	case <-c.Done():
		return c.Err()
	}
}

func (w *world) move(int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	close(w.changed)
	w.changed = make(chan struct{})
	return nil
}

func (w *world) Cancel(_ context.Context, _ Target, id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancels[id]++
}

// begin takes the next behaviour and counts a run if it has one.
func (w *world) begin(q *schema.ForwardRequest) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	id, _, _ := strings.Cut(q.RequestId, ".")
	b := answers
	if s := w.scripts[id]; len(s) > 0 {
		b, w.scripts[id] = s[0], s[1:]
	}
	if b != unreachable {
		w.sent[id]++
	}
	if slices.Contains([]int{answers, lostAfter, silent, late, unknownOutcome}, b) {
		w.runs[id]++
	}
	return b
}

func (w *world) Call(c context.Context, _ Target, q *schema.ForwardRequest, r *schema.ForwardReply) error {
	select {
	case <-time.After(time.Millisecond):
	case <-c.Done():
		return fmt.Errorf("%w: %w", relay.ErrNotSent, c.Err())
	}
	switch b := w.begin(q); b {
	case moved:
		_ = w.move(0)
		r.Outcome, r.Reason, r.Retry = schema.Outcome_OUTCOME_NOT_RUN, "moved", true
		return nil
	case sheds:
		r.Outcome, r.Reason = schema.Outcome_OUTCOME_NOT_RUN, "shed"
		return nil
	case unreachable:
		return fmt.Errorf("%w: no route", relay.ErrNotSent)
	case lostBefore, lostAfter:
		return relay.ErrInterrupted
	case silent, frozen:
		if b == frozen {
			_ = w.move(0)
		}
		<-c.Done()
		return c.Err()
	case late:
		select {
		case <-time.After(400 * time.Millisecond):
		case <-c.Done():
			return c.Err()
		}
	case unknownOutcome:
		r.Outcome, r.Reason = schema.Outcome_OUTCOME_UNKNOWN, "answer-truncated"
		return nil
	}
	r.Outcome, r.Body = schema.Outcome_OUTCOME_ANSWERED, []byte(q.RequestId)
	return nil
}

// request starts a request whose attempts meet the behaviours in the digits
// of n.
func (w *world) request(n int) error {
	w.next++
	id, idempotent := fmt.Sprint("r", w.next), n%2 == 1
	timeout := time.Duration(1+n%7) * 100 * time.Millisecond
	var s []int
	for m := n / 2; m > 0; m /= behaviours {
		s = append(s, m%behaviours)
	}
	w.mu.Lock()
	w.scripts[id] = s
	w.mu.Unlock()
	w.group.Go(func() {
		c, stop := context.WithTimeout(context.Background(), timeout)
		defer stop()
		if n%11 == 0 { // the caller goes away
			time.AfterFunc(timeout/2, stop)
		}
		begin := time.Now()
		r := w.entry.Forward(c, &schema.ForwardRequest{RequestId: id, Idempotent: idempotent})
		w.check(id, idempotent, r, time.Since(begin)-timeout)
	})
	return nil
}

func (w *world) check(id string, idempotent bool, r *schema.ForwardReply, late time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.runs[id]
	switch {
	case !idempotent && n > 1:
		w.errs <- fmt.Errorf("%s: %d runs", id, n)
	case r.Outcome == schema.Outcome_OUTCOME_NOT_RUN && n > 0:
		w.errs <- fmt.Errorf("%s: not-run after %d runs", id, n)
	case r.Outcome == schema.Outcome_OUTCOME_ANSWERED && (n == 0 || !strings.HasPrefix(string(r.Body)+".", id+".")):
		w.errs <- fmt.Errorf("%s: answer %q after %d runs", id, r.Body, n)
	case r.Outcome == schema.Outcome_OUTCOME_UNKNOWN && w.sent[id] == 0:
		w.errs <- fmt.Errorf("%s: unknown although nothing was sent", id)
	case r.Outcome == schema.Outcome_OUTCOME_UNSPECIFIED || late > 0:
		w.errs <- fmt.Errorf("%s: outcome %v, %v after the deadline", id, r.Outcome, late)
	}
}

func (w *world) finish() error {
	w.group.Wait()
	w.entry.Close()
	select {
	case err := <-w.errs:
		return err
	default:
		return nil
	}
}

// check reports the first fault found in random sequences of operations.
func check(t *testing.T, f fault) (found error) {
	synctest.Test(t, func(*testing.T) {
		wait := func(_ *world, n int) error { time.Sleep(time.Duration(n%300) * time.Millisecond); return nil }
		dry := func(w *world, n int) error { w.mu.Lock(); w.retries = n % 4; w.mu.Unlock(); return nil }
		found = model.Property[*world]{
			Seed: 20261204, Runs: 300, Length: 60, MaxArgument: 2 * behaviours * behaviours * behaviours,
			New: func() *world { return newWorld(f) }, Finish: (*world).finish,
			Operations: []func(*world, int) error{(*world).request, (*world).request, (*world).request, (*world).move, wait, dry},
		}.Check()
	})
	return found
}

// Guards against second runs, false not-run outcomes and missing outcomes, with
// homes lost before, during and after the run, replies lost or late, and moves.
func TestStateful(t *testing.T) {
	if err := check(t, faultNone); err != nil {
		t.Error(err)
	}
}

// Guards against an oracle that finds nothing: it must report an entry that
// sends orders again, and one that forgets earlier attempts.
func TestStatefulFindsFaults(t *testing.T) {
	for _, f := range []fault{faultResend, faultForget} {
		err := check(t, f)
		if err == nil {
			t.Errorf("fault %d was not found", f)
		}
		t.Log(err)
	}
}

// Guards against retries that are missing, wasted or not within the budget, and
// against homes that keep working for nobody.
func TestForward(t *testing.T) {
	for _, tc := range []struct {
		name               string
		script             []int
		idempotent         bool
		budget             int
		want               string
		sent, cancels      int
		least, most, limit time.Duration
	}{
		{"answered", nil, false, 0, "ANSWERED ", 1, 0, 0, 2, 100},
		{"moved twice", []int{moved, moved}, false, 0, "ANSWERED ", 3, 0, 0, 20, 100},
		{"shed", []int{sheds}, false, 0, "NOT_RUN shed", 1, 0, 0, 2, 100},
		{"unreachable", slices.Repeat([]int{unreachable}, 100), false, 0, "NOT_RUN home-unreachable", 0, 0, 900, 1000, 1000},
		{"order interrupted", []int{lostBefore}, false, 9, "UNKNOWN interrupted", 1, 0, 0, 2, 100},
		{"lookup interrupted", []int{lostAfter, unknownOutcome}, true, 2, "ANSWERED ", 3, 0, 0, 20, 100},
		{"budget", []int{lostAfter, lostAfter}, true, 1, "UNKNOWN retry-budget", 2, 0, 0, 20, 100},
		{"shed after a run", []int{lostAfter, sheds}, true, 1, "UNKNOWN shed", 2, 0, 0, 20, 100},
		{"order without reply", []int{silent}, false, 9, "UNKNOWN deadline", 1, 1, 100, 100, 100},
		{"lookup at frozen home", []int{frozen}, true, 9, "ANSWERED ", 2, 1, 100, 120, 1000},
		{"lookup at frozen home, no budget", []int{frozen}, true, 0, "UNKNOWN retry-budget", 1, 1, 1000, 1000, 1000},
	} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(faultNone)
			w.scripts["r"], w.retries = tc.script, tc.budget
			begin := time.Now()
			c, stop := context.WithTimeout(t.Context(), tc.limit*time.Millisecond)
			defer stop()
			r := w.entry.Forward(c, &schema.ForwardRequest{RequestId: "r", Idempotent: tc.idempotent})
			took := time.Since(begin)
			w.entry.Close()
			got := strings.TrimPrefix(r.Outcome.String(), "OUTCOME_") + " " + r.Reason
			cancels := w.cancels["r"] + w.cancels["r.2"]
			if got != tc.want || w.sent["r"] != tc.sent || cancels != tc.cancels || took < tc.least*time.Millisecond || took > tc.most*time.Millisecond {
				t.Errorf("%s: %s, sent %d, cancelled %d, took %v; want %+v", tc.name, got, w.sent["r"], cancels, took, tc)
			}
		})
	}
}
