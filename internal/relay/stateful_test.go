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

// cutConn closes the connection after a number of bytes in one direction. The
// counters hold the bytes that remain; a negative counter means no limit.
type cutConn struct {
	net.Conn
	reads, writes *atomic.Int64
}

func (c *cutConn) Read(b []byte) (int, error)  { return c.cut(c.reads, b, c.Conn.Read) }
func (c *cutConn) Write(b []byte) (int, error) { return c.cut(c.writes, b, c.Conn.Write) }

// cut calls f, which reads or writes, and reduces left.
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

// result holds what one call returned.
type result struct {
	id    string
	reply *schema.ForwardReply
	err   error
}

// system is a pool and a server whose handlers wait until the test releases them.
type system struct {
	echo          *Echo
	server        *Server
	pool          *Pool
	address       string
	reads, writes atomic.Int64
	// lastID is the id of the last call.
	lastID int
	// waiting holds the ids of the calls whose handlers have not been released.
	waiting []string
	cancels map[string]context.CancelFunc
	results chan result
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

// start makes a call in the background whose handler waits until it is released.
func (s *system) start(size int) {
	s.lastID++
	id := fmt.Sprint(s.lastID)
	s.echo.gates.Store(id, make(chan struct{}))
	c, cancel := context.WithCancel(context.Background())
	s.cancels[id] = cancel
	s.waiting = append(s.waiting, id)
	go func() {
		r := new(schema.ForwardReply)
		err := s.pool.Call(c, s.address, "Echo.Do", request(id, size), r)
		s.results <- result{id, r, err}
	}()
}

// release releases one of the waiting handlers, which n selects.
func (s *system) release(n int) {
	if len(s.waiting) == 0 {
		return
	}
	n %= len(s.waiting)
	g, _ := s.echo.gates.Load(s.waiting[n])
	close(g.(chan struct{}))
	s.waiting = append(s.waiting[:n], s.waiting[n+1:]...)
}

// finish releases all handlers and checks the result of each call against the
// number of runs of its handler.
func (s *system) finish() error {
	defer s.server.Close()
	defer s.pool.Close()
	for len(s.waiting) > 0 {
		s.release(0)
	}
	for range s.lastID {
		select {
		case r := <-s.results:
			s.cancels[r.id]()
			if err := s.check(r); err != nil {
				return err
			}
		case <-time.After(10 * time.Second):
			return errors.New("a call did not end within 10 s")
		}
	}
	return nil
}

// check compares the result of a call with the number of runs of its handler.
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

// cancel cancels one of the calls, which n selects.
func (s *system) cancel(n int) {
	if s.lastID > 0 {
		s.cancels[fmt.Sprint(n%s.lastID+1)]()
	}
}

// Guards against replies that are delivered to the wrong call, calls that never
// end, and ErrNotSent for a call that ran, when replies are out of order, callers
// cancel and connections are cut at any byte.
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
