package shed

import (
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/clock"
)

// Guards a client that sends steadily against one that sends a few bytes now and then, while
// memory is short.
func TestSlowSender(t *testing.T) {
	l, now := New(limit), clock.Time(time.Hour)
	for id := ID(1); id <= 2; id++ {
		l.Open(now, id)
		l.Hold(id, 12*megabyte)
	}
	for range 20 {
		now = now.Add(50 * time.Millisecond)
		l.Received(now, 1, 64<<10)
		l.Received(now, 2, 100)
	}
	if v, ok := l.Next(now); !ok || v.ID != 2 {
		t.Errorf("victim %v, %v", v, ok)
	}
	if v, ok := l.Next(now); ok {
		t.Errorf("victim %v", v)
	}
	if !l.Admits(megabyte) || l.Admits(2*megabyte) {
		t.Error("a long request leaves no room for short ones")
	}
}
