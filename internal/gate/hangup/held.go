package hangup

import (
	"bytes"
	"hash/fnv"
	"io"
	"net"
	"net/http"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/gate/depot"
	"dandelionrock.example/dandelionrock/internal/plan/shed"
)

const (
	// writeSize is the size in bytes of the parts in which responses are written, so that
	// a client that takes some of one is told from a client that takes nothing.
	writeSize = 64 << 10
	// requestSize is about the memory in bytes of a request, and fieldSize that of each
	// field of its head, beside the text of the head.
	requestSize = 2 << 10
	fieldSize   = 384
)

// Bounded is implemented by handlers that bound the number of connections, and the memory
// for the responses and requests of all of them.
type Bounded interface {
	// Memory returns the owner of that memory.
	Memory() *depot.Depot
	// Evicted is called when a connection has been closed because of what it took.
	Evicted(e Eviction)
}

// Eviction describes a connection that has been closed because of what it took.
type Eviction struct {
	shed.Victim
	// Request is the request that was served last, nil if there was none, and Remote the
	// address of the client.
	Request *http.Request
	Remote  net.Addr
	// Owed is the number of requests that get no response, or not all of it.
	Owed int
}

// open opens the tab of a connection. It reports false if there is no place for one.
func (c *conn) open(now clock.Time) bool {
	if c.runner.bounded == nil {
		return true
	}
	t, ok := c.runner.bounded.Memory().Open(now, origin(c.RemoteAddr()), c.evict)
	c.tab = t
	return ok
}

// origin returns the origin of connections from an address: its IP address.
func origin(a net.Addr) shed.Origin {
	h := fnv.New64a()
	if t, ok := a.(*net.TCPAddr); ok {
		_, _ = h.Write(t.IP)
	}
	return shed.Origin(h.Sum64())
}

// evict closes the connection at once: what the client has not received is dropped, also
// by the kernel. If there are too many connections, one that serves a request stays.
func (c *conn) evict(v shed.Victim) {
	e := Eviction{Victim: v, Remote: c.RemoteAddr(), Owed: c.owed()}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case v.Cause == shed.Connections && c.closed:
		_ = c.Conn.Close() // which ends the wait for the client
	case c.closed:
		return
	case v.Cause == shed.Connections && (!c.tab.Waits() || c.cancel == nil && len(c.waiting) > 0):
		c.tab.Spare()
		return
	}
	e.Request, c.peerEnded = c.serving, true
	if t, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok && (v.Cause == shed.Memory || c.cancel != nil) {
		_ = t.SetLinger(0) // the connection is closed in any case
	}
	_ = c.close() // it is closed, or has just been
	c.runner.bounded.Evicted(e)
}

// bodyReader is the body of a request while its client sends it.
type bodyReader struct {
	io.ReadCloser
	conn *conn
	// begun is set once the body is read.
	begun bool
}

// Read implements io.Reader. It fails once the connection is closed, also if the body is
// whole: its request must not be passed on then.
func (b *bodyReader) Read(p []byte) (int, error) {
	c := b.conn
	if !b.begun {
		b.begun = true
		c.mu.Lock()
		c.tab.Receive(c.arrived)
		c.mu.Unlock()
	}
	n, err := b.ReadCloser.Read(p)
	if err == nil {
		return n, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	c.tab.Serve()
	return n, err
}

// count counts what has arrived and is not served, and the head of the request that is.
// The caller holds mu.
func (c *conn) count() {
	if c.tab == nil {
		return
	}
	n := int64(c.size) + c.queuedSize + c.servingSize
	if len(c.head) > 0 {
		n += headSize(c.head)
	}
	if n != c.counted {
		c.tab.Hold(n - c.counted)
		c.counted = n
	}
}

// headSize returns about the memory in bytes of a request with the given head, which may
// not be whole.
func headSize(head []byte) int64 {
	return int64(requestSize + len(head) + fieldSize*bytes.Count(head, lineEnd))
}

// lineEnd ends a line of a head.
var lineEnd = []byte("\n")

// sizeOf is like headSize for a request whose head has been parsed.
func sizeOf(r *http.Request) int64 {
	n := requestSize + len(r.RequestURI)
	for k, vs := range r.Header {
		for _, v := range vs {
			n += fieldSize + len(k) + len(v)
		}
	}
	return int64(n)
}

// writeParts writes b in parts, to tell whether the client takes any of it.
func (c *conn) writeParts(b []byte) (int, error) {
	defer c.tab.Written()
	n := 0
	for {
		c.tab.Write()
		k, err := c.Conn.Write(b[n:min(n+writeSize, len(b))])
		n += k
		if err != nil || n == len(b) {
			return n, err
		}
	}
}

// writer counts the parts of a response while they are written.
type writer struct {
	http.ResponseWriter
	tab *depot.Tab
}

// Write implements http.ResponseWriter.
func (w writer) Write(b []byte) (int, error) {
	n := int64(cap(b))
	w.tab.Hold(n)
	defer w.tab.Hold(-n)
	return w.ResponseWriter.Write(b)
}

// Unwrap is for http.ResponseController.
func (w writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }
