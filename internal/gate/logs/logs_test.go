package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"
)

// blockedWriter is a writer that blocks until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	lines   bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.unblock
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.Write(p)
}

// Guards against a request that waits for its log line, and against lines that
// are dropped without being counted.
func TestWriterNeverWaits(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	w := New(out, 100)
	for range 5000 {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	close(out.unblock)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	s := out.lines.String()
	if n := strings.Count(s, "line\n"); n > 200 {
		t.Errorf("%d lines were written, want about 100", n)
	}
	if !strings.Contains(s, `"event":"log-lines-dropped"`) {
		t.Error("no line reports the number of dropped lines")
	}
}
