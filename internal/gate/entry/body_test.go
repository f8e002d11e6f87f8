package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/internal/edge"
	"dandelionrock.example/dandelionrock/internal/gate/depot"
	"dandelionrock.example/dandelionrock/internal/header"
	"dandelionrock.example/dandelionrock/platform"
)

const (
	// smallMemory is the memory of an instance in bytes, and largeBody a body within
	// the operator's limit of 64 MiB that such an instance is sent.
	smallMemory = 284 << 20
	largeBody   = 60 << 20
)

// serve serves clients with an Entry that has no targets.
func serve(t *testing.T) (*Entry, string) {
	t.Helper()
	e := newEntry(t, true)
	e.Views.View().Desired.Limits.MaxBody = 64 << 20
	e.Bodies.SetMemory(smallMemory)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := edge.NewServer(l, e)
	go func() { _ = s.Start(context.Background()) }()
	t.Cleanup(func() { _ = s.Close() })
	return e, l.Addr().String()
}

// resident returns the resident memory of the process in bytes.
func resident(t *testing.T) int64 {
	b, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		t.Skip("the system doesn't tell the resident memory")
	}
	var size, pages int64
	if _, err := fmt.Sscan(string(b), &size, &pages); err != nil {
		t.Fatal(err)
	}
	return pages * int64(os.Getpagesize())
}

// zeros is an endless body that takes no memory. It pauses after each read.
type zeros struct{ pause time.Duration }

func (z zeros) Read(b []byte) (int, error) {
	time.Sleep(z.pause)
	clear(b)
	return len(b), nil
}

// post sends an order with a body of which only a part may be sent, and returns the
// response.
func post(address string, deadline time.Duration, length, sent int64, chunked bool, pause time.Duration) (*http.Response, error) {
	k, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	defer k.Close()
	framing := fmt.Sprint("Content-Length: ", length)
	if chunked {
		framing = "Transfer-Encoding: chunked"
	}
	fmt.Fprintf(k, "POST /orders/x HTTP/1.1\r\nHost: %s\r\n%s: a\r\n%s: %d\r\n%s\r\n\r\n", "example", platform.HeaderAttempt, platform.HeaderDeadline, deadline.Milliseconds(), framing)
	go func() {
		var w io.Writer = k
		if chunked {
			w = chunks{k}
		}
		_, _ = io.CopyN(w, zeros{pause}, sent)
		if chunked && sent == length {
			_, _ = io.WriteString(k, "0\r\n\r\n")
		}
	}()
	return http.ReadResponse(bufio.NewReader(k), nil)
}

// chunks writes each block as a chunk.
type chunks struct{ io.Writer }

func (c chunks) Write(b []byte) (int, error) {
	_, err := fmt.Fprintf(c.Writer, "%x\r\n%s\r\n", len(b), b)
	return len(b), err
}

// Guards against an instance that exceeds its memory because of bodies within the
// operator's limit, against other requests that fail then, and against memory that stays
// taken after clients that send slowly or stop half way.
func TestLargeBodies(t *testing.T) {
	for _, c := range []struct {
		name    string
		sent    int64
		chunked bool
		pause   time.Duration
	}{
		{"at once", largeBody, false, 0},
		{"in chunks", largeBody, true, 0},
		{"slowly", largeBody, false, 20 * time.Millisecond},
		{"abandoned half way", largeBody / 2, false, 0},
	} {
		for _, n := range []int{4, 64} {
			t.Run(fmt.Sprint(c.name, " ", n), func(t *testing.T) {
				e, address := serve(t)
				before := resident(t)
				var g sync.WaitGroup
				var mu sync.Mutex
				reasons := map[string]int{}
				for range n {
					g.Go(func() {
						a, err := post(address, 2*time.Second, largeBody, c.sent, c.chunked, c.pause)
						if err != nil {
							t.Error(err)
							return
						}
						if a.StatusCode != http.StatusServiceUnavailable || a.Header.Get("Retry-After") == "" {
							t.Errorf("status %d, Retry-After %q", a.StatusCode, a.Header.Get("Retry-After"))
						}
						mu.Lock()
						defer mu.Unlock()
						reasons[a.Header.Get(header.Reason)]++
					})
				}
				done := make(chan struct{})
				go func() { g.Wait(); close(done) }()
				var most int64
				for running := true; running; {
					select {
					case <-done:
						running = false
					case <-time.After(5 * time.Millisecond):
					}
					most = max(most, resident(t)-before)
					if a, err := post(address, time.Second, 8, 8, false, 0); err != nil || a.Header.Get(header.Reason) == reasonBodiesFull {
						t.Errorf("a small body: %v, %v", a, err)
					}
				}
				t.Logf("%d MiB more, %v", most>>20, reasons)
				if reasons[reasonBodiesFull] == n {
					t.Error("no body was admitted")
				}
				if most > smallMemory/2 {
					t.Errorf("the instance takes %d MiB more", most>>20)
				}
				for end := time.Now().Add(time.Second); e.Bodies.Used() > 0; time.Sleep(time.Millisecond) {
					if time.Now().After(end) {
						t.Fatalf("%d bytes are still taken", e.Bodies.Used())
					}
				}
			})
		}
	}
}

// Guards against requests that wait for ever for the rest of a small body, also those that
// no route matches, and against memory that they keep.
func TestUnfinishedSmallBodies(t *testing.T) {
	const (
		deadline = 300 * time.Millisecond
		patience = 5 * time.Second
	)
	e, address := serve(t)
	for _, c := range []struct {
		path    string
		length  int64
		chunked bool
		status  int
	}{
		{"/orders/x", 100, false, http.StatusServiceUnavailable},
		{"/orders/x", depot.SmallBody, false, http.StatusServiceUnavailable},
		{"/orders/x", 100, true, http.StatusServiceUnavailable},
		{"/nowhere", 100, false, http.StatusNotFound},
		{"/nowhere", 100, true, http.StatusNotFound},
	} {
		t.Run(fmt.Sprint(c.path, " ", c.length, " ", c.chunked), func(t *testing.T) {
			k, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer k.Close()
			framing := fmt.Sprint("Content-Length: ", c.length)
			var w io.Writer = k
			if c.chunked {
				framing, w = "Transfer-Encoding: chunked", chunks{k}
			}
			fmt.Fprintf(k, "POST %s HTTP/1.1\r\nHost: example\r\n%s: a\r\n%s: %d\r\n%s\r\n\r\n", c.path, platform.HeaderAttempt, platform.HeaderDeadline, deadline.Milliseconds(), framing)
			_, _ = io.CopyN(w, zeros{}, c.length-1)
			_ = k.SetReadDeadline(time.Now().Add(patience))
			r := bufio.NewReader(k)
			a, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatal(err)
			}
			if a.StatusCode != c.status || !a.Close {
				t.Errorf("status %d, closes %v, want %d", a.StatusCode, a.Close, c.status)
			}
			if _, err := r.ReadByte(); err != io.EOF {
				t.Errorf("the connection goes on: %v", err)
			}
		})
	}
	for end := time.Now().Add(patience); e.Bodies.Held() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are still held", e.Bodies.Held())
		}
	}
}
