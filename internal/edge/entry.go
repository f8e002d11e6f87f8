package edge

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"dandelionrock.example/dandelionrock/internal/relay"
	"dandelionrock.example/dandelionrock/schema"
	"dandelionrock.example/dandelionrock/shard"
	"github.com/cockroachdb/errors"
)

// Target is where the requests for a key go.
type Target struct {
	Organisation, Service string
	Shard                 shard.ID
	// Version identifies the state of the directory that the target is from.
	Version  uint64
	Upstream string
	// Address is the RPC address of the home; empty for this instance.
	Address string
	Term    uint64
	// RoundTrip is the network delay to the home and back, 0 if unknown.
	RoundTrip time.Duration
}

// Resolver finds the home of the upstream that owns a key.
type Resolver interface {
	// Resolve returns the target of a key. With an error, which means that
	// there is none at present, the target can still be used for Wait.
	Resolve(organisation, service, key string) (Target, error)
	// Wait waits until the directory differs from the target; it returns the
	// error of c if that ends first.
	Wait(c context.Context, t Target) error
}

// Caller sends requests to homes, of other instances and of this one.
type Caller interface {
	// Call returns nil with a reply, an error that is relay.ErrNotSent, or any
	// other error if the home may have received the request.
	Call(c context.Context, t Target, q *schema.ForwardRequest, r *schema.ForwardReply) error
	// Cancel tells a home that a request is no longer needed.
	Cancel(c context.Context, t Target, requestID string)
}

const (
	minBackOff = 2 * time.Millisecond
	maxBackOff = 50 * time.Millisecond
	// watchAfter is the time after which an idempotent request is given up if
	// its home is replaced. Requests that are answered earlier need no watch.
	watchAfter = 100 * time.Millisecond
	// cancelTimeout bounds the sending of a cancellation, maxCancels their
	// number; beyond that the home is left to notice the deadline.
	cancelTimeout = time.Second
	maxCancels    = 256
)

var errMoved = errors.New("home was replaced")

// fault is an error that tests inject.
type fault int

const (
	faultNone fault = iota
	// faultResend treats every request as idempotent.
	faultResend
	// faultForget takes the last reply for the outcome of all attempts.
	faultForget
)

// Entry forwards requests to homes and repeats them where that is safe. It
// implements Forwarder. Use NewEntry.
type Entry struct {
	resolver Resolver
	caller   Caller
	budget   func(organisation, account string) bool
	fault    fault

	cancels chan struct{}
	group   sync.WaitGroup
}

// NewEntry returns an entry. Budget takes a retry from the budget of a client
// account, or reports false.
func NewEntry(r Resolver, c Caller, budget func(organisation, account string) bool) *Entry {
	return &Entry{resolver: r, caller: c, budget: budget, cancels: make(chan struct{}, maxCancels)}
}

// Close waits for cancellations that are being sent. All calls of Forward must
// have returned.
func (e *Entry) Close() error {
	e.group.Wait()
	return nil
}

// forwarding is the state of one request.
type forwarding struct {
	*Entry
	request  *schema.ForwardRequest
	id       string
	deadline time.Time
	attempts int
	backOff  time.Duration
	// maybe is set once an attempt may have run without giving its answer.
	maybe bool
	// paid is set if the next retry was already taken from the budget.
	paid bool
	// reason is that of the last attempt.
	reason string
}

// Forward implements Forwarder. Without a deadline on c the request has one
// minute.
func (e *Entry) Forward(c context.Context, q *schema.ForwardRequest) *schema.ForwardReply {
	f := &forwarding{Entry: e, request: q, id: q.RequestId, backOff: minBackOff}
	var ok bool
	if f.deadline, ok = c.Deadline(); !ok {
		f.deadline = time.Now().Add(time.Minute)
	}
	for {
		t, err := e.resolver.Resolve(q.Organisation, q.Service, q.Key)
		if err == nil {
			if r := f.attempt(c, t); r != nil {
				return r
			}
		} else {
			f.reason = ReasonNoOwner
		}
		if !f.wait(c, t) {
			return f.expired()
		}
	}
}

// attempt sends the request once. It returns nil if it may be sent again.
func (f *forwarding) attempt(c context.Context, t Target) *schema.ForwardReply {
	left := time.Until(f.deadline)
	left -= t.RoundTrip + margin(left)
	if left <= 0 || c.Err() != nil {
		return f.expired()
	}
	q, r := f.next(left), new(schema.ForwardReply)
	err := f.call(c, t, q, r)
	switch {
	case err == nil && r.Outcome == schema.Outcome_OUTCOME_ANSWERED:
		return r
	case err == nil && r.Outcome == schema.Outcome_OUTCOME_NOT_RUN:
		f.reason = r.Reason
		if r.Retry {
			return nil
		}
		if f.maybe && f.fault != faultForget {
			return f.unknown(r.Reason)
		}
		return r
	case err != nil && errors.Is(err, relay.ErrNotSent):
		f.reason = ReasonUnreachable
		return nil
	}
	f.maybe = true
	f.reason = ReasonInterrupted
	if err == nil {
		f.reason = r.Reason
	}
	if c.Err() != nil {
		f.reason = ReasonDeadline
	}
	return f.interrupted(r)
}

