package hangup

import (
	"errors"
	"net"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/sock/linger"
)

// receiveTime is the time after the last write from which a connection can be closed
// at once if its client has received everything. Connections that are idle through a
// planned stop are.
const receiveTime = 3 * time.Second

// Write writes to the network.
func (c *conn) Write(b []byte) (int, error) {
	c.wroteAt.Store(int64(clock.Boot()))
	if c.tab != nil {
		return c.writeParts(b)
	}
	return c.Conn.Write(b)
}

// CloseWrite closes the writing side of the connection. The server calls it
// before Close, so that the client still receives the last response.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close closes the connection. Executions whose responses can't be sent any more are
// cancelled, and requests that the server has not read are dropped. It does not wait
// until the client has received what was written.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.close()
}

// close is Close for a caller that holds mu.
func (c *conn) close() error {
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	c.dropAhead()
	if c.cancel != nil {
		c.cancel(nil)
	}
	c.runner.remove(c)
	c.ahead, c.size, c.head = nil, 0, nil
	c.count()
	if c.err == nil {
		c.err = net.ErrClosed
	}
	c.changed.Broadcast()
	if c.peerEnded || c.isReceived() {
		return c.release()
	}
	// Ends the reads and writes in progress, whose deadlines the server can't set any
	// more.
	if err := c.Conn.SetDeadline(past); err != nil {
		return errors.Join(err, c.release())
	}
	c.tab.Receive(clock.Boot())
	return c.closing.Close(socket{c}, c.awaitReader)
}

// release closes the connection to the network.
func (c *conn) release() error {
	defer c.tab.Close()
	return c.Conn.Close()
}

// socket is the connection to the network of a conn that the server has closed.
type socket struct{ *conn }

// Read implements net.Conn.
func (s socket) Read(b []byte) (int, error) { return s.Conn.Read(b) }

// SetReadDeadline implements net.Conn.
func (s socket) SetReadDeadline(t time.Time) error { return s.Conn.SetReadDeadline(t) }

// Close implements net.Conn.
func (s socket) Close() error { return s.release() }

// isReceived reports whether the client has received all that was written, receiveTime ago
// or earlier. Where the system doesn't tell, the time decides.
func (c *conn) isReceived() bool {
	if clock.Boot().Sub(clock.Time(c.wroteAt.Load())) < receiveTime {
		return false
	}
	n, err := linger.Unsent(c.Conn)
	return err != nil || n == 0
}

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// awaitReader waits until nobody reads from the network.
func (c *conn) awaitReader() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.reading || c.readingAhead {
		c.changed.Wait()
	}
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error { return c.setDeadline(c.Conn.SetDeadline, t) }

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error { return c.setDeadline(c.Conn.SetReadDeadline, t) }

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error { return c.setDeadline(c.Conn.SetWriteDeadline, t) }

// setDeadline sets a deadline, unless Close has set its own.
func (c *conn) setDeadline(set func(time.Time) error, t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	return set(t)
}
