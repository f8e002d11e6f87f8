// Package logs writes log lines without blocking the caller. Lines above the
// rate limit, or beyond the buffer, are dropped and counted.
package logs

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"dandelionrock.example/dandelionrock/internal/ring"
	"golang.org/x/time/rate"
)

const (
	// ringLines is the number of lines in the buffer.
	ringLines = 1024
	// reportInterval is the minimum time between reports of the number of
	// dropped lines.
	reportInterval = time.Second
)

// SampleInterval is the number of answered requests for each one that is logged.
// Requests that were late, took several tries or whose response could not be
// written are always logged.
const SampleInterval = 64

// Writer passes lines on to another writer in the background. Use New.
type Writer struct {
	out     io.Writer
	ring    *ring.Ring[[]byte]
	limit   *rate.Limiter
	dropped atomic.Uint64
	group   sync.WaitGroup
}

// New returns a Writer that accepts perSecond lines a second on average, with
// bursts of the same size.
func New(out io.Writer, perSecond int) *Writer {
	w := &Writer{out: out, ring: ring.New[[]byte](ringLines), limit: rate.NewLimiter(rate.Limit(perSecond), perSecond)}
	w.group.Go(w.run)
	return w
}

// Write queues or drops a line. It never blocks and never fails.
func (w *Writer) Write(b []byte) (int, error) {
	if !w.limit.Allow() || w.ring.Offer(append([]byte(nil), b...)) != nil {
		w.dropped.Add(1)
	}
	return len(b), nil
}

// Close writes the queued lines and stops the Writer. The error is always nil.
func (w *Writer) Close() error {
	w.ring.Close()
	w.group.Wait()
	return nil
}

func (w *Writer) run() {
	reported := time.Now()
	for {
		b, err := w.ring.Take(context.Background())
		if err != nil {
			w.report()
			return
		}
		// There is nowhere to report a failure of the log itself.
		_, _ = w.out.Write(b)
		if time.Since(reported) >= reportInterval {
			w.report()
			reported = time.Now()
		}
	}
}

func (w *Writer) report() {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.out, "{\"level\":\"warn\",\"event\":\"log-lines-dropped\",\"count\":%d,\"time\":%d}\n", n, time.Now().UnixMilli())
	}
}
