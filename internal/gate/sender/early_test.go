package sender

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/internal/gate/depot"
)

// unbuffered is the size in bytes of a body that no connection's buffers take.
const unbuffered = 32 << 20

// Guards against an answer, or a true rejection, that is lost or late because the target
// gave it before it had read the body, and against a body that is cut off although the
// target has answered with success and reads on.
func TestEarlyAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		// after serves the connection after the response.
		after func(net.Conn) (read int64)
		whole bool
	}{
		"rejected, unread":      {response: rejected},
		"rejected, closed":      {rejected, func(k net.Conn) int64 { _ = k.Close(); return 0 }, false},
		"failed, unread":        {response: strings.Replace(complete, "200 OK", "413 Too Large", 1)},
		"answered, unread":      {response: complete},
		"answered, read slowly": {complete, readSlowly, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			end, read := make(chan struct{}), make(chan int64, 1)
			defer close(end)
			p := startServer(t, func(_ int, k net.Conn, next func() bool) {
				next()
				_, _ = k.Write([]byte(c.response))
				if c.after != nil {
					read <- c.after(k)
				}
				<-end
			})
			l := New(depot.New())
			defer l.Close()
			r := request("a")
			r.Method, r.Body, r.End = http.MethodPut, make([]byte, unbuffered), time.Now().Add(time.Minute)
			d, stop := context.WithTimeout(t.Context(), 30*time.Second)
			defer stop()
			a, err := l.Do(d, p, r)
			if err != nil || a.NotRun != (c.response == rejected) {
				t.Fatalf("%+v, %v", a, err)
			}
			if c.whole {
				if n := <-read; n < unbuffered-bufioSize {
					t.Errorf("the target got %d bytes of the body", n)
				}
			}
			if len(l.idle[p]) > 0 && !c.whole {
				t.Error("the connection is used again")
			}
		})
	}
}

// bufioSize is the size in bytes of the buffer with which the target reads the head.
const bufioSize = 4096

// readSlowly reads a body after a while and returns the number of its bytes.
func readSlowly(k net.Conn) int64 {
	time.Sleep(100 * time.Millisecond)
	n, _ := io.CopyN(io.Discard, k, unbuffered-bufioSize) // fewer bytes fail the test
	return n
}
