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

// Behaviours of a home for one attempt. Each states whether the request runs and
// what the entry receives.
const (
	answers        = iota // runs, the reply is an answer
	moved                 // not run, the directory changes, the reply permits a retry
	sheds                 // not run, the reply forbids a retry
	unreachable           // not run, the request is not sent
	lostBeforeRun         // not run, the connection is interrupted
	lostAfterRun          // runs, the connection is interrupted
	noReply               // runs, the reply never arrives
	lateReply             // runs, the reply takes 400 ms
	frozen                // not run, the reply never arrives, another home takes over
	unknownOutcome        // runs, the reply says that the outcome is unknown
	behaviourCount
)

// cluster is a simulated directory and home. It counts the runs of each request.
type cluster struct {
	entry *Entry

	mu      sync.Mutex
	version uint64
	changed chan struct{}
	// scripts holds the behaviours for the next attempts of each request. Attempts
	// beyond the script are answered.
	scripts map[string][]int
	runs    map[string]int
	sent    map[string]int
	cancels map[string]int
	retries int
	lastID  int
	group   sync.WaitGroup
	errs    chan error
}

func newCluster(f fault) *cluster {
	w := &cluster{
		changed: make(chan struct{}), scripts: map[string][]int{}, runs: map[string]int{},
		sent: map[string]int{}, cancels: map[string]int{}, retries: 1000, errs: make(chan error, 1000),
	}
	w.entry = NewEntry(w, w, w.takeRetry)
	w.entry.fault = f
	return w
}

// takeRetry takes one retry from the budget.
func (w *cluster) takeRetry(string, string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.retries--
	return w.retries >= 0
}

func (w *cluster) Resolve(string, string, string) (Target, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := Target{Version: w.version, Address: fmt.Sprint("home-", w.version)}
	if w.version%4 == 3 {
		return t, errors.New("no owner")
	}
	return t, nil
}

