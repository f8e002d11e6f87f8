package stub

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// freezer stops the traffic of a stand-in for a time, as if its process were
// paused. The zero value is not frozen.
type freezer struct {
	mu sync.Mutex
	// resumed is nil if not frozen; resume closes it.
	resumed chan struct{}
	timer   *time.Timer
}

// freeze stops the traffic for d from now. It replaces the end of a freeze in
// progress.
func (f *freezer) freeze(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.resumed == nil {
		f.resumed = make(chan struct{})
	} else {
		f.timer.Stop()
	}
	f.timer = time.AfterFunc(d, f.resume)
}

// resume ends a freeze.
func (f *freezer) resume() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.resumed != nil {
		f.timer.Stop()
		close(f.resumed)
		f.resumed = nil
	}
}

// wait waits for the end of a freeze, if there is one.
func (f *freezer) wait() {
	for {
		f.mu.Lock()
		c := f.resumed
		f.mu.Unlock()
		if c == nil {
			return
		}
		<-c
	}
}

// listener accepts a bounded number of connections. Its freezer stops their
// traffic.
type listener struct {
	net.Listener
	freezer freezer
	// maxConns is the largest number of open connections; no limit if 0.
	maxConns int
	// setupTime passes before the first bytes of a new connection are read.
	setupTime time.Duration

	mu    sync.Mutex
	conns map[*conn]bool
}

// Accept implements net.Listener. Connections beyond the limit are closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		n, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.add(n); c != nil {
			return c, nil
		}
		_ = n.Close()
	}
}

// add returns n as a conn of the listener, or nil if maxConns are open.
func (l *listener) add(n net.Conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.maxConns > 0 && len(l.conns) >= l.maxConns {
		return nil
	}
	if l.conns == nil {
		l.conns = map[*conn]bool{}
	}
	c := &conn{Conn: n, listener: l, readyAt: time.Now().Add(l.setupTime)}
	l.conns[c] = true
	return c
}

// connCount returns the number of open connections.
func (l *listener) connCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// closeConns closes all connections that are not exempt, as the operating system
// does when a process ends.
func (l *listener) closeConns() {
	l.mu.Lock()
	var w []*conn
	for c := range l.conns {
		if !c.exempt.Load() {
			w = append(w, c)
		}
	}
	l.mu.Unlock()
	for _, c := range w {
		_ = c.Close()
	}
}

// conn is a connection whose traffic stops during a freeze: bytes stay in the
// buffers.
type conn struct {
	net.Conn
	listener  *listener
	readyAt   time.Time
	setupOnce sync.Once
	// exempt is set if freezes and restarts do not affect the connection.
	exempt atomic.Bool
}

// connKey is the context key of the connection on which a request arrived.
type connKey struct{}

// withConn stores the connection in the context of its requests. It is the
// ConnContext of the HTTP server.
func withConn(x context.Context, c net.Conn) context.Context {
	return context.WithValue(x, connKey{}, c)
}

// exemptConn exempts the connection of a request from freezes and restarts, so
// that the request that causes one gets its response.
func exemptConn(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok {
		c.exempt.Store(true)
	}
}

// waitUnfrozen waits for the end of a freeze, unless the connection is exempt.
func (c *conn) waitUnfrozen() {
	if !c.exempt.Load() {
		c.listener.freezer.wait()
	}
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	c.setupOnce.Do(func() { time.Sleep(time.Until(c.readyAt)) })
	n, err := c.Conn.Read(b)
	c.waitUnfrozen()
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.waitUnfrozen()
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
