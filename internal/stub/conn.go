package stub

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// gate stops the traffic of a stand-in as if its process were paused. The zero
// value is open.
type gate struct {
	mu sync.Mutex
	// shut is nil while the gate is open, else closed when it opens.
	shut  chan struct{}
	timer *time.Timer
}

// freeze shuts the gate for d.
func (g *gate) freeze(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut == nil {
		g.shut = make(chan struct{})
	} else {
		g.timer.Stop()
	}
	g.timer = time.AfterFunc(d, g.open)
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut != nil {
		g.timer.Stop()
		close(g.shut)
		g.shut = nil
	}
}

// wait returns when the gate is open.
func (g *gate) wait() {
	for {
		g.mu.Lock()
		c := g.shut
		g.mu.Unlock()
		if c == nil {
			return
		}
		<-c
	}
}

// listener accepts a bounded number of connections that pass a gate.
type listener struct {
	net.Listener
	gate gate
	// limit is the number of connections accepted at a time; no limit if 0.
	limit int
	// setup is the time that a new connection takes before its first byte.
	setup time.Duration

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

func (l *listener) add(n net.Conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limit > 0 && len(l.conns) >= l.limit {
		return nil
	}
	if l.conns == nil {
		l.conns = map[*conn]bool{}
	}
	c := &conn{Conn: n, from: l, ready: time.Now().Add(l.setup)}
	l.conns[c] = true
	return c
}

// open returns the number of open connections.
func (l *listener) open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// reset closes all connections that are not spared, as the end of the process
// would.
func (l *listener) reset() {
	l.mu.Lock()
	var w []*conn
	for c := range l.conns {
		if !c.spared.Load() {
			w = append(w, c)
		}
	}
	l.mu.Unlock()
	for _, c := range w {
		_ = c.Close()
	}
}

// conn is a connection whose bytes stay in the buffers while the gate is shut.
type conn struct {
	net.Conn
	from  *listener
	ready time.Time
	once  sync.Once
	// spared is set while faults of the listener leave the connection alone.
	spared atomic.Bool
}

// connKey is the key of a call's connection in its context.
type connKey struct{}

// withConn keeps the connection of a call in its context.
func withConn(x context.Context, c net.Conn) context.Context {
	return context.WithValue(x, connKey{}, c)
}

// spare keeps the connection of a call out of a freeze or restart, so that the
// call is answered.
func spare(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok {
		c.spared.Store(true)
	}
}

// pass waits while the gate is shut, unless the connection is spared.
func (c *conn) pass() {
	if !c.spared.Load() {
		c.from.gate.wait()
	}
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	c.once.Do(func() { time.Sleep(time.Until(c.ready)) })
	n, err := c.Conn.Read(b)
	c.pass()
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.pass()
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.from.mu.Lock()
	delete(c.from.conns, c)
	c.from.mu.Unlock()
	return c.Conn.Close()
}