func (w *cluster) Wait(c context.Context, t Target) error {
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

// move changes the version of the directory and with it the home of all keys. In
// every fourth version the keys have no home.
func (w *cluster) move(int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	close(w.changed)
	w.changed = make(chan struct{})
	return nil
}

func (w *cluster) Cancel(_ context.Context, _ Target, id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancels[id]++
}

// nextBehaviour removes the first behaviour from the script of a request. It counts
// the attempt if it is sent and the run if there is one.
func (w *cluster) nextBehaviour(q *schema.ForwardRequest) int {
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
	if slices.Contains([]int{answers, lostAfterRun, noReply, lateReply, unknownOutcome}, b) {
		w.runs[id]++
	}
	return b
}

func (w *cluster) Call(c context.Context, _ Target, q *schema.ForwardRequest, r *schema.ForwardReply) error {
	select {
	case <-time.After(time.Millisecond):
	case <-c.Done():
		return fmt.Errorf("%w: %w", relay.ErrNotSent, c.Err())
	}
	switch b := w.nextBehaviour(q); b {
	case moved:
		_ = w.move(0)
		r.Outcome, r.Reason, r.Retry = schema.Outcome_OUTCOME_NOT_RUN, "moved", true
		return nil
	case sheds:
		r.Outcome, r.Reason = schema.Outcome_OUTCOME_NOT_RUN, "shed"
		return nil
	case unreachable:
		return fmt.Errorf("%w: no route", relay.ErrNotSent)
	case lostBeforeRun, lostAfterRun:
		return relay.ErrInterrupted
	case noReply, frozen:
		if b == frozen {
			_ = w.move(0)
		}
		<-c.Done()
		return c.Err()
	case lateReply:
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

// request starts a request. The number n encodes whether it is idempotent, its
// timeout, the behaviours for its attempts and whether it is cancelled.
func (w *cluster) request(n int) error {
	w.lastID++
	id, idempotent := fmt.Sprint("r", w.lastID), n%2 == 1
	timeout := time.Duration(1+n%7) * 100 * time.Millisecond
	var s []int
	for m := n / 2; m > 0; m /= behaviourCount {
		s = append(s, m%behaviourCount)
	}
	w.mu.Lock()
	w.scripts[id] = s
	w.mu.Unlock()
	w.group.Go(func() {
		c, stop := context.WithTimeout(context.Background(), timeout)
		defer stop()
		if n%11 == 0 { // the caller closes its connection
			time.AfterFunc(timeout/2, stop)
		}
		begin := time.Now()
		r := w.entry.Forward(c, &schema.ForwardRequest{RequestId: id, Idempotent: idempotent})
		w.check(id, idempotent, r, time.Since(begin)-timeout)
	})
	return nil
}

// check compares the outcome of a request with its runs; late is the time by
// which the outcome missed the deadline.
func (w *cluster) check(id string, idempotent bool, r *schema.ForwardReply, late time.Duration) {
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
		w.errs <- fmt.Errorf("%s: unknown outcome although nothing was sent", id)
	case r.Outcome == schema.Outcome_OUTCOME_UNSPECIFIED || late > 0:
		w.errs <- fmt.Errorf("%s: outcome %v, %v after the deadline", id, r.Outcome, late)
	}
}

// finish waits for all requests and returns the first error.
func (w *cluster) finish() error {
	w.group.Wait()
	w.entry.Close()
	select {
	case err := <-w.errs:
		return err
	default:
		return nil
	}
}

// check returns the first error found in random sequences of operations on an
// entry with an injected fault.
func check(t *testing.T, f fault) (found error) {
	synctest.Test(t, func(*testing.T) {
		sleep := func(_ *cluster, n int) error { time.Sleep(time.Duration(n%300) * time.Millisecond); return nil }
		limitRetries := func(w *cluster, n int) error { w.mu.Lock(); w.retries = n % 4; w.mu.Unlock(); return nil }
		found = model.Property[*cluster]{
			Seed: 20261204, Runs: 300, Length: 60, MaxArgument: 2 * behaviourCount * behaviourCount * behaviourCount,
			New: func() *cluster { return newCluster(f) }, Finish: (*cluster).finish,
			Operations: []func(*cluster, int) error{(*cluster).request, (*cluster).request, (*cluster).request, (*cluster).move, sleep, limitRetries},
		}.Check()
	})
	return found
}

// Guards against second runs of requests that are not idempotent, and against
// wrong, missing and late outcomes, when homes fail before or after the run,
// replies are lost or late and keys move to other homes.
func TestStateful(t *testing.T) {
	if err := check(t, faultNone); err != nil {
		t.Error(err)
	}
}

// Guards against a check in TestStateful that detects no error: it must report an
// entry that retries requests that are not idempotent, and an entry that ignores
// that an earlier attempt may have run.
func TestStatefulFindsFaults(t *testing.T) {
	for _, f := range []fault{faultResend, faultForget} {
		err := check(t, f)
		if err == nil {
			t.Errorf("fault %d was not found", f)
		}
		t.Log(err)
	}
}

// Guards against missing or needless retries, retries beyond the budget, and
// abandoned attempts for which the home receives no cancellation.
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
		{"order interrupted", []int{lostBeforeRun}, false, 9, "UNKNOWN interrupted", 1, 0, 0, 2, 100},
		{"lookup interrupted", []int{lostAfterRun, unknownOutcome}, true, 2, "ANSWERED ", 3, 0, 0, 20, 100},
		{"budget", []int{lostAfterRun, lostAfterRun}, true, 1, "UNKNOWN retry-budget", 2, 0, 0, 20, 100},
		{"shed after a run", []int{lostAfterRun, sheds}, true, 1, "UNKNOWN shed", 2, 0, 0, 20, 100},
		{"order without reply", []int{noReply}, false, 9, "UNKNOWN deadline", 1, 1, 100, 100, 100},
		{"lookup at frozen home", []int{frozen}, true, 9, "ANSWERED ", 2, 1, 100, 120, 1000},
		{"lookup at frozen home, no budget", []int{frozen}, true, 0, "UNKNOWN retry-budget", 1, 1, 1000, 1000, 1000},
	} {
		synctest.Test(t, func(t *testing.T) {
			w := newCluster(faultNone)
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
