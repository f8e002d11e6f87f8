package hangup

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// serve starts a server with h and returns a connection to it.
func serve(t *testing.T, h http.Handler) net.Conn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: Handler(h), ConnContext: ConnContext, ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(Listener{l}) }()
	t.Cleanup(func() { _ = s.Close() })
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

const get = "GET /%d HTTP/1.1\r\nHost: example\r\n\r\n"

// Guards against requests that are executed for a client that has gone: the end
// of a connection must be noticed behind requests that were sent ahead.
func TestCloseBehindFurtherRequests(t *testing.T) {
	for _, ahead := range []int{0, 1, 3} {
		begun, ended := make(chan struct{}, 1), make(chan struct{}, 1)
		c := serve(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			begun <- struct{}{}
			select {
			case <-r.Context().Done():
				ended <- struct{}{}
			case <-time.After(5 * time.Second):
			}
			panic(http.ErrAbortHandler)
		}))
		send(t, c, fmt.Sprintf(get, 0))
		<-begun
		for i := range ahead {
			send(t, c, fmt.Sprintf(get, i+1))
			time.Sleep(20 * time.Millisecond)
		}
		_ = c.Close()
		select {
		case <-ended:
		case <-time.After(2 * time.Second):
			t.Errorf("with %d requests sent ahead, the context did not end", ahead)
		}
	}
}

// Guards against time limits that begin only when the request before has ended:
// a request that was sent ahead counts from its arrival.
func TestArrivedOfRequestSentAhead(t *testing.T) {
	waited := make(chan time.Duration, 4)
	c := serve(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		waited <- clock.Boot().Sub(Arrived(r.Context()))
		time.Sleep(200 * time.Millisecond)
	}))
	send(t, c, fmt.Sprintf(get, 0))
	time.Sleep(50 * time.Millisecond)
	send(t, c, fmt.Sprintf(get, 1))
	if d := <-waited; d > 50*time.Millisecond {
		t.Errorf("the first request has waited for %v", d)
	}
	if d := <-waited; d < 100*time.Millisecond || d > 200*time.Millisecond {
		t.Errorf("the request sent ahead has waited for %v", d)
	}
}

// Guards against bytes that are lost or swapped between the server's reads and
// those ahead of it: each request must arrive whole and in order, however the
// client divides what it sends.
func TestRequestsArriveInOrder(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(1)
	p.MinSuccessfulTests = 60
	q := gopter.NewProperties(p)
	q.Property("requests arrive whole and in order", prop.ForAllNoShrink(func(sizes, cuts []int, pause int) string {
		c := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(time.Duration(pause) * time.Millisecond)
			b, err := io.ReadAll(r.Body)
			if err != nil {
				t.Error(err)
			}
			_, _ = fmt.Fprintf(w, "%s %s", r.URL.Path, b)
		}))
		var text strings.Builder
		for i, n := range sizes {
			fmt.Fprintf(&text, "POST /%d HTTP/1.1\r\nHost: example\r\nContent-Length: %d\r\n\r\n%s", i, n, body(i, n))
		}
		go func() {
			rest := text.String()
			for i := 0; rest != ""; i++ {
				n := min(len(rest), 1+cuts[i%len(cuts)])
				if _, err := io.WriteString(c, rest[:n]); err != nil {
					return
				}
				rest = rest[n:]
			}
		}()
		return answers(c, sizes)
	}, gen.SliceOfN(6, gen.IntRange(0, 20000)), gen.SliceOfN(5, gen.IntRange(0, 8000)), gen.IntRange(0, 3)))
	q.TestingRun(t)
}

func body(i, n int) string { return strings.Repeat(string(rune('a'+i)), n) }

// answers reads the answers to requests with bodies of the given sizes, and
// returns the first fault.
func answers(c net.Conn, sizes []int) string {
	r := bufio.NewReader(c)
	for i, n := range sizes {
		a, err := http.ReadResponse(r, nil)
		if err != nil {
			return err.Error()
		}
		b, err := io.ReadAll(a.Body)
		if err != nil {
			return err.Error()
		}
		if string(b) != fmt.Sprintf("/%d %s", i, body(i, n)) {
			return fmt.Sprintf("answer %d has %d bytes", i, len(b))
		}
	}
	return ""
}

// Guards against a connection that no longer meets the server's timeouts, or
// that can't be used after a pause, once it was read ahead.
func TestDeadlines(t *testing.T) {
	c := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(50 * time.Millisecond)
		_, _ = io.WriteString(w, "done")
	}))
	r := bufio.NewReader(c)
	for i := range 2 {
		send(t, c, fmt.Sprintf(get, i))
		time.Sleep(10 * time.Millisecond)
		send(t, c, fmt.Sprintf(get, i))
		for range 2 {
			if _, err := http.ReadResponse(r, nil); err != nil {
				t.Fatal(err)
			}
			if _, err := io.CopyN(io.Discard, r, 4); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
	// The rest of these headers never comes.
	send(t, c, "GET / HTTP/1.1\r\n")
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.Copy(io.Discard, r); err != nil {
		t.Errorf("the server did not close the connection: %v", err)
	}
}
