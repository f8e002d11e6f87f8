package lease

import (
	"slices"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/fence"
	"dandelionrock.example/dandelionrock/schema"
	"dandelionrock.example/dandelionrock/shard"
)

// maxSent bounds the number of messages kept until they are acknowledged. At the
// usual ten messages per second, grants expire long before it is reached.
const maxSent = 64

// Grant returns the next message to the upstream, or false if the home has no
// authority to send one. The message lists the whole set of granted shards, or
// names an acknowledged message that listed the same set. It is a greeting
// without grants until the current run of the upstream has adopted the term and
// a later read has confirmed the home row. Each message has a new sequence
// number; messages may be lost.
func (h *Home) Grant(now clock.Time) (Grant, bool) {
	if h.ended() || h.confirmedFor(now) <= 0 {
		return nil, false
	}
	h.sequence++
	m := &schema.GrantRequest{
		Organisation: h.c.Organisation,
		Service:      h.c.Service,
		Upstream:     h.c.Upstream,
		Home:         h.c.Instance,
		Term:         uint64(h.c.Term),
		Sequence:     h.sequence,
	}
	if h.bootID == "" || !h.adopted || h.NeedsConfirm() {
		return m, true
	}
	m.BootId, m.ReadingUs, m.TtlUs = h.bootID, h.readingUs, h.c.TTL.Microseconds()
	l := h.grantSet()
	if h.setSequence != 0 && h.acked >= h.setSequence && slices.EqualFunc(l, h.set, sameShard) {
		m.SameAs = h.setSequence
		return m, true
	}
	m.Shards, h.setSequence, h.set = l, h.sequence, l
	return m, true
}

func sameShard(a, b *schema.GrantedShard) bool {
	return a.GetShard() == b.GetShard() && a.GetEpoch() == b.GetEpoch()
}

// grantSet returns the shards of the message h.sequence in ascending order and
// records that they were sent. Their time to live counts from a reading that
// the upstream took before readingAt, so that they have expired one TTL after
// readingAt, extended by the drift.
func (h *Home) grantSet() []*schema.GrantedShard {
	u := h.readingAt.Add(h.c.Drift.Stretch(h.c.TTL))
	var l []*schema.GrantedShard
	for s, e := range h.shards {
		if !e.owned || e.releasing {
			e.first = 0
			continue
		}
		if e.first == 0 {
			e.first = h.sequence
		}
		e.last, e.expiry = h.sequence, max(e.expiry, u)
		l = append(l, &schema.GrantedShard{Shard: uint32(s), Epoch: uint64(e.epoch)})
	}
	slices.SortFunc(l, func(a, b *schema.GrantedShard) int { return int(a.Shard) - int(b.Shard) })
	if len(h.sent) == maxSent {
		h.sent = h.sent[1:]
	}
	h.sent = append(h.sent, sentMessage{h.sequence, u})
	return l
}

// Answer records the reply to a message that was sent at sent; now must be read
// after the reply arrived. It returns ErrSuperseded if the upstream has adopted
// a higher term or the home was superseded before, and ErrInvalid for a reply
// without a boot id or with a sequence of this term that was never sent.
func (h *Home) Answer(sent, now clock.Time, a Answer) error {
	t := fence.Term(a.GetTerm())
	if h.superseded || t > h.c.Term {
		h.superseded = true
		return ErrSuperseded
	}
	if a.GetBootId() == "" || t == h.c.Term && a.GetSequence() > h.sequence {
		return ErrInvalid
	}
	if a.GetBootId() != h.bootID {
		if h.bootID != "" && sent < h.newestSent {
			return nil
		}
		h.switchRun(now, a.GetBootId())
	}
	h.newestSent = max(h.newestSent, sent)
	if a.GetReadingUs() > h.readingUs || h.readingAt == 0 {
		h.readingUs, h.readingAt = a.GetReadingUs(), now
		h.draining, h.load = a.GetDraining(), a.GetLoad()
	}
	if t == h.c.Term {
		h.adopted, h.everAdopted = true, true
		h.acknowledge(a.GetSequence())
		if !a.GetAccepted() {
			h.setSequence = 0
		}
	}
	return nil
}

// switchRun records an answer by another run of the upstream. Grants to the
// previous run still count until they expire, since a new boot id alone does not
// prove that this run has ended.
func (h *Home) switchRun(now clock.Time, id string) {
	h.bootID, h.bootIDSeenAt, h.adopted = id, now, false
	h.acked, h.ackedExpiry, h.sent, h.setSequence = 0, 0, nil, 0
	h.readingUs, h.readingAt = 0, 0
	for _, e := range h.shards {
		e.first, e.last, e.earlierRunsExpiry = 0, 0, e.expiry
	}
}

// acknowledge records that the upstream has accepted the message n.
func (h *Home) acknowledge(n uint64) {
	if n <= h.acked {
		return
	}
	h.acked, h.ackedExpiry = n, 0
	for len(h.sent) > 0 && h.sent[0].sequence <= n {
		if h.sent[0].sequence == n {
			h.ackedExpiry = h.sent[0].expiry
		}
		h.sent = h.sent[1:]
	}
}

// granted is Granted for the entry of a shard.
func (h *Home) granted(now clock.Time, e *entry) bool {
	return e.first != 0 && h.acked >= e.first && now < h.ackedExpiry
}

// Granted reports whether the upstream has acknowledged a grant of the shard
// that may still be in force at now.
func (h *Home) Granted(now clock.Time, s shard.ID) bool {
	e := h.shards[s]
	return e != nil && h.granted(now, e)
}
