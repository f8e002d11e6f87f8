package relay

import (
	"net"
	"net/rpc"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// minAcceptPause and maxAcceptPause bound the pause before a connection is accepted again
// after the system had no room for one.
const (
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = 200 * time.Millisecond
)

// Server answers calls. Use NewServer.
type Server struct {
	rpc     *rpc.Server
	options Options

	mu        sync.Mutex
	closed    bool
	listeners map[net.Listener]struct{}
	conns     map[net.Conn]*serverCodec
	group     sync.WaitGroup
}

// NewServer returns a server without registered methods.
func NewServer(o Options) *Server {
	s := &Server{
		rpc: rpc.NewServer(), options: o.withDefaults(),
		listeners: map[net.Listener]struct{}{}, conns: map[net.Conn]*serverCodec{},
	}
	if err := s.rpc.RegisterName(serviceProbe, prober{}); err != nil {
		panic(err) // the methods of prober don't follow the rules of net/rpc
	}
	return s
}

// Register publishes the methods of r under its type name, by the rules of
// net/rpc. Arguments and replies must be protobuf messages.
func (s *Server) Register(r any) error { return s.rpc.Register(r) }

// RegisterName publishes the methods of r under the given name.
func (s *Server) RegisterName(name string, r any) error { return s.rpc.RegisterName(name, r) }

// Serve accepts connections on l until Close is called, then returns nil. It
// closes l. While the process or the system lacks descriptors or memory for a connection,
// it goes on and tries again.
func (s *Server) Serve(l net.Listener) error {
	defer l.Close()
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil
	}
	s.listeners[l] = struct{}{}
	s.mu.Unlock()
	var pause time.Duration
	for {
		c, err := l.Accept()
		if err == nil {
			s.start(c)
			pause = 0
			continue
		}
		if t, ok := err.(net.Error); ok && t.Timeout() {
			continue
		}
		if errors.IsAny(err, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED) {
			pause = min(max(2*pause, minAcceptPause), maxAcceptPause)
			time.Sleep(pause)
			continue
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.listeners, l)
		if s.closed {
			return nil
		}
		return errors.Wrap(err, "accept")
	}
}

// start serves a connection in the background.
func (s *Server) start(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = c.Close()
		return
	}
	k := newServerCodec(c, s.options)
	s.conns[c] = k
	s.group.Go(func() {
		s.rpc.ServeCodec(k)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	})
}

// Close stops listening, tells the clients to send no more calls and waits for
// the calls in progress. After the drain time it executes no more calls of clients that
// haven't closed their connection. It gives them as long again to receive the replies and
// to close it.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	for l := range s.listeners {
		_ = l.Close()
	}
	for c, k := range s.conns {
		_ = c.SetReadDeadline(time.Now().Add(s.options.DrainTime))
		s.group.Go(func() { _, _ = k.out.append(header{method: methodLeave}, nil, true) })
	}
	s.mu.Unlock()
	s.group.Wait()
	return nil
}
