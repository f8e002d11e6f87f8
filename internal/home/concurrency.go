package home

import (
	"sync"
	"time"

	"dandelionrock.example/dandelionrock/internal/header"
	"dandelionrock.example/dandelionrock/queue"
	"dandelionrock.example/dandelionrock/schema"
)

const (
	// increaseAfter is the number of answers after which the limit increases by
	// one if requests are queued.
	increaseAfter = 32
	// shedBackoff is the time after a shed request during which the limit stays
	// at the number of slots.
	shedBackoff = 10 * time.Second
)

// concurrency adapts the limit on requests in flight at the upstream. If it equals
// the number of slots, a slot is idle while an answer and the next request are
// in transit. Up to one more request for every two slots avoids that, as long as
// the upstream queues them; an upstream without a queue sheds them.
type concurrency struct {
	gate  *queue.Gate[string]
	slots int

	mu sync.Mutex
	// extra is the number of requests beyond the slots, between 0 and half of the
	// slots, rounded up.
	extra int
	// answered counts the outcomes other than shed since it was last reset.
	answered int
	// increaseFrom is the earliest time for the next increase.
	increaseFrom time.Time
}

// record adapts the limit to the outcome of a request. It permits a retry of a
// shed request if the limit was above the number of slots.
func (d *concurrency) record(y *schema.ForwardReply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if y.GetOutcome() == schema.Outcome_OUTCOME_NOT_RUN && y.GetReason() == header.Shed {
		y.Retry = d.extra > 0
		d.extra, d.answered, d.increaseFrom = 0, 0, time.Now().Add(shedBackoff)
		d.gate.SetSlots(d.slots)
		return
	}
	if d.answered++; d.answered < increaseAfter || d.extra >= (d.slots+1)/2 {
		return
	}
	d.answered = 0
	if d.gate.Stats().Queued > 0 && time.Now().After(d.increaseFrom) {
		d.extra++
		d.gate.SetSlots(d.slots + d.extra)
	}
}
