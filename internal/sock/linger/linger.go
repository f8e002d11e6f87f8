// Package linger closes connections without losing what was written to them. A socket
// that is closed while bytes of the peer are unread, or before it has sent its last ones,
// is reset, and the peer loses what it has not received yet.
package linger

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// Timeout bounds the time for which clients may receive the rest of a response and close
// their connection: as long as they may take to send the head of a request.
const Timeout = 10 * time.Second

// Close closes the writing side of c, reads and drops what arrives until the peer closes
// the connection, it fails or the timeout passes, and then closes c. Nobody else may read
// from c.
func Close(c net.Conn, timeout time.Duration) error {
	w, ok := c.(interface{ CloseWrite() error })
	if !ok || w.CloseWrite() != nil || c.SetReadDeadline(time.Now().Add(timeout)) != nil {
		return c.Close()
	}
	// However reading ends, nothing that arrives later is wanted.
	_, _ = io.Copy(io.Discard, c)
	return c.Close()
}

// Group closes connections in the background. Use New.
type Group struct {
	mu sync.Mutex
	// changed is broadcast when conns has become empty.
	changed sync.Cond
	// conns holds the connections that are being closed.
	conns map[net.Conn]struct{}
	// ended is set when connections are closed at once, and cut counts those that were
	// closed before their time.
	ended bool
	cut   int
}

// New returns a group without connections.
func New() *Group {
	g := &Group{conns: map[net.Conn]struct{}{}}
	g.changed.L = &g.mu
	return g
}

// Close closes c in the background as the function Close does, within Timeout. It first
// calls ready, which returns when nobody else reads from c. After Wait it closes c at
// once.
func (g *Group) Close(c net.Conn, ready func()) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended {
		return c.Close()
	}
	g.conns[c] = struct{}{}
	go func() {
		ready()
		_ = Close(c, Timeout) // the peer has closed it, or gets no more
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.conns, c)
		if len(g.conns) == 0 {
			g.changed.Broadcast()
		}
	}()
	return nil
}

// Wait waits until all connections are closed. When c ends it closes the others at once,
// and returns their number.
func (g *Group) Wait(c context.Context) int {
	stop := context.AfterFunc(c, g.end)
	defer stop()
	g.mu.Lock()
	defer g.mu.Unlock()
	for len(g.conns) > 0 {
		g.changed.Wait()
	}
	g.ended = true
	return g.cut
}

// end closes all connections at once.
func (g *Group) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended = true
	for c := range g.conns {
		_ = c.Close()
		g.cut++
	}
}
