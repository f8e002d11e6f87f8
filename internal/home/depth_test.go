package home

import (
	"context"
	"runtime"
	"testing"

	"dandelionrock.example/dandelionrock/internal/header"
	"dandelionrock.example/dandelionrock/queue"
	"dandelionrock.example/dandelionrock/schema"
)

// Guards against slots that stay idle under load, against more requests at the
// upstream than half as many again, and against requests that are shed again and
// again.
func TestDepth(t *testing.T) {
	g := queue.New[string](queue.Options{Slots: 2})
	d := &depth{gate: g, slots: 2}
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
	for range 4 * deepenAfter {
		d.note(ok)
	}
	if n := g.Stats().Slots; n != 3 {
		t.Errorf("%d slots under load, want 3", n)
	}
	y := notRun(header.Shed, false)
	if d.note(y); !y.GetRetry() || g.Stats().Slots != 2 {
		t.Errorf("after a shed request: retry %t, %d slots, want true, 2", y.GetRetry(), g.Stats().Slots)
	}
	if d.note(y); y.GetRetry() {
		t.Error("request shed within the slots may be sent again")
	}
	for range 4 * deepenAfter {
		d.note(ok)
	}
	if n := g.Stats().Slots; n != 2 {
		t.Errorf("%d slots soon after a shed request, want 2", n)
	}
	stop()
}