// interrupted decides after an attempt that may have run.
func (f *forwarding) interrupted(r *schema.ForwardReply) *schema.ForwardReply {
	if !f.request.Idempotent && f.fault != faultResend {
		m := f.unknown(f.reason)
		m.Upstream, m.Epoch, m.Home, m.Term = r.Upstream, r.Epoch, r.Home, r.Term
		return m
	}
	if !f.paid && !f.budget(f.request.Organisation, f.request.ClientAccount) {
		return f.unknown(ReasonRetryBudget)
	}
	f.paid = false
	return nil
}

// next returns the message of the next attempt. The first is the request
// itself; later ones are copies, because a home that was given up may still
// read the earlier message.
func (f *forwarding) next(left time.Duration) *schema.ForwardRequest {
	f.attempts++
	q := f.request
	if f.attempts > 1 {
		q = &schema.ForwardRequest{
			RequestId: f.id + "." + strconv.Itoa(f.attempts), Organisation: q.Organisation, Service: q.Service,
			ClientAccount: q.ClientAccount, Key: q.Key, Method: q.Method, Path: q.Path, Headers: q.Headers, Body: q.Body,
			OrderId: q.OrderId, Attempt: q.Attempt, Idempotent: q.Idempotent, Clock: q.Clock,
		}
	}
	q.TimeoutUs = max(1, left.Microseconds())
	return q
}

// call makes a call and sends a cancellation if it was given up.
func (f *forwarding) call(c context.Context, t Target, q *schema.ForwardRequest, r *schema.ForwardReply) error {
	if !f.request.Idempotent {
		err := f.caller.Call(c, t, q, r)
		f.cancelAfter(c, err, t, q)
		return err
	}
	w, stop := context.WithCancelCause(c)
	moved := make(chan struct{})
	timer := time.AfterFunc(watchAfter, func() {
		defer close(moved)
		if f.watch(w, t) {
			stop(errMoved)
		}
	})
	err := f.caller.Call(w, t, q, r)
	f.cancelAfter(w, err, t, q)
	stop(nil)
	if !timer.Stop() {
		<-moved
	}
	return err
}

// watch reports whether the home was replaced and the budget permits a retry.
func (f *forwarding) watch(c context.Context, t Target) bool {
	for n := t; f.resolver.Wait(c, n) == nil; {
		var err error
		n, err = f.resolver.Resolve(t.Organisation, t.Service, f.request.Key)
		if err == nil && (n.Address != t.Address || n.Term != t.Term) {
			f.paid = f.budget(f.request.Organisation, f.request.ClientAccount)
			return f.paid
		}
	}
	return false
}

// cancelAfter sends a cancellation if a call ended by its context.
func (f *forwarding) cancelAfter(c context.Context, err error, t Target, q *schema.ForwardRequest) {
	if err == nil || c.Err() == nil || errors.Is(err, relay.ErrNotSent) {
		return
	}
	select {
	case f.cancels <- struct{}{}:
	default:
		return
	}
	id := q.RequestId
	f.group.Go(func() {
		c, stop := context.WithTimeout(context.Background(), cancelTimeout)
		defer stop()
		f.caller.Cancel(c, t, id)
		<-f.cancels
	})
}

// wait waits for a change of the directory or for the back-off. It reports
// whether there is time for another attempt.
func (f *forwarding) wait(c context.Context, t Target) bool {
	d := f.backOff/2 + rand.N(f.backOff/2)
	f.backOff = min(2*f.backOff, maxBackOff)
	if c.Err() != nil {
		return false
	}
	w, stop := context.WithTimeout(c, min(d, time.Until(f.deadline)))
	defer stop()
	_ = f.resolver.Wait(w, t)
	return c.Err() == nil
}

// expired returns the outcome of a request whose time is over.
func (f *forwarding) expired() *schema.ForwardReply {
	reason := f.reason
	if reason == "" {
		reason = ReasonDeadline
	}
	if f.maybe && f.fault != faultForget {
		return f.unknown(reason)
	}
	return &schema.ForwardReply{Outcome: schema.Outcome_OUTCOME_NOT_RUN, Reason: reason, Status: http.StatusGatewayTimeout}
}

func (f *forwarding) unknown(reason string) *schema.ForwardReply {
	return &schema.ForwardReply{Outcome: schema.Outcome_OUTCOME_UNKNOWN, Reason: reason}
}
