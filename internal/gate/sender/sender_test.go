package sender

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// script is a target that answers each request on a connection with the next of
// its texts, and closes the connection after "close".
func script(t *testing.T, answers ...string) Target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r := bufio.NewReader(c)
			for _, a := range answers {
				if _, err := http.ReadRequest(r); err != nil {
					break
				}
				a, end := strings.CutSuffix(a, "close")
				if _, err := c.Write([]byte(a)); err != nil || end {
					break
				}
			}
			_ = c.Close()
		}
	}()
	return Target{ID: "t", Address: netip.MustParseAddrPort(l.Addr().String())}
}

func request(attempt string) *Request {
	return &Request{Method: http.MethodGet, URI: "/x", Host: "h", Attempt: attempt, End: time.Now().Add(2 * time.Second)}
}

const (
	whole    = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nUpstream-Signature: s\r\nContent-Length: 4\r\n\r\nbody"
	stray    = "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nUpstream-Signature: s\r\nContent-Length: 5\r\n\r\nwrong"
	unframed = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nUpstream-Signature: s\r\nConnection: close\r\n\r\nbody"
)

// Guards against an answer that belongs to another request, that is not whole,
// or that is none, and against the reuse of a connection with more bytes on it.
func TestAnswers(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		body         string
		err          error
	}{
		{"whole", whole, "body", nil},
		{"after the late answer to another request", stray + whole, "body", nil},
		{"with bytes after it", whole + "garbage", "body", nil},
		{"with an interim answer", "HTTP/1.1 100 Continue\r\n\r\n" + whole, "body", nil},
		{"that ends with its connection", unframed + "close", "body", nil},
		{"of another request only", stray + "close", "", ErrNoResponse},
		{"cut short", whole[:len(whole)-2] + "close", "", ErrNoResponse},
		{"no answer", "garbage\r\n\r\nclose", "", ErrNoResponse},
		{"connection closed", "close", "", ErrNoResponse},
		{"without an id", strings.Replace(whole, "Attempt-Id: a\r\n", "", 1), "", ErrNoResponse},
	} {
		l := New()
		p := script(t, c.answer, whole)
		a, err := l.Do(context.Background(), p, request("a"))
		if c.err != nil && !errors.Is(err, c.err) || c.err == nil && err != nil {
			t.Errorf("answer %s: error %v, want %v", c.name, err, c.err)
			continue
		}
		if a != nil && string(a.Body) != c.body {
			t.Errorf("answer %s: body %q", c.name, a.Body)
		}
		if a, err := l.Do(context.Background(), p, request("a")); c.err == nil && c.name == "with bytes after it" && (err != nil || string(a.Body) != "body") {
			t.Errorf("after an answer %s: %v", c.name, err)
		}
		if err := l.Close(); err != nil {
			t.Error(err)
		}
	}
}

// Guards against an idle connection that its target has closed: the request must
// not be lost on it.
func TestIdleConnectionClosed(t *testing.T) {
	l := New()
	defer l.Close()
	p := script(t, whole+"close")
	for range 3 {
		if _, err := l.Do(context.Background(), p, request("a")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if n := l.Dials(); n != 3 {
		t.Errorf("%d connections for three requests", n)
	}
}

// Guards against a target that can't be reached being reported as one that may
// have run the request.
func TestUnreachable(t *testing.T) {
	n, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := Target{ID: "t", Address: netip.MustParseAddrPort(n.Addr().String())}
	_ = n.Close()
	l := New()
	defer l.Close()
	if _, err := l.Do(context.Background(), p, request("a")); !errors.Is(err, ErrNotSent) {
		t.Errorf("Do() = %v, want ErrNotSent", err)
	}
}

// Guards against a request that goes on after its client has gone.
func TestCancel(t *testing.T) {
	l := New()
	defer l.Close()
	p := script(t, "")
	c, stop := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, stop)
	begin := time.Now()
	if _, err := l.Do(c, p, request("a")); !errors.Is(err, ErrNoResponse) {
		t.Errorf("Do() = %v, want ErrNoResponse", err)
	}
	if d := time.Since(begin); d > 500*time.Millisecond {
		t.Errorf("Do() returned after %v", d)
	}
}
