// Package hangup notices that a client has closed its connection while a
// request of it is served. Package net/http notices that only until the next
// request arrives on the connection; clients that send requests ahead would have
// their abandoned requests executed.
package hangup

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"

	"dandelionrock.example/dandelionrock/clock"
)

const (
	// maxAhead bounds the bytes of further requests that are held for a
	// connection; a client that sends more is not watched meanwhile.
	maxAhead = 64 << 10
	// readSize is the size of one read ahead: that of the buffer of net/http.
	readSize = 4 << 10
)

// Listener accepts connections that are read ahead while a request is served.
type Listener struct{ net.Listener }

// Accept waits for the next connection.
func (l Listener) Accept() (net.Conn, error) {
	n, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: n}
	c.changed.L = &c.mu
	return c, nil
}

// chunk is the result of one read.
type chunk struct {
	data []byte
	at   clock.Time
}

// conn is a connection that a server reads and that is read ahead of it.
type conn struct {
	net.Conn

	mu sync.Mutex
	// changed is signalled when any of the fields below changes.
	changed sync.Cond
	// ahead holds the reads that were made ahead and not yet passed on, at most
	// maxAhead and a read in size.
	ahead []chunk
	size  int
	// buffer takes the reads ahead; nil before the first.
	buffer []byte
	// arrived is when the bytes came that were last passed on.
	arrived clock.Time
	// err is what ended the connection; it follows on ahead.
	err error
	// reading is set during a read of the server, following while the
	// connection is read ahead. At most one of them is set.
	reading, following bool
	// requests counts those that were begun.
	requests int
	// gone is called when the connection ends; nil while no request is served.
	gone context.CancelFunc
}

// Read returns what was read ahead first.
func (c *conn) Read(b []byte) (int, error) {
	c.mu.Lock()
	for len(c.ahead) == 0 && c.err == nil && c.following {
		c.changed.Wait()
	}
	if len(c.ahead) > 0 {
		defer c.mu.Unlock()
		return c.take(b), nil
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
	if err == nil && c.gone != nil {
		c.follow()
	}
	return n, err
}

// take passes on bytes of the first chunk only, so that arrived is true of the
// request that they complete; the caller holds mu.
func (c *conn) take(b []byte) int {
	k := &c.ahead[0]
	n := copy(b, k.data)
	c.arrived = k.at
	c.size -= n
	if k.data = k.data[n:]; len(k.data) == 0 {
		c.ahead = c.ahead[1:]
	}
	return n
}

// CloseWrite ends the sending direction, so that the server can close a
// connection without the loss of an answer.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// follow starts to read ahead; the caller holds mu, and nothing reads.
func (c *conn) follow() {
	if c.buffer == nil {
		c.buffer = make([]byte, readSize)
	}
	c.following = true
	go c.readAhead()
}

// readAhead reads until no request is served, the connection ends or enough is
// held. It also ends when the server has set a deadline that passes: the
// server's next read then meets the deadline itself.
func (c *conn) readAhead() {
	for {
		n, err := c.Conn.Read(c.buffer)
		c.mu.Lock()
		if n > 0 {
			c.ahead = append(c.ahead, chunk{bytes.Clone(c.buffer[:n]), clock.Boot()})
			c.size += n
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.err = err
			if c.gone != nil {
				c.gone()
			}
		}
		c.following = err == nil && c.gone != nil && c.size < maxAhead
		more := c.following
		c.changed.Broadcast()
		c.mu.Unlock()
		if !more {
			return
		}
	}
}

// begin has gone called when the connection ends.
func (c *conn) begin(gone context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gone = gone
	c.requests++
	if c.err != nil {
		gone()
	} else if !c.reading && !c.following {
		c.follow()
	}
}

func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gone = nil
}

// Arrived returns when the last bytes of a request had come, which for a request
// that was sent ahead is before the one before it has ended. Without a Listener
// it is the present time.
func Arrived(c context.Context) clock.Time {
	n, ok := c.Value(key{}).(*conn)
	if !ok {
		return clock.Boot()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.arrived
}

// Reused reports whether the connection of a request has served one before it.
func Reused(c context.Context) bool {
	n, ok := c.Value(key{}).(*conn)
	if !ok {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.requests > 1
}

// key is that of a connection in the contexts of its requests.
type key struct{}

// ConnContext adds a connection to its context, for the field of http.Server.
func ConnContext(c context.Context, n net.Conn) context.Context {
	return context.WithValue(c, key{}, n)
}

// Handler returns a handler that passes requests to h, with a context that ends
// when the client has closed the connection. The server needs a Listener and
// ConnContext.
func Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, ok := r.Context().Value(key{}).(*conn)
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		c, stop := context.WithCancel(r.Context())
		defer stop()
		n.begin(stop)
		defer n.end()
		h.ServeHTTP(w, r.WithContext(c))
	})
}
