// Package lease decides what the home of an upstream may do: which grants it
// may send, which requests it may dispatch, and when a shard may get another
// owner. It performs no I/O; the caller passes clock readings and reports what
// was read, sent and received.
//
// Authority rests on the home row of the table. A home may act while a read of
// that row has confirmed its term within the hold time. A successor either has
// its term adopted by the upstream, which then refuses the predecessor, or
// waits until the predecessor can no longer act.
package lease

import (
	"time"

	"github.com/cockroachdb/errors"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/config"
	"dandelionrock.example/dandelionrock/fence"
	"dandelionrock.example/dandelionrock/schema"
	"dandelionrock.example/dandelionrock/shard"
)

type (
	// Grant is a message from a home to its upstream.
	Grant = *schema.GrantRequest
	// Answer is the upstream's reply to a Grant.
	Answer = *schema.GrantReply
	// Token accompanies each request to an upstream.
	Token = fence.Token
)

var (
	// ErrNotOwned reports a shard that the upstream does not own.
	ErrNotOwned = errors.New("shard is not owned by the upstream")
	// ErrUnconfirmed reports that no read has confirmed the home row within
	// the hold time.
	ErrUnconfirmed = errors.New("home row is not confirmed within the hold time")
	// ErrNotGranted reports a shard for which the upstream has acknowledged no
	// grant that may still be in force, or, without fencing, that the
	// predecessor may still act.
	ErrNotGranted = errors.New("shard is not granted to the upstream")
	// ErrReleasing reports a shard, or a whole home, that is being given up.
	ErrReleasing = errors.New("shard is being released")
	// ErrSuperseded reports that a higher term exists.
	ErrSuperseded = errors.New("home is superseded by a higher term")
	// ErrInvalid reports an answer that no upstream gives to this home.
	ErrInvalid = errors.New("answer to a grant is invalid")
)

// Config describes one term of a home.
type Config struct {
	Organisation, Service, Upstream, Instance string

	Term fence.Term
	// Hold is the hold time of this home; the home row states no less.
	Hold time.Duration
	// PredecessorHold is the hold time that the home row stated before this
	// term; 0 if there was no predecessor or the row was marked released. The
	// row of this term must state StatedHold of both.
	PredecessorHold time.Duration
	// TTL is the time to live of a grant; at most fence.MaxTTL.
	TTL time.Duration
	// MaxRequest is the longest time from the dispatch of a request until an
	// upstream that honours the deadline has stopped working on it.
	MaxRequest time.Duration
	// PredecessorTTL and PredecessorMaxRequest are those of the predecessor;
	// 0 means the same as this home's. They differ after a change of the
	// configuration.
	PredecessorTTL, PredecessorMaxRequest time.Duration
	// Drift is the bound on clock drift; 0 means clock.DefaultDrift.
	Drift   clock.Drift
	Fencing config.Fencing
	// CommittedAt is read after the commit of the term was known.
	CommittedAt clock.Time
	// ConfirmedAt is read before the first attempt to commit the term.
	ConfirmedAt clock.Time
}

// Home is the authority of one instance over one upstream during one term. An
// instance creates one Home for a term that it has committed, and never a
// second one for the same term, because the sequence of grants would start
// again. A Home must not be used from several goroutines at once.
type Home struct {
	c Config
	// free is when the predecessor can no longer act, even if the upstream
	// has not adopted the term.
	free clock.Time
	// confirmed is when the latest confirming read was sent.
	confirmed           clock.Time
	superseded, retired bool

	// sequence is that of the last message; acked is the highest sequence of
	// this term that run bootID of the upstream is known to have accepted.
	sequence, acked uint64
	// bootID is the run of the upstream that gave the latest answer, learned
	// when it was noticed; adopted is whether this run has adopted the term.
	bootID  string
	learned clock.Time
	adopted bool
	// fenced is whether any run of the upstream has adopted the term.
	fenced bool
	// newestSent is when the message behind the latest answer was sent.
	newestSent clock.Time
	// readingUs is the highest clock reading of run bootID, received at readAt.
	readingUs int64
	readAt    clock.Time
	// stated is the sequence of the last message that listed its shards, which
	// are set; 0 if the next message must list them.
	stated uint64
	set    []*schema.GrantedShard
	// sent lists messages with grants that await an acknowledgement, oldest
	// first. The grants of message acked have expired at ackedUntil.
	sent       []mark
	ackedUntil clock.Time
	draining   bool
	load       float64

	shards map[shard.ID]*entry
}

