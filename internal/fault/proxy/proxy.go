// Package proxy is a TCP proxy on loopback that delays, resets, cuts and
// silences connections, for tests.
package proxy

import (
	"io"
	"net"
	"sync"
	"time"
)

// Fault is what a proxy does to its connections.
type Fault int

// Faults of a proxy.
const (
	// None passes everything on.
	None Fault = iota
	// Delay holds everything up for a while.
	Delay
	// Reset resets the connections, and new ones.
	Reset
	// Silence passes nothing on, in neither direction.
	Silence
	// OneWay passes nothing back to the client.
	OneWay
)

// delay is the time for which Delay holds bytes up.
const delay = 150 * time.Millisecond

// Proxy passes connections on to an address. Use New.
type Proxy struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	fault Fault
	conns map[net.Conn]struct{}
	group sync.WaitGroup
}

// New returns a proxy that listens on an address.
func New(address, to string) (*Proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, to: to, conns: map[net.Conn]struct{}{}}
	p.group.Go(p.accept)
	return p, nil
}

// Address returns the address of the proxy.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes the fault.
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

// Close ends all connections and waits.
func (p *Proxy) Close() error {
	err := p.listener.Close()
	p.mu.Lock()
	for c := range p.conns {
		_ = c.Close()
	}
	p.mu.Unlock()
	p.group.Wait()
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
		if p.current() == Reset {
			reset(c)
			continue
		}
		u, err := net.Dial("tcp", p.to)
		if err != nil {
			reset(c)
			continue
		}
		p.mu.Lock()
		p.conns[c], p.conns[u] = struct{}{}, struct{}{}
		p.mu.Unlock()
		p.group.Go(func() { p.pass(u, c, false) })
		p.group.Go(func() { p.pass(c, u, true) })
	}
}

func (p *Proxy) current() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// pass copies from one connection to another. Bytes wait as long as a fault
// stops them.
func (p *Proxy) pass(to, from net.Conn, back bool) {
	defer p.drop(to, from)
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if !p.admit(back) {
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

// maxStop bounds the time for which a fault stops bytes; later they are lost.
const maxStop = 20 * time.Second

// admit waits until bytes may pass; false if they are lost.
func (p *Proxy) admit(back bool) bool {
	for end := time.Now().Add(maxStop); time.Now().Before(end); {
		switch f := p.current(); {
		case f == Reset:
			return false
		case f == Delay:
			time.Sleep(delay)
			return true
		case f == Silence || f == OneWay && back:
			time.Sleep(20 * time.Millisecond)
		default:
			return true
		}
	}
	return false
}

func (p *Proxy) drop(a, b net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, a)
	delete(p.conns, b)
	_ = b.Close()
}
