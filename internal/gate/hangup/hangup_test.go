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
	"dandelionrock.example/dandelionrock/internal/sock/linger"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// owedTimeout bounds the time in which requests end whose client has left.
const owedTimeout = 10 * time.Second

// serve starts a server with h and returns a connection to it. When the test has ended
// and the connection is closed, no response may be owed.
func serve(t *testing.T, h http.Handler) net.Conn {
	t.Helper()
	return serveRunner(t, Handler(h))
}

// serveRunner is serve with the result of Handler.
func serveRunner(t *testing.T, n *Runner) net.Conn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for end := time.Now().Add(owedTimeout); n.Owed() != 0; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%d responses are owed without a connection", n.Owed())
			}
		}
	})
	s := &http.Server{Handler: n, ConnContext: ConnContext, ReadHeaderTimeout: time.Second}
	g := linger.New()
	go func() { _ = s.Serve(NewListener(l, g, n)) }()
	t.Cleanup(func() {
		_ = s.Close()
		g.Wait(t.Context())
	})
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

// getFormat is the format of a request without a body; it takes a number.
const getFormat = "GET /%d HTTP/1.1\r\nHost: example\r\n\r\n"

// Guards against executing requests for a client that has disconnected: the
// handler's context must end although pipelined requests arrived before the
// connection was closed.
func TestCloseAfterPipelinedRequests(t *testing.T) {
	for _, pipelined := range []int{0, 1, 3} {
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
		send(t, c, fmt.Sprintf(getFormat, 0))
		<-begun
		for i := range pipelined {
			send(t, c, fmt.Sprintf(getFormat, i+1))
			time.Sleep(20 * time.Millisecond)
		}
		_ = c.Close()
		select {
		case <-ended:
		case <-time.After(2 * time.Second):
			t.Errorf("with %d pipelined requests, the context of the first did not end", pipelined)
		}
	}
}

// Guards against deadlines of pipelined requests that count from the end of the
// previous request instead of their own arrival.
func TestArrivedOfPipelinedRequest(t *testing.T) {
	arrived, release := make(chan clock.Time, 2), make(chan struct{})
	n := Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		arrived <- Arrived(r.Context())
		<-release
	}))
	c := serveRunner(t, n)
	for i, name := range []string{"first", "pipelined"} {
		time.Sleep(50 * time.Millisecond)
		sent := clock.Boot()
		send(t, c, fmt.Sprintf(getFormat, i))
		for end := time.Now().Add(owedTimeout); n.Owed() <= i; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("the %s request doesn't arrive", name)
			}
		}
		owed := clock.Boot()
		if i > 0 {
			// Time in which the first request runs on.
			time.Sleep(50 * time.Millisecond)
			close(release)
		}
		if a := <-arrived; a < sent || a > owed {
			t.Errorf("the %s request arrived %v after it was sent, want 0 to %v", name, a.Sub(sent), owed.Sub(sent))
		}
	}
}

// Guards against losing or reordering bytes between the server's reads and those
// ahead of it: each request must arrive complete and in order, however the
// client splits its writes.
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
		return checkResponses(c, sizes)
	}, gen.SliceOfN(6, gen.IntRange(0, 20000)), gen.SliceOfN(5, gen.IntRange(0, 8000)), gen.IntRange(0, 3)))
	q.TestingRun(t)
}

// body returns the body of n bytes of request i.
func body(i, n int) string { return strings.Repeat(string(rune('a'+i)), n) }

// checkResponses reads the responses to requests with bodies of the given sizes.
// It describes the first wrong one, or returns "".
func checkResponses(c net.Conn, sizes []int) string {
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
			return fmt.Sprintf("response %d is wrong: %d bytes", i, len(b))
		}
	}
	return ""
}

// Guards against a connection that, once it was read ahead, no longer observes
// the server's timeouts or can't be used after a pause.
func TestDeadlines(t *testing.T) {
	c := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(50 * time.Millisecond)
		_, _ = io.WriteString(w, "done")
	}))
	r := bufio.NewReader(c)
	for i := range 2 {
		send(t, c, fmt.Sprintf(getFormat, i))
		time.Sleep(10 * time.Millisecond)
		send(t, c, fmt.Sprintf(getFormat, i))
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
	// The server must time out while it waits for the rest of these headers.
	send(t, c, "GET / HTTP/1.1\r\n")
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.Copy(io.Discard, r); err != nil {
		t.Errorf("the server did not close the connection: %v", err)
	}
}
