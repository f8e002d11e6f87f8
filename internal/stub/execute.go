package stub

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/config"
	"dandelionrock.example/dandelionrock/fence"
	"dandelionrock.example/dandelionrock/shard"
)

// Headers of a request to an upstream and of the response.
const (
	headerKey       = "Dandelionrock-Key"
	headerTerm      = "Dandelionrock-Term"
	headerShard     = "Dandelionrock-Shard"
	headerEpoch     = "Dandelionrock-Epoch"
	headerRequestID = "Dandelionrock-Request-Id"
	headerOrderID   = "Dandelionrock-Order-Id"
	headerTimeout   = "Dandelionrock-Timeout"
	headerRefused   = "Dandelionrock-Refused"
)

// Values of the header Dandelionrock-Refused.
const (
	refusedStale    = "stale-grant"
	refusedDraining = "draining"
	refusedShed     = "shed"
)

// swapTimeout bounds the time for which a reply waits for another one to be
// exchanged with.
const swapTimeout = 200 * time.Millisecond

// request is the parsed form of a request that a home forwards.
type request struct {
	method, path          string
	key, id, order        string
	token                 fence.Token
	timeout               time.Duration
	bodyBytes             int64
	checkToken, truncated bool
	// started is the time at which the request got a slot.
	started time.Time
}

