// Package sender sends HTTP requests to targets over pooled connections. It
// never retries: a request is written to at most one connection.
package sender

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"dandelionrock.example/dandelionrock/internal/gate/depot"
	"dandelionrock.example/dandelionrock/internal/header"
	"dandelionrock.example/dandelionrock/platform"
	"dandelionrock.example/dandelionrock/schema"
	"github.com/cockroachdb/errors"
)

// Errors of Pool.Do.
var (
	// ErrNotSent reports that no connection could be opened and nothing was
	// sent.
	ErrNotSent = errors.New("request was not sent")
	// ErrNoResponse reports that sending began but no usable response came; the
	// target may have run the request.
	ErrNoResponse = errors.New("no usable response")
	// ErrConnectionLost reports that the target's end of the connection closed before a
	// response was complete. It comes with ErrNoResponse.
	ErrConnectionLost = errors.New("connection was lost")
)

const (
	// dialTimeout bounds the opening of a connection. Within a region this
	// takes a few milliseconds; with a full accept queue at the target it takes
	// seconds.
	dialTimeout = 500 * time.Millisecond
	// idleLimit is how long a connection may be idle before it is no longer
	// used, if the target doesn't state a shorter time. Targets close idle
	// connections after ten seconds.
	idleLimit = 8 * time.Second
	// idleMargin is subtracted from the idle timeout that a target states.
	idleMargin = time.Second
	// maxResponses bounds the responses that are read for one request: late
	// responses to earlier requests on the connection are skipped.
	maxResponses = 4
	// maxUnserved bounds the rejections on a connection until it is closed.
	maxUnserved = 32
	// unackedTimeout is the time after which a connection is closed if sent
	// data is not acknowledged.
	unackedTimeout = 2 * time.Second
)

// Target identifies one run of a target: Born is its start in Unix milliseconds.
type Target struct {
	ID      string
	Born    int64
	Address netip.AddrPort
}

// Request is a request to send.
type Request struct {
	Method, URI, Host string
	// Headers holds further header fields: not Host, Content-Length or those
	// set from Attempt, End and the target.
	Headers []*schema.HeaderField
	Body    []byte
	Attempt string
	// End is the deadline of the response.
	End time.Time
}

// Response is a complete response of a target.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// NotRun is set if the target states that it has not run the request.
	NotRun bool
}

// Pool holds the idle connections to all targets. Use New.
type Pool struct {
	mu     sync.Mutex
	closed bool
	idle   map[Target][]*conn
	dials  int
	bodies *depot.Depot
}

type conn struct {
	limited
	r *bufio.Reader
	// idleUntil is when the connection is no longer used if it is idle.
	idleUntil time.Time
	// exchanges counts the requests sent.
	exchanges int
	// unserved holds the attempts that a target rejected on this connection. They
	// are not sent on it again: a late copy of the rejection would be taken for the
	// response to the second sending.
	unserved []string
	bodies   *depot.Depot
}

// New returns an empty Pool. Bodies of responses take their memory from d.
func New(d *depot.Depot) *Pool { return &Pool{idle: map[Target][]*conn{}, bodies: d} }

// Dials returns the number of attempts to open a connection so far.
func (l *Pool) Dials() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dials
}

// Keep closes the idle connections to targets for which alive returns false.
func (l *Pool) Keep(alive func(Target) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p, cs := range l.idle {
		if !alive(p) {
			closeAll(cs)
			delete(l.idle, p)
		}
	}
}

// Close closes the idle connections. Connections in use are closed after their
// responses.
func (l *Pool) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, cs := range l.idle {
		closeAll(cs)
	}
	l.idle = nil
	return nil
}

func closeAll(cs []*conn) {
	for _, c := range cs {
		_ = c.Close()
	}
}

// Do sends a request and waits for the response until the request's End or the
// end of c. Its errors are marked with ErrNotSent or ErrNoResponse.
func (l *Pool) Do(c context.Context, p Target, r *Request) (*Response, error) {
	k, err := l.get(c, p, r.Attempt)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	_ = k.SetDeadline(r.End)
	stop := context.AfterFunc(c, func() { _ = k.SetDeadline(time.Unix(1, 0)) })
	a, reuse, err := k.exchange(p, r)
	if !stop() {
		reuse = false
	}
	if err != nil || !reuse {
		_ = k.Close()
	} else {
		l.put(p, k)
	}
	if err != nil {
		if isLoss(err) {
			err = errors.Mark(err, ErrConnectionLost)
		}
		return nil, errors.Mark(err, ErrNoResponse)
	}
	return a, nil
}

// isLoss reports whether an error tells that the other end has closed or reset the
// connection.
func isLoss(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE)
}

// refusedTimeout bounds the connection that Refuses opens.
const refusedTimeout = 200 * time.Millisecond

