package lease

import (
	"slices"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/fence"
	"dandelionrock.example/dandelionrock/schema"
	"dandelionrock.example/dandelionrock/shard"
)

// maxSent bounds the messages that are remembered until an acknowledgement. At
// the usual ten messages a second, grants expire long before it is reached.
const maxSent = 64

// Grant returns the next message to the upstream, or false if the home has no
// authority to send one. The message states the whole set of granted shards, or
// names an acknowledged message that stated the same set.
// It is a greeting without grants until the upstream's present run has adopted
// the term and a later read has confirmed the home row. Each call uses up a
// sequence number; a message need not arrive.
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
	l := h.state()
	if h.stated != 0 && h.acked >= h.stated && slices.EqualFunc(l, h.set, sameShard) {
		m.SameAs = h.stated
		return m, true
	}
	m.Shards, h.stated, h.set = l, h.sequence, l
	return m, true
}

func sameShard(a, b *schema.GrantedShard) bool {
	return a.GetShard() == b.GetShard() && a.GetEpoch() == b.GetEpoch()
}

// state returns the shards of the message h.sequence in ascending order and
// records that they were sent. The upstream gave the reading that the grants
// are counted from before it arrived here at readAt.
func (h *Home) state() []*schema.GrantedShard {
	u := h.readAt.Add(h.c.Drift.Stretch(h.c.TTL))
	var l []*schema.GrantedShard
	for s, e := range h.shards {
		if !e.owned || e.releasing {
			e.first = 0
			continue
		}
		if e.first == 0 {
			e.first = h.sequence
		}
		e.last, e.until = h.sequence, max(e.until, u)
		l = append(l, &schema.GrantedShard{Shard: uint32(s), Epoch: uint64(e.epoch)})
	}
	slices.SortFunc(l, func(a, b *schema.GrantedShard) int { return int(a.Shard) - int(b.Shard) })
	if len(h.sent) == maxSent {
		h.sent = h.sent[1:]
	}
	h.sent = append(h.sent, mark{h.sequence, u})
	return l
}

// Answer records the reply to a message that was sent at sent; now must be read
// after the reply arrived. It returns ErrSuperseded when the upstream holds a
// higher term, and ErrInvalid for a reply without a boot id or with a sequence
// of this term that was never sent.
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
		h.learn(now, a.GetBootId())
	}
	h.newestSent = max(h.newestSent, sent)
	if a.GetReadingUs() > h.readingUs || h.readAt == 0 {
		h.readingUs, h.readAt = a.GetReadingUs(), now
		h.draining, h.load = a.GetDraining(), a.GetLoad()
	}
	if t == h.c.Term {
		h.adopted, h.fenced = true, true
		h.acknowledge(a.GetSequence())
		if !a.GetAccepted() {
			h.stated = 0
		}
	}
	return nil
}

// learn switches to another run of the upstream. Grants of the run before are
// given time to expire, since the boot id alone does not prove that it ended.
func (h *Home) learn(now clock.Time, id string) {
	h.bootID, h.learned, h.adopted = id, now, false
	h.acked, h.ackedUntil, h.sent, h.stated = 0, 0, nil, 0
	h.readingUs, h.readAt = 0, 0
	for _, e := range h.shards {
		e.first, e.last, e.floor = 0, 0, e.until
	}
}

func (h *Home) acknowledge(n uint64) {
	if n <= h.acked {
		return
	}
	h.acked, h.ackedUntil = n, 0
	for len(h.sent) > 0 && h.sent[0].sequence <= n {
		if h.sent[0].sequence == n {
			h.ackedUntil = h.sent[0].until
		}
		h.sent = h.sent[1:]
	}
}

// granted reports whether the upstream has acknowledged a grant of the shard
// that may still be in force at now.
func (h *Home) granted(now clock.Time, e *entry) bool {
	return e.first != 0 && h.acked >= e.first && now < h.ackedUntil
}

// Granted reports whether the upstream has acknowledged a grant of the shard
// that may still be in force at now.
func (h *Home) Granted(now clock.Time, s shard.ID) bool {
	e := h.shards[s]
	return e != nil && h.granted(now, e)
}