// Answer is the JSON body of a successful response of an upstream.
type Answer struct {
	Upstream  string `json:"upstream"`
	BootID    string `json:"boot-id"`
	Key       string `json:"key"`
	RequestID string `json:"request-id"`
	OrderID   string `json:"order-id,omitempty"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	// BodyBytes is the length of the request's body.
	BodyBytes int64  `json:"body-bytes"`
	Padding   string `json:"padding,omitempty"`
}

// parse reads the headers and the whole body. If the body ends early, the request
// is returned as truncated.
func (u *Upstream) parse(r *http.Request) (*request, error) {
	h := r.Header
	q := &request{
		method: r.Method, path: r.URL.RequestURI(),
		key: h.Get(headerKey), id: h.Get(headerRequestID), order: h.Get(headerOrderID),
		checkToken: u.config.Fencing == config.FencingChecked,
	}
	var n [3]uint64
	for i, k := range []struct {
		name string
		bits int
	}{{headerTerm, 64}, {headerShard, 32}, {headerEpoch, 64}} {
		s := h.Get(k.name)
		if s == "" {
			continue
		}
		var err error
		if n[i], err = strconv.ParseUint(s, 10, k.bits); err != nil {
			return nil, errors.Wrap(err, k.name)
		}
	}
	q.token = fence.Token{Term: fence.Term(n[0]), Shard: shard.ID(n[1]), Epoch: shard.Epoch(n[2])}
	if s := h.Get(headerTimeout); s != "" {
		var err error
		if q.timeout, err = time.ParseDuration(s); err != nil || q.timeout <= 0 {
			return nil, errors.Newf("%s: %q is not a positive duration", headerTimeout, s)
		}
	}
	var err error
	q.bodyBytes, err = io.Copy(io.Discard, r.Body)
	q.truncated = err != nil
	return q, nil
}

// execute serves a request that a home forwards.
func (u *Upstream) execute(r *http.Request) *reply {
	q, err := u.parse(r)
	if err != nil {
		p := errorReply(http.StatusBadRequest, err)
		p.header.Set(headerRequestID, r.Header.Get(headerRequestID))
		return p
	}
	if q.truncated || u.faults.get().Outage ||
		u.faults.consume(func(f *UpstreamFaults) *int { return &f.LoseRequests }) {
		return noReply
	}
	if u.faults.consume(func(f *UpstreamFaults) *int { return &f.LateRuns }) {
		u.delayed.runAfter(milliseconds(u.faults.get().LateMs), func() { u.attempt(context.Background(), q) })
		return noReply
	}
	c := r.Context()
	if q.timeout > 0 {
		var stop context.CancelFunc
		c, stop = context.WithTimeout(c, q.timeout)
		defer stop()
	}
	p := u.attempt(c, q)
	if p.drop {
		return p
	}
	p.header.Set(headerRequestID, q.id)
	return u.applyReplyFaults(p)
}

// attempt executes the request or refuses it. The execution ends early when c or
// the boot ends.
func (u *Upstream) attempt(c context.Context, q *request) *reply {
	b, p := u.admit(q)
	if p != nil {
		return p
	}
	select {
	case b.pending <- struct{}{}:
		defer func() { <-b.pending }()
	default:
		return u.refuse(refusedShed)
	}
	select {
	case b.slots <- struct{}{}:
		defer func() { <-b.slots }()
	case <-c.Done():
		return u.refuse(refusedShed)
	case <-b.done:
		return noReply
	}
	q.started = time.Now()
	u.addExecuting(1)
	defer u.addExecuting(-1)
	t := time.NewTimer(u.serviceTime(b))
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.Done():
	case <-b.done:
	}
	u.server.listener.freezer.wait()
	return u.finish(c, b, q)
}

// admit returns the boot that executes the request, or a refusal.
func (u *Upstream) admit(q *request) (*boot, *reply) {
	f := u.faults.get()
	u.mu.Lock()
	defer u.mu.Unlock()
	b, d := u.boot, u.drainingSince
	switch {
	case !d.IsZero() && time.Since(d) > time.Duration(u.config.DrainTime):
		return nil, u.refuseLocked(refusedDraining)
	case f.Shed:
		return nil, u.refuseLocked(refusedShed)
	case !u.tokenPermits(b, q, f):
		return nil, u.refuseLocked(refusedStale)
	}
	if !d.IsZero() {
		u.runs.LastStartAfterDrainMs = max(u.runs.LastStartAfterDrainMs, time.Since(d).Milliseconds())
	}
	return b, nil
}

// tokenPermits reports whether the token of the request is valid at this moment or
// need not be.
func (u *Upstream) tokenPermits(b *boot, q *request, f UpstreamFaults) bool {
	return !q.checkToken || f.IgnoreFences || b.guard.Check(clock.Boot(), q.token) == nil
}

// finish checks the token again and counts the run. Both happen under u.mu, so that
// no grant or restart comes between them.
func (u *Upstream) finish(c context.Context, b *boot, q *request) *reply {
	f := u.faults.get()
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case u.boot != b:
		return noReply
	case c.Err() != nil:
		u.runs.Cancelled++
		return errorReply(http.StatusGatewayTimeout, errors.New("cancelled before it took effect"))
	case !u.tokenPermits(b, q, f):
		return u.refuseLocked(refusedStale)
	}
	u.runs.count(q)
	if u.config.RecordRuns {
		u.recorded = append(u.recorded, Run{u.config.Name, q.key, q.started, time.Now()})
	}
	return jsonReply(http.StatusOK, Answer{
		Upstream: u.config.Name, BootID: b.id, Key: q.key, RequestID: q.id, OrderID: q.order,
		Method: q.method, Path: q.path, BodyBytes: q.bodyBytes,
		Padding: strings.Repeat(".", u.config.AnswerBytes),
	})
}

// refuse returns a refusal for the reason s and counts it.
func (u *Upstream) refuse(s string) *reply {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.refuseLocked(s)
}

// refuseLocked is refuse for callers that hold u.mu.
func (u *Upstream) refuseLocked(s string) *reply {
	u.runs.Refused[s]++
	n := http.StatusServiceUnavailable
	if s == refusedStale {
		n = http.StatusConflict
	}
	p := errorReply(n, errors.Newf("refused: %s", s))
	p.header.Set(headerRefused, s)
	return p
}

// addExecuting adds n to the number of executions in progress, and updates the load.
func (u *Upstream) addExecuting(n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs.Executing += n
	u.runs.MaxExecuting = max(u.runs.MaxExecuting, u.runs.Executing)
	u.load.set(time.Now(), float64(u.runs.Executing)/float64(u.config.Slots))
}

// serviceTime returns a random duration for one execution. It is multiplied by up
// to ColdFactor during the first ColdTime of a boot.
func (u *Upstream) serviceTime(b *boot) time.Duration {
	d := float64(u.config.ServiceTime) * (1 + u.config.ServiceJitter*(2*rand.Float64()-1))
	if t := float64(u.config.ColdTime); t > 0 {
		d *= 1 + (u.config.ColdFactor-1)*max(0, 1-float64(time.Since(b.started))/t)
	}
	return time.Duration(d) + milliseconds(u.faults.get().SlowMs)
}

// exchange is a reply that waits for another one.
type exchange struct {
	own   *reply
	other chan *reply
}

// applyReplyFaults applies the faults that delay, drop or change a reply.
func (u *Upstream) applyReplyFaults(p *reply) *reply {
	if d := u.faults.get().DelayAnswersMs; d > 0 {
		time.Sleep(rand.N(milliseconds(d)))
	}
	if p.status != http.StatusOK {
		return p
	}
	switch {
	case u.faults.consume(func(f *UpstreamFaults) *int { return &f.LoseAnswers }):
		return noReply
	case u.faults.consume(func(f *UpstreamFaults) *int { return &f.CutAnswers }):
		p.cut = true
	case u.faults.consume(func(f *UpstreamFaults) *int { return &f.WrongRequestIDs }):
		p.header.Set(headerRequestID, "wrong-"+p.header.Get(headerRequestID))
	case u.faults.consume(func(f *UpstreamFaults) *int { return &f.SwapAnswers }):
		return u.exchangeReply(p)
	}
	return p
}

// exchangeReply exchanges p for the reply of a concurrent call, or returns p if none
// comes within swapTimeout.
func (u *Upstream) exchangeReply(p *reply) *reply {
	x := exchange{p, make(chan *reply, 1)}
	select {
	case u.exchanges <- x:
		return <-x.other
	case y := <-u.exchanges:
		y.other <- p
		return y.own
	case <-time.After(swapTimeout):
		return p
	}
}