// Refuses reports whether a target refuses connections: no process listens at its address
// although its machine answers.
func (l *Pool) Refuses(c context.Context, p Target) bool {
	c, stop := context.WithTimeout(c, refusedTimeout)
	defer stop()
	k, err := l.dial(c, p.Address)
	if err == nil {
		_ = k.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// get returns an idle connection that may carry an attempt, or a new one.
func (l *Pool) get(c context.Context, p Target, attempt string) (*conn, error) {
	now := time.Now()
	for {
		l.mu.Lock()
		cs := l.idle[p]
		i := len(cs) - 1
		for i >= 0 && slices.Contains(cs[i].unserved, attempt) {
			i--
		}
		if i < 0 {
			l.dials++
			l.mu.Unlock()
			return l.dial(c, p.Address)
		}
		k := cs[i]
		l.idle[p] = slices.Delete(cs, i, i+1)
		l.mu.Unlock()
		if now.Before(k.idleUntil) && k.reusable() {
			return k, nil
		}
		_ = k.Close()
	}
}

func (l *Pool) put(p Target, k *conn) {
	_ = k.SetDeadline(time.Time{})
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = k.Close()
		return
	}
	l.idle[p] = append(l.idle[p], k)
}

func (l *Pool) dial(c context.Context, a netip.AddrPort) (*conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: Control}
	n, err := d.DialContext(c, "tcp", a.String())
	if err != nil {
		return nil, err
	}
	k := &conn{limited: limited{Conn: n}, bodies: l.bodies}
	k.r = bufio.NewReader(&k.limited)
	return k, nil
}

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux.
const tcpUserTimeout = 0x12

// Control sets TCP_USER_TIMEOUT on a connection, so that it fails if sent data
// is not acknowledged within unackedTimeout. It is for net.Dialer.
func Control(_, _ string, r syscall.RawConn) error {
	var err error
	if e := r.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	}); e != nil {
		return e
	}
	return err
}

// reusable reports whether an idle connection is still open and has no unread
// bytes: a target may have closed it or sent more than its response.
func (k *conn) reusable() bool {
	if k.r.Buffered() > 0 {
		return false
	}
	s, ok := k.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, e := syscall.Read(int(fd), b[:])
		reusable = e == syscall.EAGAIN
		return true
	})
	return err == nil && reusable
}

// exchange writes a request and reads its response. It also reports whether the
// connection can be reused.
func (k *conn) exchange(p Target, r *Request) (*Response, bool, error) {
	k.exchanges++
	s := k.startSending(p, r)
	a, reuse, err := k.response(r)
	sent := s.end(a)
	if err != nil {
		return nil, false, errors.CombineErrors(err, s.err)
	}
	return a, reuse && sent, nil
}

// response reads the response to a request, which may still be being written. It also
// reports whether the connection can be reused.
func (k *conn) response(r *Request) (*Response, bool, error) {
	for range maxResponses {
		a, reuse, err := k.read(r)
		if err != nil {
			return nil, false, err
		}
		id := a.Header.Get(platform.HeaderAttempt)
		if k.belongs(id, r, a) {
			if a.NotRun {
				k.unserved = append(k.unserved, r.Attempt)
			}
			return a, reuse && k.r.Buffered() == 0 && len(k.unserved) < maxUnserved, nil
		} else if id == "" || !reuse {
			return nil, false, errors.Newf("response with status %d belongs to attempt %q", a.Status, id)
		}
	}
	return nil, false, errors.New("too many responses to other requests")
}

// belongs reports whether a response with an attempt id is the one to a request.
// Rejections may lack the id. On a connection that has carried another request, one
// without it may be a late copy of an earlier rejection, and the request may run.
func (k *conn) belongs(id string, r *Request, a *Response) bool {
	return id == r.Attempt || id == "" && a.NotRun && k.exchanges == 1
}

// read reads one final response with its body and skips interim responses. It
// also reports whether the target keeps the connection open.
func (k *conn) read(r *Request) (*Response, bool, error) {
	q := &http.Request{Method: r.Method}
	k.left = maxHead
	var w *http.Response
	for {
		var err error
		if w, err = http.ReadResponse(k.r, q); err != nil {
			return nil, false, errors.Wrap(err, "read response")
		}
		if header.IsFinal(w.StatusCode) {
			break
		}
		if !header.IsInterim(w.StatusCode) {
			return nil, false, errors.Newf("response has status %q", w.Status)
		}
	}
	defer w.Body.Close()
	// Framing may take as many bytes as the body, and those of a head.
	k.left = maxHead
	b, err := k.bodies.ReadResponse(w.Body, func(n int) { k.left += 2 * int64(n) })
	if errors.Is(err, depot.ErrTooLong) {
		err = errors.Mark(err, ErrTooLong)
	}
	if err != nil {
		return nil, false, errors.Wrap(err, "read response body")
	}
	k.idleUntil = time.Now().Add(idleTime(w.Header))
	a := &Response{Status: w.StatusCode, Header: w.Header, Body: b}
	a.NotRun = w.Header.Get(platform.HeaderNotRun) != "" || w.StatusCode == http.StatusMisdirectedRequest
	return a, !w.Close, nil
}

// idleTime returns how long a connection may be idle, from the timeout in the
// Keep-Alive header of a response.
func idleTime(h http.Header) time.Duration {
	for _, f := range strings.Split(h.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(f), "timeout="); ok {
			if n, err := strconv.Atoi(v); err == nil {
				return min(idleLimit, max(time.Duration(n)*time.Second-idleMargin, 0))
			}
		}
	}
	return idleLimit
}
