package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"
)

// blocked is a writer that waits until it is let go.
type blocked struct {
	gate chan struct{}
	mu   sync.Mutex
	b    bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.gate
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

// Guards against a request that waits for its log line, and against lines that
// vanish without a trace.
func TestWriterNeverWaits(t *testing.T) {
	out := &blocked{gate: make(chan struct{})}
	w := New(out, 100)
	for range 5000 {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	close(out.gate)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	s := out.b.String()
	if n := strings.Count(s, "line\n"); n > 200 {
		t.Errorf("%d lines were written, want about 100", n)
	}
	if !strings.Contains(s, `"event":"log-lines-dropped"`) {
		t.Error("no line states how many were dropped")
	}
}
