// Package hangup serves clients that pipeline requests. It cancels the context of a
// request when its client closes the connection: package net/http detects that only
// until the next request arrives, so that the abandoned requests of pipelining
// clients would be executed. It also executes pipelined requests at the same time,
// if the handler permits it; see Policy.
package hangup

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/gate/depot"
	"dandelionrock.example/dandelionrock/internal/sock/linger"
)

const (
	// maxAhead bounds the bytes that are buffered for a connection, apart from
	// the last read. Beyond it reading ahead stops, and a closed connection is
	// not detected.
	maxAhead = 64 << 10
	// readSize is the size of one read ahead, the same as of the read buffer of
	// net/http.
	readSize = 4 << 10
)

// Listener accepts connections that are read ahead while a request is served,
// to detect that the client closes them. When the server closes one, its client still
// receives the last response.
type Listener struct {
	net.Listener
	closing *linger.Group
	runner  *Runner
}

// NewListener returns a listener for the requests of n, whose connections are closed by g.
func NewListener(l net.Listener, g *linger.Group, n *Runner) Listener { return Listener{l, g, n} }

// Accept waits for the next connection. If the handler is Bounded, connections for which
// there is no place are closed.
func (l Listener) Accept() (net.Conn, error) {
	for {
		n, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: n, closing: l.closing, runner: l.runner}
		c.changed.L = &c.mu
		now := clock.Boot()
		c.wroteAt.Store(int64(now))
		if c.open(now) {
			return c, nil
		}
		_ = n.Close() // nothing was read, and so nothing is lost
	}
}

// chunk holds the bytes of one read ahead and when they arrived.
type chunk struct {
	data []byte
	at   clock.Time
}

// conn is a connection that is read ahead of the server.
type conn struct {
	net.Conn
	closing *linger.Group

	mu sync.Mutex
	// wroteAt is when the server began its last write, or else accepted the connection, as
	// a clock.Time.
	wroteAt atomic.Int64
	// changed is broadcast after each read ahead, and after each read of a connection
	// that is closed.
	changed sync.Cond
	// ahead holds the reads ahead that the server has not read yet, and size
	// their bytes: less than maxAhead plus one read.
	ahead []chunk
	size  int
	// buffer is the buffer of readAhead; nil before its first run.
	buffer []byte
	// arrived is when the bytes arrived that the server read last.
	arrived clock.Time
	// err is the error that ended the connection. The server gets it after the
	// bytes in ahead.
	err error
	// reading is set while the server reads from the network, readingAhead
	// while readAhead runs. At most one of them is set.
	reading, readingAhead bool
	// peerEnded is set when a read has found that the client has closed the connection or
	// that it has failed, closed when the server has closed it.
	peerEnded, closed bool
	// requests counts the requests that were passed to the handler.
	requests int
	// cancel cancels the request that is served; nil if there is none.
	cancel context.CancelCauseFunc

	// waiting holds the requests whose heads have arrived and that the server has
	// not passed to the handler, in order.
	waiting []*queued
	// queuedSize is about the memory of these requests in bytes, and servingSize that of
	// the head of the request that is served.
	queuedSize, servingSize int64
	// head holds the beginning of the next request, and skip the rest of the body
	// of the last one in bytes. Both are kept while untracked is not set.
	head []byte
	skip int64
	// untracked is set when the end of a request could not be told. Requests that
	// arrive later are not queued.
	untracked bool
	// alone is set while a request is served that must run alone.
	alone bool
	// runner executes requests ahead, with contexts made from base, which is that of the
	// request that is served.
	runner *Runner
	base   context.Context
	// serving is the request that was passed to the handler last; nil before the first.
	serving *http.Request
	// tab counts what is held for the connection, and counted is the part of it for heads
	// and for requests that wait for their turn. tab is nil if nothing is counted.
	tab     *depot.Tab
	counted int64
}

// Read returns the bytes that were read ahead, or else reads from the network.
func (c *conn) Read(b []byte) (int, error) {
	c.mu.Lock()
	for len(c.ahead) == 0 && c.err == nil && c.readingAhead {
		c.changed.Wait()
	}
	if len(c.ahead) > 0 {
		defer c.mu.Unlock()
		return c.readBuffered(b), nil
	}
	if c.err != nil {
		defer c.mu.Unlock()
		return 0, c.err
	}
	c.reading = true
	c.mu.Unlock()
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading, c.arrived = false, clock.Boot()
	if c.closed {
		c.changed.Broadcast()
		return 0, net.ErrClosed
	}
	c.peerEnded = c.peerEnded || isEnd(err)
	c.tab.Received(c.arrived, n)
	c.observe(b[:n], c.arrived)
	c.count()
	if err == nil && c.cancel != nil {
		c.startAhead()
		c.startReadAhead()
	}
	return n, err
}

// readBuffered copies bytes of the first chunk only, so that arrived is right
// for the request that they complete; the caller holds mu.
func (c *conn) readBuffered(b []byte) int {
	k := &c.ahead[0]
	n := copy(b, k.data)
	c.arrived = k.at
	c.size -= n
	if k.data = k.data[n:]; len(k.data) == 0 {
		k.data = nil
		c.ahead = c.ahead[1:]
	}
	c.count()
	return n
}

