package home

import (
	"sync"
	"time"

	"dandelionrock.example/dandelionrock/internal/header"
	"dandelionrock.example/dandelionrock/queue"
	"dandelionrock.example/dandelionrock/schema"
)

const (
	// deepenAfter is the number of requests answered in a row, while others
	// wait, after which one more request may be in flight.
	deepenAfter = 32
	// shedPause is for how long after a shed request no request beyond the slots
	// is sent.
	shedPause = 10 * time.Second
)

// depth adapts the number of requests in flight at the upstream. With as many
// as there are slots, a slot is idle while an answer and the next request are
// on their way. Up to one more for two slots hides that, as long as the
// upstream has a place for them to wait; it sheds them if it has not.
type depth struct {
	gate  *queue.Gate[string]
	slots int

	mu sync.Mutex
	// extra is between 0 and half of the slots, rounded up.
	extra int
	// answered counts the answers since extra changed.
	answered int
	// until is when requests beyond the slots may be tried again.
	until time.Time
}

// note takes the outcome of a request. A request that was shed although the
// upstream has as many slots as requests may be sent again.
func (d *depth) note(y *schema.ForwardReply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if y.GetOutcome() == schema.Outcome_OUTCOME_NOT_RUN && y.GetReason() == header.Shed {
		y.Retry = d.extra > 0
		d.extra, d.answered, d.until = 0, 0, time.Now().Add(shedPause)
		d.gate.SetSlots(d.slots)
		return
	}
	if d.answered++; d.answered < deepenAfter || d.extra >= (d.slots+1)/2 {
		return
	}
	d.answered = 0
	if d.gate.Stats().Queued > 0 && time.Now().After(d.until) {
		d.extra++
		d.gate.SetSlots(d.slots + d.extra)
	}
}
