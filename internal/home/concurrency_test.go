package home

import (
	"context"
	"runtime"
	"testing"

	"dandelionrock.example/dandelionrock/internal/header"
	"dandelionrock.example/dandelionrock/queue"
	"dandelionrock.example/dandelionrock/schema"
)

// Guards against a limit that doesn't increase although requests are queued, that
// exceeds the slots by more than half, or that increases soon after the upstream
// has shed a request, so that it sheds the next ones as well.
func TestAdaptiveConcurrency(t *testing.T) {
	g := queue.New[string](queue.Options{Slots: 2})
	d := &concurrency{gate: g, slots: 2}
	c, stop := context.WithCancel(t.Context())
	for range 6 {
		go func() {
			if _, err := g.Acquire(c, "a", 1); err == nil {
				<-c.Done()
			}
		}()
	}
	for g.Stats().Queued < 4 {
		runtime.Gosched()
	}
	ok := &schema.ForwardReply{Outcome: schema.Outcome_OUTCOME_ANSWERED}
	for range 4 * increaseAfter {
		d.record(ok)
	}
	if n := g.Stats().Slots; n != 3 {
		t.Errorf("%d slots under load, want 3", n)
	}
	y := notRun(header.Shed, false)
	if d.record(y); !y.GetRetry() || g.Stats().Slots != 2 {
		t.Errorf("after a shed request: retry %t, %d slots, want true, 2", y.GetRetry(), g.Stats().Slots)
	}
	if d.record(y); y.GetRetry() {
		t.Error("request shed without extra requests in flight may be sent again")
	}
	for range 4 * increaseAfter {
		d.record(ok)
	}
	if n := g.Stats().Slots; n != 2 {
		t.Errorf("%d slots soon after a shed request, want 2", n)
	}
	stop()
}
