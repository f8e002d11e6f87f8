package relay

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/schema"
)

// shortListener is a listener whose first accepts fail.
type shortListener struct {
	net.Listener
	// left holds the errors of the accepts to come.
	left []syscall.Errno
	// failed counts those that have failed.
	failed atomic.Int64
}

func (s *shortListener) Accept() (net.Conn, error) {
	if len(s.left) == 0 {
		return s.Listener.Accept()
	}
	err := s.left[0]
	s.left = s.left[1:]
	s.failed.Add(1)
	return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
}

// Guards against a server that accepts no connection any more after the process or the
// system had no room for one, and against one that doesn't end when it is closed meanwhile.
func TestAcceptGoesOn(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	lack := []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED}
	f := &shortListener{Listener: l, left: lack}
	s := NewServer(Options{})
	if err := s.Register(new(Echo)); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(f) }()
	p := NewPool(Options{})
	defer p.Close()
	c, stop := context.WithTimeout(t.Context(), 5*time.Second)
	defer stop()
	if err := p.Call(c, l.Addr().String(), "Echo.Do", request("a", 1), new(schema.ForwardReply)); err != nil {
		t.Error("a call after the lack:", err)
	}
	if n := f.failed.Load(); n != int64(len(lack)) {
		t.Errorf("%d accepts failed, want %d", n, len(lack))
	}
	_ = p.Close()
	_ = s.Close()
	if err := <-ended; err != nil {
		t.Errorf("Serve returned %v", err)
	}
}