// isEnd reports whether the error of a read means that no more can be read.
func isEnd(err error) bool { return err != nil && !errors.Is(err, os.ErrDeadlineExceeded) }

// startReadAhead starts readAhead; the caller holds mu, and reading and
// readingAhead are not set.
func (c *conn) startReadAhead() {
	if c.buffer == nil {
		c.buffer = make([]byte, readSize)
	}
	c.readingAhead = true
	go c.readAhead()
}

// readAhead reads until no request is served, the connection ends or maxAhead
// bytes are buffered. It also ends when a read deadline that the server has set
// passes; the server's next read then gets that error itself.
func (c *conn) readAhead() {
	for {
		n, err := c.Conn.Read(c.buffer)
		c.mu.Lock()
		if c.closed {
			c.readingAhead = false
			c.changed.Broadcast()
			c.mu.Unlock()
			return
		}
		if n > 0 {
			now := clock.Boot()
			c.ahead = append(c.ahead, chunk{bytes.Clone(c.buffer[:n]), now})
			c.size += n
			c.tab.Received(now, n)
			c.observe(c.buffer[:n], now)
			c.count()
			c.startAhead()
		}
		if isEnd(err) {
			c.err, c.peerEnded = err, true
			if c.cancel != nil {
				c.cancel(nil)
			}
			c.cancelAhead()
		}
		c.readingAhead = err == nil && c.cancel != nil && c.size < maxAhead
		more := c.readingAhead
		c.changed.Broadcast()
		c.mu.Unlock()
		if !more {
			return
		}
	}
}

// begin starts a request, which is cancelled when the connection ends. It returns
// the queued request, or nil if the connection is not tracked; and false if the
// connection is closed, so that the request must not run.
func (c *conn) begin(cancel context.CancelCauseFunc, n *Runner, r *http.Request) (*queued, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, false
	}
	c.cancel = cancel
	if c.requests++; c.requests == 1 {
		n.add(c)
	}
	c.tab.Serve()
	c.serving = r
	q := c.take(r)
	c.count()
	c.base, c.alone = context.WithoutCancel(r.Context()), !n.mayRun(r)
	if c.err != nil {
		cancel(nil)
		return q, true
	}
	c.startAhead()
	if !c.reading && !c.readingAhead {
		c.startReadAhead()
	}
	return q, true
}

func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel, c.servingSize = nil, 0
	c.count()
	c.tab.Receive(c.arrived)
}

// Arrived returns when the last bytes of the request with context c arrived. For
// a pipelined request that can be before the previous request ended. It returns
// the present time if the connection does not come from a Listener.
func Arrived(c context.Context) clock.Time {
	if q, ok := c.Value(queuedKey{}).(*queued); ok {
		return q.at
	}
	n, ok := c.Value(key{}).(*conn)
	if !ok {
		return clock.Boot()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.arrived
}

// Reused reports whether the connection of the request with context c has served
// an earlier request, or one is served before it.
func Reused(c context.Context) bool {
	n, ok := c.Value(key{}).(*conn)
	if !ok {
		return false
	}
	if c.Value(queuedKey{}) != nil {
		return true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.requests > 1
}

// Tab returns the tab of the connection of the request with context c, or nil if nothing is
// counted for it.
func Tab(c context.Context) *depot.Tab {
	n, ok := c.Value(key{}).(*conn)
	if !ok {
		return nil
	}
	return n.tab
}

// key is the context key of a request's connection.
type key struct{}

// ConnContext adds a connection to its context; it is for the field ConnContext
// of http.Server.
func ConnContext(c context.Context, n net.Conn) context.Context {
	return context.WithValue(c, key{}, n)
}

// Handler returns a handler that calls h with a context that is cancelled when
// the client closes the connection. If h is a Policy, pipelined requests run at the
// same time; if it is Bounded, connections are closed that hold too much. The server must
// use Listener and ConnContext.
func Handler(h http.Handler) *Runner {
	u := &Runner{handler: h, conns: map[*conn]struct{}{}}
	u.policy, _ = h.(Policy)
	u.bounded, _ = h.(Bounded)
	return u
}

// ServeHTTP implements http.Handler.
func (n *Runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	k, ok := r.Context().Value(key{}).(*conn)
	if !ok {
		n.handler.ServeHTTP(w, r)
		return
	}
	c, stop := context.WithCancelCause(r.Context())
	defer stop(nil)
	q, ok := k.begin(stop, n, r)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	defer k.end()
	if q != nil && q.done != nil {
		q.deliver(c, w, n.policy)
		return
	}
	r = r.WithContext(c)
	if k.tab != nil {
		w = writer{w, k.tab}
		if r.Body != http.NoBody {
			r.Body = &bodyReader{ReadCloser: r.Body, conn: k}
		}
	}
	n.handler.ServeHTTP(w, r)
}
