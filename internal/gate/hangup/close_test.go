package hangup

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/internal/sock/linger"
)

// listen returns a listener and a connection to it, and the group that closes it.
func listen(t *testing.T, n *Runner) (Listener, net.Conn, *linger.Group) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = c.Close(), l.Close() })
	g := linger.New()
	return NewListener(l, g, n), c, g
}

// Guards against requests that are executed without an answer, because they cross the
// close of their idle connection, and against connections that are reset then.
func TestRequestsCrossingShutdown(t *testing.T) {
	for round := range 200 {
		var executed atomic.Int64
		n := Handler(http.HandlerFunc(func(_ http.ResponseWriter, _ *http.Request) { executed.Add(1) }))
		l, c, g := listen(t, n)
		s := &http.Server{Handler: n, ConnContext: ConnContext}
		go func() { _ = s.Serve(l) }()
		r := bufio.NewReader(c)
		send(t, c, fmt.Sprintf(getFormat, 0))
		_, err := http.ReadResponse(r, nil)
		stopped := make(chan error, 1)
		go func() { stopped <- s.Shutdown(t.Context()) }()
		time.Sleep(time.Duration(round) * 2 * time.Microsecond)
		send(t, c, fmt.Sprintf(getFormat+getFormat, 1, 2))
		answered := int64(0)
		for ; err == nil; answered++ {
			_, err = http.ReadResponse(r, nil)
		}
		if !errors.Is(err, io.ErrUnexpectedEOF) || executed.Load() != answered {
			t.Errorf("round %d: %d requests executed, %d answered, connection ended by %v", round, executed.Load(), answered, err)
		}
		_ = c.Close()
		if err := <-stopped; err != nil {
			t.Error(err)
		}
		g.Wait(t.Context())
	}
}

// Guards against a server that still reads or serves what arrives at a connection that it
// has closed, whose deadlines it sets meanwhile, and against a reset of the connection.
func TestCloseDuringRead(t *testing.T) {
	for range 500 {
		closeDuringRead(t)
	}
}

func closeDuringRead(t *testing.T) {
	t.Helper()
	l, c, g := listen(t, Handler(http.NotFoundHandler()))
	s, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	read := make(chan error, 1)
	go func() {
		_, err := s.Read(make([]byte, 100))
		read <- err
	}()
	time.Sleep(time.Millisecond)
	if err := s.Close(); err != nil {
		t.Error(err)
	}
	_ = s.SetDeadline(time.Time{})
	_ = s.SetReadDeadline(time.Time{})
	if err := <-read; !errors.Is(err, net.ErrClosed) {
		t.Errorf("read returned %v", err)
	}
	send(t, c, fmt.Sprintf(getFormat, 1))
	if n, err := s.Read(make([]byte, 100)); n != 0 || !errors.Is(err, net.ErrClosed) {
		t.Errorf("later read returned %d bytes, %v", n, err)
	}
	if err := s.Close(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("second Close: %v", err)
	}
	func() {
		defer func() {
			if r := recover(); r != http.ErrAbortHandler {
				t.Errorf("panic %v, want ErrAbortHandler", r)
			}
		}()
		h := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("a request of a closed connection was executed") })
		Handler(h).ServeHTTP(nil, new(http.Request).WithContext(ConnContext(t.Context(), s)))
	}()
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if b, err := io.ReadAll(c); len(b) > 0 || err != nil {
		t.Errorf("the client received %q, %v", b, err)
	}
	send(t, c, "more")
	_ = c.Close()
	if n := g.Wait(t.Context()); n != 0 {
		t.Errorf("%d connections cut", n)
	}
}

// Guards against a close that resets the connection of a client that receives slowly what
// was written long before.
func TestCloseOfASlowReceiver(t *testing.T) {
	const size = 512 << 10
	l, c, g := listen(t, Handler(http.NotFoundHandler()))
	s, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(s.(*conn).Conn.(*net.TCPConn).SetWriteBuffer(4*size), c.(*net.TCPConn).SetReadBuffer(8<<10)); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Write(make([]byte, size)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(receiveTime + 100*time.Millisecond)
	_ = s.Close()
	send(t, c, fmt.Sprintf(getFormat, 1))
	if b, err := io.ReadAll(c); len(b) != size || err != nil {
		t.Errorf("the client received %d of %d bytes, %v", len(b), size, err)
	}
	_ = c.Close()
	g.Wait(t.Context())
}

// Guards against a forced end that doesn't end requests, writes or clients that stay.
func TestForcedClose(t *testing.T) {
	ended := make(chan struct{})
	n := Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer close(ended)
		for b := make([]byte, 1<<20); r.Context().Err() == nil; {
			_, _ = w.Write(b)
		}
	}))
	l, c, g := listen(t, n)
	s := &http.Server{ConnContext: ConnContext, Handler: n}
	go func() { _ = s.Serve(l) }()
	send(t, c, fmt.Sprintf(getFormat, 1))
	time.Sleep(200 * time.Millisecond)
	_ = s.Close()
	x, stop := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer stop()
	if n := g.Wait(x); n != 1 {
		t.Errorf("%d connections cut, want 1", n)
	}
	select {
	case <-ended:
	case <-time.After(2 * time.Second):
		t.Error("the request goes on")
	}
}
