// Package proxy is a TCP proxy for tests that injects network faults: it delays,
// resets or blocks the connections that it forwards.
package proxy

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Fault is a network fault that a proxy injects into its connections.
type Fault int

// Faults of a proxy.
const (
	// None forwards all bytes at once.
	None Fault = iota
	// Delay forwards bytes after a fixed delay.
	Delay
	// Reset resets open and new connections.
	Reset
	// Silence forwards nothing in either direction.
	Silence
	// OneWay forwards nothing to the client.
	OneWay
)

// delay is the time for which Delay holds back the bytes of one read.
const delay = 150 * time.Millisecond

// Proxy forwards TCP connections to one address. Create it with New.
type Proxy struct {
	listener    net.Listener
	destination string

	mu    sync.Mutex
	fault Fault
	// conns holds the ends of the open connections, and whether they are silent for good.
	conns map[net.Conn]*atomic.Bool
	wg    sync.WaitGroup
}

// New returns a proxy that listens on address and forwards its connections to
// destination. It returns the error of net.Listen.
func New(address, destination string) (*Proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, destination: destination, conns: map[net.Conn]*atomic.Bool{}}
	p.wg.Go(p.accept)
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set replaces the fault in force.
func (p *Proxy) Set(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	if f == Reset {
		for c := range p.conns {
			reset(c)
		}
	}
}

// Sever makes the open connections silent for good: neither bytes nor their ends are
// forwarded. New connections work.
func (p *Proxy) Sever() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.conns {
		s.Store(true)
	}
}

// Close stops listening, closes all connections and waits for the goroutines of
// the proxy. It returns the error of closing the listener.
func (p *Proxy) Close() error {
	err := p.listener.Close()
	p.mu.Lock()
	for c := range p.conns {
		_ = c.Close()
	}
	p.mu.Unlock()
	p.wg.Wait()
	return err
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentFault() == Reset {
			reset(c)
			continue
		}
		u, err := net.Dial("tcp", p.destination)
		if err != nil {
			reset(c)
			continue
		}
		p.mu.Lock()
		severed := new(atomic.Bool)
		p.conns[c], p.conns[u] = severed, severed
		p.mu.Unlock()
		p.wg.Go(func() { p.forward(u, c, severed, false) })
		p.wg.Go(func() { p.forward(c, u, severed, true) })
	}
}

func (p *Proxy) currentFault() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// forward copies bytes from one connection to another, and holds them back while
// a fault blocks this direction.
func (p *Proxy) forward(to, from net.Conn, severed *atomic.Bool, toClient bool) {
	defer p.remove(to, from, severed)
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if severed.Load() && err == nil {
			continue
		}
		if severed.Load() {
			return
		}
		if !p.awaitForward(toClient) {
			return
		}
		if n > 0 {
			if _, e := to.Write(b[:n]); e != nil {
				return
			}
		}
		if err == io.EOF {
			if t, ok := to.(*net.TCPConn); ok {
				_ = t.CloseWrite()
			}
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

// maxBlocked is the longest time for which a fault holds bytes back; after it
// they are discarded.
const maxBlocked = 20 * time.Second

// awaitForward waits until the fault in force lets bytes through. It returns
// false if they must be discarded.
func (p *Proxy) awaitForward(toClient bool) bool {
	for end := time.Now().Add(maxBlocked); time.Now().Before(end); {
		switch f := p.currentFault(); {
		case f == Reset:
			return false
		case f == Delay:
			time.Sleep(delay)
			return true
		case f == Silence || f == OneWay && toClient:
			time.Sleep(20 * time.Millisecond)
		default:
			return true
		}
	}
	return false
}

// remove ends the forwarding from one connection to another. The other end of a severed
// connection stays open.
func (p *Proxy) remove(to, from net.Conn, severed *atomic.Bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !severed.Load() {
		delete(p.conns, to)
	}
	delete(p.conns, from)
	_ = from.Close()
}
