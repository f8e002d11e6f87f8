package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/internal/model"
	"dandelionrock.example/dandelionrock/schema"
)

// cutConn fails after a number of bytes in one direction.
type cutConn struct {
	net.Conn
	reads, writes *atomic.Int64
}

func (c *cutConn) Read(b []byte) (int, error)  { return c.cut(c.reads, b, c.Conn.Read) }
func (c *cutConn) Write(b []byte) (int, error) { return c.cut(c.writes, b, c.Conn.Write) }

func (c *cutConn) cut(left *atomic.Int64, b []byte, f func([]byte) (int, error)) (int, error) {
	m := left.Load()
	if m < 0 {
		return f(b)
	}
	if m == 0 {
		left.Store(-1)
		c.Conn.Close()
		return 0, net.ErrClosed
	}
	n, err := f(b[:min(int64(len(b)), m)])
	left.CompareAndSwap(m, m-int64(n))
	if err == nil && n < len(b) && left == c.writes {
		left.Store(-1)
		c.Conn.Close()
		err = net.ErrClosed
	}
	return n, err
}

type result struct {
	id    string
	reply *schema.ForwardReply
	err   error
}

// system is a pool and a server with calls whose handlers wait at gates.
type system struct {
	echo          *Echo
	server        *Server
	pool          *Pool
	address       string
	reads, writes atomic.Int64
	next          int
	held          []string
	cancels       map[string]context.CancelFunc
	results       chan result
}

func newSystem(t *testing.T) *system {
	s := &system{cancels: map[string]context.CancelFunc{}, results: make(chan result, 1000)}
	s.echo, s.server, s.address = serve(t, Options{DrainTime: 50 * time.Millisecond})
	s.reads.Store(-1)
	s.writes.Store(-1)
	s.pool = NewPool(Options{MinBackOff: 1, MaxBackOff: 1, Dial: func(c context.Context, a string) (net.Conn, error) {
		n, err := new(net.Dialer).DialContext(c, "tcp", a)
		return &cutConn{n, &s.reads, &s.writes}, err
	}})
	return s
}

// start makes a call whose handler waits until it is released.
func (s *system) start(size int) {
	s.next++
	id := fmt.Sprint(s.next)
	s.echo.gates.Store(id, make(chan struct{}))
	c, cancel := context.WithCancel(context.Background())
	s.cancels[id] = cancel
	s.held = append(s.held, id)
	go func() {
		r := new(schema.ForwardReply)
		err := s.pool.Call(c, s.address, "Echo.Do", request(id, size), r)
		s.results <- result{id, r, err}
	}()
}

// release lets a handler answer; the order is up to the caller.
func (s *system) release(n int) {
	if len(s.held) == 0 {
		return
	}
	n %= len(s.held)
	g, _ := s.echo.gates.Load(s.held[n])
	close(g.(chan struct{}))
	s.held = append(s.held[:n], s.held[n+1:]...)
}

// finish ends all calls and checks each against the runs of its handler.
func (s *system) finish() error {
	defer s.server.Close()
	defer s.pool.Close()
	for len(s.held) > 0 {
		s.release(0)
	}
	for range s.next {
		select {
		case r := <-s.results:
			s.cancels[r.id]()
			if err := s.check(r); err != nil {
				return err
			}
		case <-time.After(10 * time.Second):
			return errors.New("a call does not end")
		}
	}
	return nil
}

func (s *system) check(r result) error {
	n := s.echo.count(r.id)
	switch {
	case n > 1:
		return fmt.Errorf("call %s ran %d times", r.id, n)
	case r.err == nil && (r.reply.Reason != r.id || n != 1):
		return fmt.Errorf("call %s got reply %q after %d runs", r.id, r.reply.Reason, n)
	case r.err != nil && r.reply.Reason != "":
		return fmt.Errorf("call %s failed but its reply was written", r.id)
	case errors.Is(r.err, ErrNotSent) && n != 0:
		return fmt.Errorf("call %s was not sent but ran", r.id)
	case r.err != nil && !errors.Is(r.err, ErrNotSent) && !errors.Is(r.err, ErrInterrupted) && !errors.Is(r.err, context.Canceled):
		return fmt.Errorf("call %s: unexpected error %w", r.id, r.err)
	}
	return nil
}

func (s *system) cancel(n int) {
	if s.next > 0 {
		s.cancels[fmt.Sprint(n%s.next+1)]()
	}
}

// Guards against replies that reach the wrong call, calls that never end, and
// errors that deny a run, with replies out of order, callers that go away and
// connections cut at any byte.
func TestStateful(t *testing.T) {
	list := []func(*system, int){
		(*system).start, (*system).start, (*system).start, (*system).release, (*system).release, (*system).cancel,
		func(s *system, n int) { s.reads.Store(int64(n % 300)) },
		func(s *system, n int) { s.writes.Store(int64(n)) },
		func(_ *system, n int) { time.Sleep(time.Duration(n) * time.Microsecond) },
	}
	p := model.Property[*system]{
		Seed: 20261204, Runs: 150, Length: 60, MaxArgument: 4000,
		New: func() *system { return newSystem(t) }, Finish: (*system).finish,
	}
	for _, f := range list {
		p.Operations = append(p.Operations, func(s *system, n int) error { f(s, n); return nil })
	}
	if err := p.Check(); err != nil {
		t.Error(err)
	}
}
