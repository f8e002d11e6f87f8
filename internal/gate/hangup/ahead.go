package hangup

import (
	"bufio"
	"bytes"
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"

	"dandelionrock.example/dandelionrock/clock"
	"github.com/cockroachdb/errors"
)

const (
	// maxConnAhead bounds the requests of one connection that are executed ahead of
	// their turn, so that a client gets no more slots by sending more ahead.
	maxConnAhead = 8
	// maxHead bounds the head of a request in bytes, and thereby what is kept of a
	// request that has not arrived completely. Longer ones are not executed ahead.
	maxHead = 64 << 10
)

// Policy is implemented by handlers whose requests may be executed before the
// requests ahead of them on the same connection are answered. Package net/http
// passes on a pipelined request only when the one before it is answered. Responses
// are always sent in the order of the requests.
type Policy interface {
	// MayRunAhead reports whether a request may be executed beside those that were
	// sent before and after it on its connection. It must be idempotent.
	MayRunAhead(r *http.Request) bool
	// MaxAhead bounds the requests of all connections that are executed ahead.
	MaxAhead() int
	// EndsConnections reports whether connections are to end, each with the response to the last
	// request that has arrived. The handler announces that in responses that it writes in
	// their turn, by Followed.
	EndsConnections() bool
}

// Runner is the handler that Handler returns. It executes requests ahead of their turn.
type Runner struct {
	handler http.Handler
	policy  Policy
	bounded Bounded
	// running counts the requests of all connections that are executed ahead.
	running atomic.Int64

	mu sync.Mutex
	// conns holds the open connections that have passed a request to the handler.
	conns map[*conn]struct{}
}

// ErrGiveWay is the cause with which the context of a request ends that gives way to
// responses behind it; see EndBlocking. The handler still has to write a response.
var ErrGiveWay = errors.New("request gives way to responses that are ready behind it")

// Owed returns the number of requests whose heads have arrived and whose responses are
// not written yet. Package net/http knows only of those whose turn has come: its Shutdown
// loses the requests behind them, and their responses.
func (n *Runner) Owed() int {
	owed := 0
	for _, c := range n.open() {
		owed += c.owed()
	}
	return owed
}

// EndBlocking ends the requests that hold up responses that are ready behind them on
// their connections, with ErrGiveWay.
func (n *Runner) EndBlocking() {
	for _, c := range n.open() {
		c.endBlocking()
	}
}

// open returns the connections that are open.
func (n *Runner) open() []*conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Collect(maps.Keys(n.conns))
}

// add adds a connection with its first request.
func (n *Runner) add(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[c] = struct{}{}
}

