package lease

import (
	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/shard"
)

// entry is what a home knows about a shard that the upstream owns or owned.
type entry struct {
	// epoch only grows, also after the shard was removed.
	epoch            shard.Epoch
	owned, releasing bool
	// first and last delimit the unbroken run of messages to the present run
	// of the upstream that state the shard. first is 0 if the last message
	// did not state it, last is 0 if none did.
	first, last uint64
	// until is when every grant of the shard has expired, floor the same for
	// grants to earlier runs of the upstream.
	until, floor clock.Time
	// busy is when no dispatched request can still run; kept without fencing.
	busy clock.Time
}

// Add records that the table names the upstream as owner of the shard in the
// epoch. An epoch that is not higher than all before it is ignored, so that an
// old row can't bring a removed shard back. Rows must come from a read that was
// sent after the commit of the term, or be newer: an older row may precede a
// move by the predecessor.
func (h *Home) Add(s shard.ID, e shard.Epoch) {
	x := h.shards[s]
	if x == nil {
		x = &entry{}
		h.shards[s] = x
	}
	if e <= x.epoch {
		return
	}
	x.epoch, x.owned, x.releasing, x.first = e, true, false, 0
}

// Release stops the dispatch of requests on the shard and drops it from the
// next grant.
func (h *Home) Release(s shard.ID) {
	if e := h.shards[s]; e != nil && e.owned {
		e.releasing = true
	}
}

// Restore takes back Release. It may be called only when no write that moves
// the shard was sent or every such write is known never to take effect.
func (h *Home) Restore(s shard.ID) {
	if e := h.shards[s]; e != nil && e.owned {
		e.releasing = false
	}
}

// Remove records that the move of a released shard is committed. It does
// nothing if the shard has come back since, in a higher epoch.
func (h *Home) Remove(s shard.ID) {
	if e := h.shards[s]; e != nil && e.releasing {
		e.owned, e.releasing = false, false
	}
}

// Drained records that every request on the shard for which CanDispatch gave a
// token has ended with a complete response or was never written, so that
// CanMove and Retire need not wait for it.
func (h *Home) Drained(s shard.ID) {
	if e := h.shards[s]; e != nil {
		e.busy = 0
	}
}

// CanDispatch returns the token for a request on the shard that is written at
// now. It must be called again after every wait, immediately before bytes are
// written. It returns ErrSuperseded, ErrReleasing, ErrNotOwned, ErrUnconfirmed
// or ErrNotGranted; then nothing may be written.
func (h *Home) CanDispatch(now clock.Time, s shard.ID) (Token, error) {
	e := h.shards[s]
	if err := h.refusal(now, e); err != nil {
		return Token{}, err
	}
	if !h.checked() {
		e.busy = now.Add(h.c.Drift.Stretch(h.c.MaxRequest))
	}
	return Token{Term: h.c.Term, Shard: s, Epoch: e.epoch}, nil
}

func (h *Home) refusal(now clock.Time, e *entry) error {
	switch {
	case h.superseded:
		return ErrSuperseded
	case h.retired:
		return ErrReleasing
	case e == nil || !e.owned:
		return ErrNotOwned
	case e.releasing:
		return ErrReleasing
	case h.confirmedFor(now) <= 0:
		return ErrUnconfirmed
	case h.checked() && !h.granted(now, e),
		!h.checked() && now < h.clearAt():
		return ErrNotGranted
	}
	return nil
}

// CanMove reports whether the upstream can no longer act on a released shard,
// so that another owner may be committed. If not, it returns the earliest time
// to ask again; an answer of the upstream may make it possible sooner. The time
// is 0 if the shard is not being released or the home has ended. Once true, the
// result stays true until Restore or Add.
//
// In-flight requests of a fenced upstream are the caller's to wait for.
func (h *Home) CanMove(now clock.Time, s shard.ID) (bool, clock.Time) {
	e := h.shards[s]
	if h.ended() || e == nil || !e.owned || !e.releasing {
		return false, 0
	}
	t := h.movable(e)
	return now >= t, t
}

func (h *Home) movable(e *entry) clock.Time {
	if !h.checked() {
		return max(h.clearAt(), e.busy)
	}
	t := max(h.clearAt(), e.floor)
	if e.last != 0 && h.acked <= e.last {
		t = max(t, e.until)
	}
	return t
}
