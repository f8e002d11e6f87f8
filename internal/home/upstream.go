// Package home acts for the upstreams whose home is this instance.
package home

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"dandelionrock.example/dandelionrock/fence"
	"dandelionrock.example/dandelionrock/internal/header"
	"dandelionrock.example/dandelionrock/internal/value/preset"
	"dandelionrock.example/dandelionrock/schema"
	"github.com/cockroachdb/errors"
)

// Reasons of outcomes at the upstream; the values of header.Refused are others.
const (
	reasonDeadline    = "deadline"
	reasonCancelled   = "cancelled"
	reasonUnreachable = "upstream-unreachable"
	reasonClosed      = "connection-closed"
	reasonNotAllowed  = "authority-lost"
	reasonInvalid     = "invalid-request"
	reasonMismatch    = "request-id-mismatch"
	reasonTruncated   = "answer-truncated"
	reasonOversized   = "answer-too-large"
	reasonInterrupted = "upstream-interrupted"
	reasonRefusal     = "unrecognised-refusal"
)

// maxAnswerHeader bounds the headers of an answer in bytes.
const maxAnswerHeader = 64 << 10

// UpstreamOptions configures an Upstream. Zero values select the defaults.
type UpstreamOptions struct {
	// Address is host and port. Required.
	Address string
	// Connections bounds the connections. Default 4.
	Connections int
	// MaxAnswer bounds the body of an answer in bytes. Default 1 MiB.
	MaxAnswer int64
	// DialTimeout bounds one dial. Default 500 ms.
	DialTimeout time.Duration
	// IdleTimeout is the time after which an unused connection is closed; it
	// should be shorter than that of the upstream. Default 30 s.
	IdleTimeout time.Duration
	// Dial opens a connection. Default is a TCP dial.
	Dial func(c context.Context, address string) (net.Conn, error)
}

// Upstream sends requests to one upstream. Use NewUpstream.
type Upstream struct {
	options   UpstreamOptions
	transport *http.Transport
}

// NewUpstream returns an upstream without connections.
func NewUpstream(o UpstreamOptions) *Upstream {
	preset.Positive(&o.Connections, 4)
	preset.Positive(&o.MaxAnswer, 1<<20)
	preset.Positive(&o.DialTimeout, 500*time.Millisecond)
	preset.Positive(&o.IdleTimeout, 30*time.Second)
	if o.Dial == nil {
		var d net.Dialer
		o.Dial = func(c context.Context, a string) (net.Conn, error) { return d.DialContext(c, "tcp", a) }
	}
	u := &Upstream{options: o}
	u.transport = &http.Transport{
		DialContext: u.dial, DisableCompression: true, MaxResponseHeaderBytes: maxAnswerHeader,
		MaxConnsPerHost: o.Connections, MaxIdleConnsPerHost: o.Connections, IdleConnTimeout: o.IdleTimeout,
	}
	return u
}

// Close closes the idle connections. Requests that are being sent end by their
// contexts.
func (u *Upstream) Close() error {
	u.transport.CloseIdleConnections()
	return nil
}

// dialError is an error before any connection existed.
type dialError struct{ cause error }

func (e *dialError) Error() string { return "dial: " + e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

func (u *Upstream) dial(c context.Context, _, address string) (net.Conn, error) {
	c, stop := context.WithTimeout(c, u.options.DialTimeout)
	defer stop()
	n, err := u.options.Dial(c, address)
	if err != nil {
		return nil, &dialError{err}
	}
	return &conn{Conn: n}, nil
}

// conn counts writes, so that a failed request is known not to have been
// written.
type conn struct {
	net.Conn
	mu     sync.Mutex
	writes int
	sealed bool
}

var errSealed = errors.New("connection is sealed")

// Write counts a write before it begins.
func (k *conn) Write(b []byte) (int, error) {
	k.mu.Lock()
	if k.sealed {
		k.mu.Unlock()
		return 0, errSealed
	}
	k.writes++
	k.mu.Unlock()
	return k.Conn.Write(b)
}

func (k *conn) count() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.writes
}

// seal closes the connection; no write begins after it.
func (k *conn) seal() {
	k.mu.Lock()
	k.sealed = true
	k.mu.Unlock()
	_ = k.Close()
}

// exchange is one request and its answer.
type exchange struct {
	permit func() error
	// conn is the connection in use, nil before one was obtained. A request
	// that was not written may get a second one.
	conn *conn
	// before is the number of writes before the request.
	before int
	// written is set if an earlier connection may carry the request.
	written bool
	// refused is set if the permit was refused.
	refused bool
}

