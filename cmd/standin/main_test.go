package main

import (
	"bytes"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"dandelionrock.example/dandelionrock/config"
	"dandelionrock.example/dandelionrock/internal/stub"
)

// buffer is a bytes.Buffer that is safe for concurrent use.
type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// Guards against a SIGTERM that aborts a request in flight, or that ends the
// process without draining.
func TestUpstreamTerminates(t *testing.T) {
	var b buffer
	c := &upstreamCommand{log: zerolog.New(&b), UpstreamConfig: stub.UpstreamConfig{
		Name: "quotes-1", Address: "127.0.0.1:0", Fencing: config.FencingNone,
		ServiceTime: stub.Duration(500 * time.Millisecond), DrainTime: stub.Duration(200 * time.Millisecond),
	}}
	done, status := make(chan error, 1), make(chan int, 1)
	go func() { done <- c.Execute(nil) }()
	for !strings.Contains(b.String(), `"address":"`) {
		time.Sleep(time.Millisecond)
	}
	_, s, _ := strings.Cut(b.String(), `"address":"`)
	s, _, _ = strings.Cut(s, `"`)
	go func() {
		a, err := http.Get("http://" + s + "/x")
		if err != nil {
			status <- 0
			return
		}
		status <- a.StatusCode
		_ = a.Body.Close()
	}()
	time.Sleep(100 * time.Millisecond)
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if n := <-status; n != http.StatusOK {
		t.Errorf("status %d of the request in flight", n)
	}
	if err := <-done; err != nil || !strings.Contains(b.String(), "drain") {
		t.Errorf("%v, log %s", err, b.String())
	}
}
