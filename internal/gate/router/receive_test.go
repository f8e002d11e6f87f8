package router

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/platform"
)

const (
	// slowBuffer is the receive buffer of slow clients in bytes, and slowPause the time
	// between reads of half a buffer: 0.5 MB/s.
	slowBuffer = 8 << 10
	slowPause  = 8 * time.Millisecond
	// largeSize is the size of large responses in bytes. Most of one is in the buffers of
	// the sender when the server has written it.
	largeSize = 400 << 10
)

// slowReader reads slowly.
type slowReader struct{ io.Reader }

func (s slowReader) Read(b []byte) (int, error) {
	time.Sleep(slowPause)
	return s.Reader.Read(b[:min(len(b), slowBuffer/2)])
}

// dialSlow is like dial, for a client that reads slowly.
func (s *system) dialSlow(i int) *pipeline {
	s.t.Helper()
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		var set error
		err := c.Control(func(f uintptr) {
			set = syscall.SetsockoptInt(int(f), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowBuffer)
		})
		return errors.Join(err, set)
	}}
	c, err := d.Dial("tcp", s.ips[i]+":18001")
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	return &pipeline{Conn: c, r: bufio.NewReader(slowReader{c})}
}

// receiveAll receives responses until the connection ends, closes it, and returns the
// number of whole ones.
func (p *pipeline) receiveAll(t *testing.T, name string) int {
	defer p.Close()
	for n := 0; ; n++ {
		a, err := http.ReadResponse(p.r, nil)
		if err != nil {
			return n
		}
		if b, err := io.Copy(io.Discard, a.Body); err != nil {
			t.Errorf("%d bytes of answer %d on connection %s, with status %d: %v", b, n, name, a.StatusCode, err)
			return n
		}
	}
}

// lateRequest is the time after the signal at which a client sends its last request.
const lateRequest = 2 * time.Second

// Guards against responses of which the client has received only a part when its next
// request arrives at a connection that the instance has closed.
func TestLargeResponsesInPlannedStop(t *testing.T) {
	s := newStopSystem(t, 0)
	for _, v := range s.targets {
		v.Shape = func(*http.Request) (time.Duration, int) { return 20 * time.Millisecond, largeSize }
	}
	var g sync.WaitGroup
	for i := range 8 {
		p, sent := s.dialSlow(0), 0
		g.Go(func() {
			for ; ; sent++ {
				h := fmt.Sprintf("GET /quotes/x HTTP/1.1\r\nHost: example\r\n%s: %d-%d\r\n%s: 9000\r\n%s: 1\r\n\r\n",
					platform.HeaderAttempt, i, sent, platform.HeaderDeadline, platform.HeaderKey)
				if _, err := io.WriteString(p, h); err != nil {
					return
				}
				time.Sleep(time.Duration(700+40*i) * time.Millisecond)
			}
		})
		g.Go(func() {
			n := p.receiveAll(t, fmt.Sprint(i))
			if id := fmt.Sprintf("%d-%d", i, n); n < 2 || s.ledger.Runs(id) != 0 {
				t.Errorf("%d answers on connection %d; the next request was executed %d times", n, i, s.ledger.Runs(id))
			}
		})
	}
	time.Sleep(time.Second)
	late := s.dialSlow(0)
	s.stops[0]()
	begin := time.Now()
	// The instance passes requests on until 2.8 s after the signal. On a busy machine the
	// other connections may end later.
	time.Sleep(lateRequest)
	late.send(t, http.MethodGet, "/quotes/x", "late")
	g.Wait()
	time.Sleep(3*time.Second - time.Since(begin))
	if n := late.receive(t, "late"); n != http.StatusOK {
		t.Errorf("status %d for late", n)
	}
	select {
	case <-s.ended[0]:
		t.Error("the instance ended while a client received")
	default:
	}
	_ = late.Close()
	<-s.ended[0]
	if d := time.Since(begin); d > stopGrace {
		t.Errorf("the instance ended after %v, with a grace period of %v", d, stopGrace)
	}
}