// mark records when all grants of a message have certainly expired.
type mark struct {
	sequence uint64
	until    clock.Time
}

// StatedHold returns the hold time that the home row of a new term must state.
// It is not below the predecessor's, which may act for that long after the
// commit, even if the new home is replaced at once by one that has seen only
// the new row. The row states the TTL and the longest request likewise. A home
// that marks its row released states its own values.
func StatedHold(own, predecessor time.Duration) time.Duration { return max(own, predecessor) }

// New returns the Home for a term whose commit is known.
func New(c Config) *Home {
	if c.Drift == 0 {
		c.Drift = clock.DefaultDrift
	}
	if c.PredecessorTTL == 0 {
		c.PredecessorTTL = c.TTL
	}
	if c.PredecessorMaxRequest == 0 {
		c.PredecessorMaxRequest = c.MaxRequest
	}
	return &Home{c: c, free: free(c), confirmed: c.ConfirmedAt, shards: make(map[shard.ID]*entry)}
}

// free returns when the predecessor, which confirmed its term at the latest
// just before the commit, can no longer act. An unfenced predecessor that
// released the home had no request left, so that nothing remains to wait for.
func free(c Config) clock.Time {
	if c.Fencing == config.FencingChecked {
		return c.CommittedAt.Add(c.Drift.Stretch(c.PredecessorHold + c.PredecessorTTL))
	}
	if c.PredecessorHold == 0 {
		return c.CommittedAt
	}
	return c.CommittedAt.Add(c.Drift.Stretch(c.PredecessorHold + c.PredecessorMaxRequest))
}

// Confirm records that the home row was read as this home's, in this term, by
// a read that was sent at the given time. The time of the response must not be
// passed: the row may have changed while the response was under way.
func (h *Home) Confirm(sent clock.Time) { h.confirmed = max(h.confirmed, sent) }

// Supersede records that the home row was read with a higher term. The home
// can't act again.
func (h *Home) Supersede() { h.superseded = true }

// Retire ends the authority of the home for good and reports whether the home
// row may be marked released, or else the earliest time to ask again. A row
// marked too early tells the successor to wait for nobody, while the
// predecessor of this home or, without fencing, a request whose end is not
// known may still act.
func (h *Home) Retire(now clock.Time) (bool, clock.Time) {
	h.retired = true
	t := h.clearAt()
	for _, e := range h.shards {
		t = max(t, e.busy)
	}
	return now >= t, t
}

// clearAt returns when the predecessor can no longer act: never later than free,
// and at once when the upstream refuses it.
func (h *Home) clearAt() clock.Time {
	if h.checked() && h.fenced {
		return 0
	}
	return h.free
}

// confirmedFor returns for how long after now the confirmation still holds; it
// does not hold if the result is not positive.
func (h *Home) confirmedFor(now clock.Time) time.Duration {
	return h.c.Drift.Shrink(h.c.Hold) - now.Sub(h.confirmed)
}

func (h *Home) ended() bool { return h.superseded || h.retired }

// checked reports whether the upstream refuses a stale token. Any unknown kind
// of fencing counts as none.
func (h *Home) checked() bool { return h.c.Fencing == config.FencingChecked }

// NeedsConfirm reports whether grants wait for a read of the home row that is
// sent from now on. A restarted upstream has forgotten its term and adopts any;
// only such a read proves that this home was not superseded before.
func (h *Home) NeedsConfirm() bool {
	return !h.ended() && h.bootID != "" && h.confirmed <= h.learned
}