func (n *Runner) remove(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

// mayRun reports whether a request may be executed beside others.
func (n *Runner) mayRun(r *http.Request) bool {
	return n.policy != nil && hasNoBody(r) && r.ProtoAtLeast(1, 1) && r.Host != "" && r.Header["Expect"] == nil && n.policy.MayRunAhead(r)
}

func hasNoBody(r *http.Request) bool { return r.ContentLength == 0 && len(r.TransferEncoding) == 0 }

// queued is a request whose head has arrived and that the server has not passed to
// the handler yet.
type queued struct {
	request *http.Request
	// size is about the memory of the request in bytes.
	size int64
	// at is when the head was complete.
	at clock.Time
	// done is closed when the execution has ended; nil if it has not begun.
	done   chan struct{}
	cancel context.CancelCauseFunc
	// response and panicked are the result; read them after done is closed.
	response response
	panicked any
	// lost is called if the response is ready and is not delivered; nil if nobody
	// wants to know. Read it after done is closed.
	lost func()
}

// isReady reports whether the execution has ended, so that only the requests before it
// hold its response up.
func (q *queued) isReady() bool {
	if q.done == nil {
		return false
	}
	select {
	case <-q.done:
		return true
	default:
		return false
	}
}

// tellLost tells the handler that the response is not delivered.
func (q *queued) tellLost() {
	if q.lost != nil {
		q.lost()
	}
}

// OnLost has f called if the response to the request with context c is not delivered
// although the handler has completed it, because its connection ends before the
// responses ahead of it are sent. The handler must call it before it returns.
func OnLost(c context.Context, f func()) {
	if q, ok := c.Value(queuedKey{}).(*queued); ok {
		q.lost = f
	}
}

// observe takes bytes that arrived, in order, and queues the requests whose heads
// they complete. The server parses the same bytes again when it is their turn; both
// use the parser of net/http. The caller holds mu.
func (c *conn) observe(b []byte, at clock.Time) {
	for len(b) > 0 && !c.untracked {
		if c.skip > 0 {
			n := min(c.skip, int64(len(b)))
			c.skip -= n
			b = b[n:]
			continue
		}
		// The end of a head may lie across two reads.
		from := max(len(c.head)-len(headEnd)+1, 0)
		c.head = append(c.head, b...)
		i := bytes.Index(c.head[from:], headEnd)
		if i < 0 {
			c.untracked = len(c.head) > maxHead
			break
		}
		n := from + i + len(headEnd)
		b = bytes.Clone(c.head[n:])
		c.enqueue(c.head[:n], at)
		c.head = c.head[:0]
	}
	if c.untracked {
		c.head = nil
	}
}

// headEnd ends the head of a request.
var headEnd = []byte("\r\n\r\n")

// enqueue parses a head and queues its request. If the end of the request can't be
// told, or there is no room for requests that wait, the connection is no longer tracked,
// and its further requests wait for their turn.
func (c *conn) enqueue(head []byte, at clock.Time) {
	if c.cancel != nil && !c.tab.HasRoom() {
		c.untracked = true
		return
	}
	b := bytes.NewReader(head)
	p := bufio.NewReaderSize(b, len(head))
	r, err := http.ReadRequest(p)
	if err != nil || b.Len()+p.Buffered() > 0 {
		// A malformed head, or one that ends before headEnd.
		c.untracked = true
		return
	}
	if r.RequestURI == "*" {
		// The server answers it without the handler.
		c.untracked = true
		return
	}
	q := &queued{request: r, size: headSize(head), at: at}
	c.waiting = append(c.waiting, q)
	c.queuedSize += q.size
	c.untracked = r.Close || r.ContentLength < 0 || len(r.TransferEncoding) > 0 || r.Method == http.MethodConnect || r.Header["Upgrade"] != nil
	c.skip = max(r.ContentLength, 0)
}

// take removes the request that the server passes to the handler from the queue. It
// returns nil if the connection is not tracked.
func (c *conn) take(r *http.Request) *queued {
	if len(c.waiting) == 0 {
		c.servingSize = sizeOf(r)
		return nil
	}
	q := c.waiting[0]
	c.servingSize = q.size
	if !sameRequest(q.request, r) {
		c.untracked = true
		c.dropAhead()
		return nil
	}
	c.queuedSize -= q.size
	c.waiting[0] = nil // it must not be reachable when its response is delivered
	c.waiting = c.waiting[1:]
	return q
}

// sameRequest reports whether two heads are the same.
func sameRequest(a, b *http.Request) bool {
	return a.Method == b.Method && a.RequestURI == b.RequestURI && a.Host == b.Host && a.Proto == b.Proto &&
		maps.EqualFunc(a.Header, b.Header, slices.Equal[[]string])
}

// startAhead starts the execution of queued requests while one is served. A request
// that must run alone holds back those after it. The caller holds mu.
func (c *conn) startAhead() {
	if c.cancel == nil || c.alone || c.err != nil {
		return
	}
	for i, q := range c.waiting {
		if q.done != nil {
			continue
		}
		if i >= maxConnAhead || !c.tab.HasRoom() || !c.runner.mayRun(q.request) || c.runner.running.Load() >= int64(c.runner.policy.MaxAhead()) {
			return
		}
		c.start(q)
	}
}

// start starts the execution of a request; the caller holds mu.
func (c *conn) start(q *queued) {
	x, stop := context.WithCancelCause(context.WithValue(c.base, queuedKey{}, q))
	q.cancel, q.done = stop, make(chan struct{})
	q.response.tab = c.tab
	n := c.runner
	n.running.Add(1)
	go func() {
		defer close(q.done)
		defer n.running.Add(-1)
		defer stop(nil)
		defer func() { q.panicked = recover() }()
		n.handler.ServeHTTP(&q.response, q.request.WithContext(x))
	}()
}

// cancelAhead cancels all executions ahead; the caller holds mu.
func (c *conn) cancelAhead() {
	for _, q := range c.waiting {
		if q.cancel != nil {
			q.cancel(nil)
		}
	}
}

// owed returns the number of requests whose heads have arrived and whose responses are
// not written yet.
func (c *conn) owed() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.waiting)
	if c.cancel != nil {
		n++
	}
	return n
}

// endBlocking ends the requests ahead of the last response that is ready.
func (c *conn) endBlocking() {
	c.mu.Lock()
	defer c.mu.Unlock()
	blocked := false
	for _, q := range slices.Backward(c.waiting) {
		switch {
		case q.isReady():
			blocked = true
		case blocked && q.cancel != nil:
			q.cancel(ErrGiveWay)
		}
	}
	if blocked && c.cancel != nil {
		c.cancel(ErrGiveWay)
	}
}

// dropAhead cancels all executions ahead, whose responses are not delivered. The caller
// holds mu.
func (c *conn) dropAhead() {
	c.cancelAhead()
	for _, q := range c.waiting {
		if q.isReady() {
			q.tellLost()
		}
		q.response.drop()
	}
	c.waiting, c.queuedSize = nil, 0
}

// deliver waits for the execution of a request and writes its response, or panics as
// the handler did. If c ends, the execution is cancelled.
func (q *queued) deliver(c context.Context, w http.ResponseWriter, p Policy) {
	stop := context.AfterFunc(c, func() { q.cancel(context.Cause(c)) })
	<-q.done
	stop()
	defer q.response.drop()
	if q.panicked != nil {
		panic(q.panicked)
	}
	if p.EndsConnections() && !Followed(c) {
		w.Header().Set("Connection", "close")
	}
	if q.response.writeTo(w) != nil {
		q.tellLost()
	}
}

// queuedKey is the context key of a request that is executed ahead.
type queuedKey struct{}

// Followed reports whether requests have arrived behind the one with context c on its
// connection, so that the connection must not end with its response. It is true for a
// request that is executed ahead, whose response is not the next one.
func Followed(c context.Context) bool {
	n, ok := c.Value(key{}).(*conn)
	if !ok {
		return false
	}
	if c.Value(queuedKey{}) != nil {
		return true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.waiting) > 0
}
