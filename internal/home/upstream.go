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

// Reasons of outcomes of requests to the upstream. Refusals by the upstream have
// the values of header.Refused.
const (
	reasonDeadline       = "deadline"
	reasonCancelled      = "cancelled"
	reasonUnreachable    = "upstream-unreachable"
	reasonClosed         = "connection-closed"
	reasonAuthorityLost  = "authority-lost"
	reasonInvalid        = "invalid-request"
	reasonMismatch       = "request-id-mismatch"
	reasonTruncated      = "answer-truncated"
	reasonOversized      = "answer-too-large"
	reasonInterrupted    = "upstream-interrupted"
	reasonUnknownRefusal = "unrecognised-refusal"
	reasonStatus         = "invalid-status"
)

// maxAnswerHeader is the maximum size of the headers of an answer in bytes.
const maxAnswerHeader = 64 << 10

// UpstreamOptions configures an Upstream. Zero values select the defaults.
type UpstreamOptions struct {
	// Address is the host and port of the upstream. Required.
	Address string
	// Connections is the maximum number of connections. Default 4.
	Connections int
	// MaxAnswer is the maximum size of the body of an answer in bytes. Default
	// 1 MiB.
	MaxAnswer int64
	// DialTimeout is the timeout for opening a connection. Default 500 ms.
	DialTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is closed. It should
	// be shorter than the idle timeout of the upstream. Default 30 s.
	IdleTimeout time.Duration
	// Dial opens a connection. Default TCP.
	Dial func(c context.Context, address string) (net.Conn, error)
}

// Upstream sends requests to one upstream. Use NewUpstream.
type Upstream struct {
	options   UpstreamOptions
	transport *http.Transport
}

// NewUpstream returns an Upstream. It opens connections when they are needed.
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

// Close closes the idle connections. It does not end requests in flight.
func (u *Upstream) Close() error {
	u.transport.CloseIdleConnections()
	return nil
}

// dialError reports that no connection could be opened.
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

// conn is a connection that counts writes, so that a failed request can be proved
// not to have been written.
type conn struct {
	net.Conn
	mu      sync.Mutex
	writes  int
	aborted bool
}

var errAborted = errors.New("connection is aborted")

// Write counts the write before it begins. It returns errAborted after abort.
func (k *conn) Write(b []byte) (int, error) {
	k.mu.Lock()
	if k.aborted {
		k.mu.Unlock()
		return 0, errAborted
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

// abort closes the connection. No write begins afterwards.
func (k *conn) abort() {
	k.mu.Lock()
	k.aborted = true
	k.mu.Unlock()
	_ = k.Close()
}

// exchange is one request and its answer.
type exchange struct {
	permit func() error
	// conn is the connection in use, nil before there is one. The transport may
	// give a request that was not written another connection.
	conn *conn
	// writesBefore is the number of writes to conn before this request.
	writesBefore int
	// writtenEarlier is set if the request may have been written to an earlier
	// connection.
	writtenEarlier bool
	// refused is set if permit returned an error.
	refused bool
}

// gotConn is called by the transport immediately before it writes the request.
func (x *exchange) gotConn(i httptrace.GotConnInfo) {
	x.abort()
	x.writtenEarlier = x.mayBeWritten()
	x.conn, _ = i.Conn.(*conn)
	if x.conn == nil {
		return
	}
	x.writesBefore = x.conn.count()
	if x.permit() != nil {
		x.refused = true
		x.conn.abort()
	}
}

// mayBeWritten reports whether any byte of the request may have been written.
// The result no longer changes once the connection is aborted.
func (x *exchange) mayBeWritten() bool {
	return x.writtenEarlier || x.conn != nil && x.conn.count() > x.writesBefore
}

// abort aborts the connection in use, so that nothing more of the request is
// written and the connection is not reused.
func (x *exchange) abort() {
	if x.conn != nil {
		x.conn.abort()
	}
}

// Send sends a request at most once and returns its outcome. It calls permit
// immediately before it writes the request. If permit returns an error, nothing
// is written. An incomplete answer is never returned.
func (u *Upstream) Send(c context.Context, q *schema.ForwardRequest, t fence.Token, permit func() error) *schema.ForwardReply {
	x := &exchange{permit: permit}
	r, err := u.request(c, x, q, t)
	if err != nil {
		return notRun(reasonInvalid, false)
	}
	a, err := u.transport.RoundTrip(r)
	if err != nil {
		x.abort()
		return x.failureOutcome(c, err)
	}
	defer a.Body.Close()
	if !header.IsFinal(a.StatusCode) {
		x.abort()
		return unknown(reasonStatus)
	}
	if v := a.Header[header.RequestID]; len(v) != 1 || v[0] != q.RequestId {
		x.abort()
		return unknown(reasonMismatch)
	}
	b, reason := u.readBody(a, q.Method)
	if reason != "" {
		x.abort()
	}
	if v := a.Header[header.Refused]; len(v) > 0 {
		return refusalOutcome(v[0])
	}
	if reason != "" {
		return unknown(reason)
	}
	m := &schema.ForwardReply{Outcome: schema.Outcome_OUTCOME_ANSWERED, Status: int32(a.StatusCode), Body: b}
	m.Headers, _ = header.Fields(a.Header, q.Method == http.MethodHead)
	return m
}

// request returns the HTTP request to the upstream.
func (u *Upstream) request(c context.Context, x *exchange, q *schema.ForwardRequest, t fence.Token) (*http.Request, error) {
	l := &url.URL{Scheme: "http", Host: u.options.Address, Opaque: q.Path}
	if len(q.Path) > 1 && q.Path[1] == '/' {
		// An opaque part that begins with two slashes would be parsed as a host.
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
	c = httptrace.WithClientTrace(c, &httptrace.ClientTrace{GotConn: x.gotConn})
	r := (&http.Request{Method: q.Method, URL: l, Host: l.Host, Header: h, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}).WithContext(c)
	setBody(r, q.Body)
	return r, nil
}

// setBody sets the body of r such that the transport does not resend the request
// after it was written. The transport would resend a request without a body if
// the method is idempotent or r has an Idempotency-Key header.
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
		// A body that is not known to be empty and can't be read again. "identity"
		// avoids chunked encoding.
		r.Body, r.TransferEncoding = io.NopCloser(bytes.NewReader(nil)), []string{"identity"}
	default:
		r.Body = http.NoBody
	}
}
