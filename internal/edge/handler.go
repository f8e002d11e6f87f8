package edge

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"dandelionrock.example/dandelionrock/internal/header"
	"dandelionrock.example/dandelionrock/limit"
	"dandelionrock.example/dandelionrock/schema"
	"github.com/cockroachdb/errors"
)

// Options configures a Handler. All fields but Observe are required.
type Options struct {
	// Instance is the id of this instance. Answers carry it in the entry header.
	Instance  string
	Directory Directory
	Forwarder Forwarder
	Limiter   *limit.Limiter[AccountKey]
	// Observe is called after each forwarded request, if set.
	Observe func(q *schema.ForwardRequest, r *schema.ForwardReply, elapsed time.Duration)
}

// Handler serves the requests of callers. Use NewHandler.
type Handler struct {
	options Options
	// entry is the value of the entry header.
	entry []string
	// prefix makes request ids unique among all instances and restarts.
	prefix string
	// sequence is the number of the last request.
	sequence atomic.Uint64
	group    sync.WaitGroup
}

// NewHandler returns a handler whose request ids start with a random prefix.
func NewHandler(o Options) *Handler {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return &Handler{options: o, entry: []string{o.Instance}, prefix: hex.EncodeToString(b[:]) + "-"}
}

// Close waits for the Forwarder to finish all requests. The HTTP server must
// have been stopped.
func (h *Handler) Close() error {
	h.group.Wait()
	return nil
}

// ServeHTTP checks one request, forwards it and writes its outcome.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	id := h.prefix + strconv.FormatUint(h.sequence.Add(1), 36)
	a := w.Header()
	a[header.Entry], a[header.RequestID] = h.entry, []string{id}
	q, err := h.parse(now, r)
	if err != nil {
		refuse(w, err)
		return
	}
	k := AccountKey{q.message.Organisation, q.account.Name}
	t, err := h.options.Limiter.Begin(now, k, limit.Limits{Rate: q.account.Rate, Concurrency: q.account.Concurrency})
	if err != nil {
		refuse(w, overLimit(err))
		return
	}
	defer t.End()
	if err := q.readBody(w, r); err != nil {
		refuse(w, err)
		return
	}
	q.message.RequestId = id
	m := h.forward(r.Context(), q)
	write(w, r.Method, m)
	if h.options.Observe != nil {
		h.options.Observe(q.message, m, time.Since(now))
	}
}

// overLimit returns the refusal of a request that the limiter didn't admit.
func overLimit(err error) *refusal {
	reason := "rate-limit"
	if !errors.Is(err, limit.ErrRate) {
		reason = "concurrency-limit"
	}
	return &refusal{http.StatusTooManyRequests, reason, err.Error()}
}

// replyMargin returns the part of the remaining time d of a request that is
// reserved for returning its answer.
func replyMargin(d time.Duration) time.Duration { return min(5*time.Millisecond, d/20) }

// forward returns the outcome by the deadline of q even if the Forwarder is
// late; the outcome is then unknown.
func (h *Handler) forward(c context.Context, q *request) *schema.ForwardReply {
	c, stop := context.WithDeadline(c, q.deadline.Add(-replyMargin(time.Until(q.deadline))))
	defer stop()
	out := make(chan *schema.ForwardReply, 1)
	h.group.Go(func() { out <- h.options.Forwarder.Forward(c, q.message) })
	select {
	case m := <-out:
		return m
	case <-c.Done():
	}
	t := time.NewTimer(time.Until(q.deadline))
	defer t.Stop()
	select {
	case m := <-out:
		return m
	case <-t.C:
		return &schema.ForwardReply{Outcome: schema.Outcome_OUTCOME_UNKNOWN, Reason: ReasonDeadline}
	}
}

// Values of the outcome header, allocated once.
var (
	answered = []string{header.Answered}
	notRun   = []string{header.NotRun}
	unknown  = []string{header.Unknown}
)

// refuse answers a request that is not forwarded. An error that is no refusal
// gets the status 500.
func refuse(w http.ResponseWriter, err error) {
	var r *refusal
	if !errors.As(err, &r) {
		r = &refusal{http.StatusInternalServerError, "internal", err.Error()}
	}
	a := w.Header()
	a[header.Outcome], a[header.Reason] = notRun, []string{r.reason}
	writeText(w, r.status, r.text)
}

// writeText writes an answer of one line of text.
func writeText(w http.ResponseWriter, status int, text string) {
	a := w.Header()
	a["Content-Type"] = []string{"text/plain; charset=utf-8"}
	a["Content-Length"] = []string{strconv.Itoa(len(text) + 1)}
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n"))
}

// write answers a forwarded request with its outcome. A reply with an unknown
// outcome or an invalid status is reported as unknown.
func write(w http.ResponseWriter, method string, m *schema.ForwardReply) {
	a := w.Header()
	epoch := ""
	if m.Upstream != "" {
		epoch = strconv.FormatUint(m.Epoch, 10)
	}
	header.Set(a, header.Upstream, m.Upstream, header.Epoch, epoch, header.Home, m.Home, header.Reason, m.Reason)
	switch {
	case m.Outcome == schema.Outcome_OUTCOME_ANSWERED && header.IsFinal(int(m.Status)):
		a[header.Outcome] = answered
		writeAnswer(w, method, m)
	case m.Outcome == schema.Outcome_OUTCOME_NOT_RUN:
		a[header.Outcome] = notRun
		writeText(w, notRunStatus(m), "request was not run: "+m.Reason)
	default:
		a[header.Outcome] = unknown
		writeText(w, http.StatusBadGateway, "request may have been run: "+m.Reason)
	}
}

// writeAnswer copies the answer of the upstream to the caller.
func writeAnswer(w http.ResponseWriter, method string, m *schema.ForwardReply) {
	head := method == http.MethodHead
	noBody := head || m.Status == http.StatusNoContent || m.Status == http.StatusNotModified
	a := w.Header()
	header.Copy(a, m.Headers, head)
	if _, ok := a["Content-Type"]; !ok {
		a["Content-Type"] = nil // stops net/http from detecting a type
	}
	if !noBody {
		a["Content-Length"] = []string{strconv.Itoa(len(m.Body))}
	}
	w.WriteHeader(int(m.Status))
	if !noBody {
		_, _ = w.Write(m.Body)
	}
}

// notRunStatus returns the HTTP status of a request that was not run: the error
// status of the reply if it has one, otherwise 504 or 503 by the reason.
func notRunStatus(m *schema.ForwardReply) int {
	switch {
	case m.Status >= 400 && m.Status < 600:
		return int(m.Status)
	case m.Reason == ReasonDeadline:
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}
