package entry

import (
	"hash/fnv"
	"net/http"
	"strings"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/gate/depot"
	"dandelionrock.example/dandelionrock/internal/gate/hangup"
	"dandelionrock.example/dandelionrock/platform"
	"github.com/cockroachdb/errors"
)

const (
	// reasonBodiesFull states that other requests take the memory.
	reasonBodiesFull = "bodies-full"
	// retryAfterBodiesFull is the Retry-After then: a body of 64 MiB takes about that time
	// at 1 Gbit/s.
	retryAfterBodiesFull = 500 * time.Millisecond
)

// readBody reads the body of a request until its deadline. If that fails, it refuses the
// request and returns false. The rest of the body is not read then; the connection ends
// with the response.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request, begin clock.Time, t *platform.Route, limit int64) (*depot.Body, bool) {
	if !hasBody(r) {
		return nil, true
	}
	expired := e.expireRead(w, r, begin, t)
	b, err := e.Bodies.Read(r.Body, hangup.Tab(r.Context()), account(r), r.ContentLength, depot.MaxBody(limit))
	late := expired()
	if err == nil && !late {
		return b, true
	}
	_ = b.Close()
	endConnection(w)
	switch {
	case errors.Is(err, depot.ErrTooLong):
		e.refuse(w, r, http.StatusRequestEntityTooLarge, "bad-body", 0)
	case errors.Is(err, depot.ErrFull):
		e.refuse(w, r, http.StatusServiceUnavailable, reasonBodiesFull, retryAfterBodiesFull)
	case late:
		e.refuse(w, r, http.StatusServiceUnavailable, "deadline", retryAfterUnserved)
	default:
		e.refuse(w, r, http.StatusBadRequest, "bad-body", 0)
	}
	return nil, false
}

// hasBody reports whether a request has a body.
func hasBody(r *http.Request) bool { return r.Body != nil && r.Body != http.NoBody }

// endConnection has the connection end with the response. The server would wait for the
// rest of a short body even then, so that its reads fail from now on.
func endConnection(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(past) // other writers have no connection
}

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// account returns the client account of a request with a large body: that of its
// credential or, without one, that of its address. Small bodies count for none.
func account(r *http.Request) depot.Account {
	if r.ContentLength >= 0 && r.ContentLength <= depot.SmallBody {
		return 0
	}
	id := r.Header.Get("Authorization")
	if id == "" {
		id = r.RemoteAddr[:max(strings.LastIndexByte(r.RemoteAddr, ':'), 0)]
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return depot.Account(h.Sum64())
}

// expireRead makes reads from the connection fail at the deadline of a request, because a
// body that is not complete then only takes memory. The function that it returns ends
// that, and reports whether the deadline has passed.
func (e *Entry) expireRead(w http.ResponseWriter, r *http.Request, begin clock.Time, t *platform.Route) func() bool {
	d, err := statedDeadline(r)
	if err != nil {
		d = t.Timeout // newRequest refuses the request.
	}
	left := begin.Add(min(d, t.Timeout)).Sub(clock.Boot())
	c := http.NewResponseController(w)
	n := time.AfterFunc(left, func() { _ = c.SetReadDeadline(past) })
	return func() bool { return !n.Stop() }
}
