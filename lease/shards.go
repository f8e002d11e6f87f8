package lease

import (
	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/shard"
)

// entry is the state of a shard that the upstream owns or has owned.
type entry struct {
	// epoch only increases, also after the shard was removed.
	epoch            shard.Epoch
	owned, releasing bool
	// first is the sequence from which on all messages grant the shard; 0 if
	// the last message did not. last is the sequence of the last message that
	// granted it; 0 if none did. Both refer to messages to the run bootID.
	first, last uint64
	// expiry is when every grant of the shard has expired, earlierRunsExpiry
	// the same for grants to earlier runs of the upstream.
	expiry, earlierRunsExpiry clock.Time
	// requestsEnd is when no dispatched request can still run. It is set only
	// without fencing.
	requestsEnd clock.Time
}

// Add records that the table names the upstream as owner of the shard in the
// epoch. An epoch that is not higher than all earlier ones is ignored, so that
// an old row cannot add a removed shard again. The row must come from a read
// that was sent after the commit of the term, or be newer: an older row may
// predate a move by the predecessor.
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

// Restore undoes Release. It may be called only if no write that moves the shard
// was sent, or if every such write is known never to take effect.
func (h *Home) Restore(s shard.ID) {
	if e := h.shards[s]; e != nil && e.owned {
		e.releasing = false
	}
}

// Remove records that the move of a released shard is committed. It does
// nothing if the shard was added again since, in a higher epoch.
func (h *Home) Remove(s shard.ID) {
	if e := h.shards[s]; e != nil && e.releasing {
		e.owned, e.releasing = false, false
	}
}

// Drained records that every request on the shard for which CanDispatch
// returned a token has ended with a complete response or was never written, so
// that CanMove and Retire need not wait for those requests.
func (h *Home) Drained(s shard.ID) {
	if e := h.shards[s]; e != nil {
		e.requestsEnd = 0
	}
}

// CanDispatch returns the token for a request on the shard that is written at
// now. It must be called again after every wait, immediately before the request
// is written. The error is ErrSuperseded, ErrReleasing, ErrNotOwned,
// ErrUnconfirmed or ErrNotGranted; the request must then not be written.
func (h *Home) CanDispatch(now clock.Time, s shard.ID) (Token, error) {
	e := h.shards[s]
	if err := h.dispatchError(now, e); err != nil {
		return Token{}, err
	}
	if !h.checksTokens() {
		e.requestsEnd = now.Add(h.c.Drift.Stretch(h.c.MaxRequest))
	}
	return Token{Term: h.c.Term, Shard: s, Epoch: e.epoch}, nil
}

// dispatchError returns why a request on the shard of e may not be dispatched
// at now, or nil; e is nil for an unknown shard.
func (h *Home) dispatchError(now clock.Time, e *entry) error {
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
	case h.checksTokens() && !h.granted(now, e),
		!h.checksTokens() && now < h.predecessorEnd():
		return ErrNotGranted
	}
	return nil
}

// CanMove reports whether the upstream can no longer act on a released shard,
// so that another owner may be committed. If not, the time is the earliest at
// which to call CanMove again; an answer of the upstream may permit the move
// sooner. The time is 0 if the shard is not being released, or if the home is
// superseded or retired. Once true, the result stays true until Restore or Add.
//
// With fencing, CanMove does not wait for requests in flight; the caller does.
func (h *Home) CanMove(now clock.Time, s shard.ID) (bool, clock.Time) {
	e := h.shards[s]
	if h.ended() || e == nil || !e.owned || !e.releasing {
		return false, 0
	}
	t := h.movableAt(e)
	return now >= t, t
}

// movableAt returns when the upstream can no longer act on the released shard
// of e.
func (h *Home) movableAt(e *entry) clock.Time {
	if !h.checksTokens() {
		return max(h.predecessorEnd(), e.requestsEnd)
	}
	t := max(h.predecessorEnd(), e.earlierRunsExpiry)
	if e.last != 0 && h.acked <= e.last {
		t = max(t, e.expiry)
	}
	return t
}