// obtain is called by the transport immediately before it writes the request.
func (x *exchange) obtain(i httptrace.GotConnInfo) {
	x.abort()
	x.written = x.mayBeWritten()
	x.conn, _ = i.Conn.(*conn)
	if x.conn == nil {
		return
	}
	x.before = x.conn.count()
	if x.permit() != nil {
		x.refused = true
		x.conn.seal()
	}
}

// mayBeWritten reports whether any byte of the request may have been written.
// The answer is final once the connection is sealed.
func (x *exchange) mayBeWritten() bool {
	return x.written || x.conn != nil && x.conn.count() > x.before
}

// abort makes sure that nothing of the request is written from now on and that
// the connection is not used again.
func (x *exchange) abort() {
	if x.conn != nil {
		x.conn.seal()
	}
}

// Send sends a request at most once and returns its outcome. Permit is called
// immediately before the request is written; with an error from it nothing is
// written. Answers that are not whole are never returned.
func (u *Upstream) Send(c context.Context, q *schema.ForwardRequest, t fence.Token, permit func() error) *schema.ForwardReply {
	x := &exchange{permit: permit}
	r, err := u.request(c, x, q, t)
	if err != nil {
		return notRun(reasonInvalid, false)
	}
	a, err := u.transport.RoundTrip(r)
	if err != nil {
		x.abort()
		return x.failed(c, err)
	}
	defer a.Body.Close()
	if v := a.Header[header.RequestID]; len(v) != 1 || v[0] != q.RequestId {
		x.abort()
		return unknown(reasonMismatch)
	}
	b, reason := u.readBody(a, q.Method)
	if reason != "" {
		x.abort()
	}
	if v := a.Header[header.Refused]; len(v) > 0 {
		return refusal(v[0])
	}
	if reason != "" {
		return unknown(reason)
	}
	m := &schema.ForwardReply{Outcome: schema.Outcome_OUTCOME_ANSWERED, Status: int32(a.StatusCode), Body: b}
	m.Headers, _ = header.Fields(a.Header, q.Method == http.MethodHead)
	return m
}

// request builds the message to the upstream.
func (u *Upstream) request(c context.Context, x *exchange, q *schema.ForwardRequest, t fence.Token) (*http.Request, error) {
	l := &url.URL{Scheme: "http", Host: u.options.Address, Opaque: q.Path}
	if len(q.Path) > 1 && q.Path[1] == '/' {
		// An opaque part with two slashes would be taken for a host.
		p, err := url.ParseRequestURI(q.Path)
		if err != nil {
			return nil, err
		}
		p.Scheme, p.Host = l.Scheme, l.Host
		l = p
	}
	h := make(http.Header, len(q.Headers)+8)
	header.Copy(h, q.Headers, false)
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil
	}
	timeout := ""
	if d, ok := c.Deadline(); ok {
		timeout = max(time.Until(d), time.Microsecond).Round(time.Microsecond).String()
	}
	header.Set(h, header.RequestID, q.RequestId, header.Key, q.Key, header.OrderID, q.OrderId,
		header.Term, t.Term.String(), header.Shard, t.Shard.String(),
		header.Epoch, strconv.FormatUint(uint64(t.Epoch), 10), header.Timeout, timeout)
	c = httptrace.WithClientTrace(c, &httptrace.ClientTrace{GotConn: x.obtain})
	r := (&http.Request{Method: q.Method, URL: l, Host: l.Host, Header: h, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}).WithContext(c)
	setBody(r, q.Body)
	return r, nil
}

// setBody attaches the body in a way that keeps the transport from sending a
// request again after it was written: it would repeat requests without a body
// if the method is idempotent or an Idempotency-Key is present.
func setBody(r *http.Request, b []byte) {
	for _, k := range [...]string{"Idempotency-Key", "X-Idempotency-Key"} {
		if v, ok := r.Header[k]; ok {
			delete(r.Header, k)
			r.Header[strings.ToLower(k)] = v
		}
	}
	if len(b) > 0 {
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(b)), int64(len(b))
		return
	}
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		// A body that can't be read twice; "identity" avoids chunks.
		r.Body, r.TransferEncoding = io.NopCloser(bytes.NewReader(nil)), []string{"identity"}
	default:
		r.Body = http.NoBody
	}
}
