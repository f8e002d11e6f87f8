// Package lease implements the authority of the home of an upstream: which
// grants it may send, which requests it may dispatch, and when a shard may be
// moved to another owner. It performs no I/O; the caller passes clock readings
// and reports what was read, sent and received.
//
// The authority is a lease on the home row in the table. A home may act for the
// hold time after a read of that row that confirmed its term. A successor either
// has its term adopted by the upstream, which then refuses the predecessor, or
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
	// Token accompanies each request to an upstream and states the ownership
	// under which the request was dispatched.
	Token = fence.Token
)

var (
	// ErrNotOwned reports a shard that the upstream does not own.
	ErrNotOwned = errors.New("shard is not owned by the upstream")
	// ErrUnconfirmed reports that no read has confirmed the home row within
	// the hold time.
	ErrUnconfirmed = errors.New("home row is not confirmed within the hold time")
	// ErrNotGranted reports, with fencing, that the upstream has acknowledged
	// no grant of the shard that may still be in force, or, without fencing,
	// that the predecessor may still act.
	ErrNotGranted = errors.New("shard is not granted to the upstream")
	// ErrReleasing reports that the shard is being released or that the home is
	// retired.
	ErrReleasing = errors.New("shard is being released")
	// ErrSuperseded reports that a higher term of the home is known.
	ErrSuperseded = errors.New("home is superseded by a higher term")
	// ErrInvalid reports an answer without a boot id, or one that acknowledges
	// a message of this term that was never sent.
	ErrInvalid = errors.New("answer to a grant is invalid")
)

// Config describes one term of a home.
type Config struct {
	Organisation, Service, Upstream, Instance string

	Term fence.Term
	// Hold is the hold time of this home. The home row must state at least as
	// much.
	Hold time.Duration
	// PredecessorHold is the hold time that the home row stated before this
	// term; 0 if there was no predecessor or the row was marked released. The
	// row of this term must state StatedHold(Hold, PredecessorHold).
	PredecessorHold time.Duration
	// TTL is the time to live of a grant. It is at most fence.MaxTTL.
	TTL time.Duration
	// MaxRequest is the longest time from the dispatch of a request until an
	// upstream that honours the deadline has stopped working on it.
	MaxRequest time.Duration
	// PredecessorTTL and PredecessorMaxRequest are the values that the
	// predecessor used; 0 means the same as this home's. They differ after a
	// change of the configuration.
	PredecessorTTL, PredecessorMaxRequest time.Duration
	// Drift is the bound on clock drift; 0 means clock.DefaultDrift.
	Drift clock.Drift
	// Fencing is whether the upstream checks tokens. Any value other than
	// config.FencingChecked means that it does not.
	Fencing config.Fencing
	// CommittedAt is a clock reading taken once the commit of the term was
	// known.
	CommittedAt clock.Time
	// ConfirmedAt is a clock reading taken before the first attempt to commit
	// the term.
	ConfirmedAt clock.Time
}

// Home is the authority of one instance over one upstream during one term. An
// instance creates one Home for a term that it has committed, and never a
// second one for the same term, because the sequence numbers of its grants
// would restart. A Home is not safe for concurrent use.
type Home struct {
	c Config
	// latestPredecessorEnd is when the predecessor can no longer act, even if
	// the upstream has not adopted the term.
	latestPredecessorEnd clock.Time
	// confirmedAt is when the latest confirming read was sent.
	confirmedAt         clock.Time
	superseded, retired bool

	// sequence is that of the last message. acked is the highest sequence of
	// this term that the run bootID of the upstream is known to have accepted.
	sequence, acked uint64
	// bootID identifies the run of the upstream that gave the latest answer.
	// bootIDSeenAt is when its first answer arrived, adopted whether it has
	// adopted the term.
	bootID       string
	bootIDSeenAt clock.Time
	adopted      bool
	// everAdopted is whether any run of the upstream has adopted the term.
	everAdopted bool
	// newestSent is the latest time at which an answered message was sent.
	newestSent clock.Time
	// readingUs is the highest clock reading of the run bootID in
	// microseconds, received at readingAt.
	readingUs int64
	readingAt clock.Time
	// setSequence is the sequence of the last message that listed its shards,
	// which are set; 0 if the next message must list them.
	setSequence uint64
	set         []*schema.GrantedShard
	// sent lists messages with grants that await an acknowledgement, oldest
	// first. The grants of the message acked have expired at ackedExpiry.
	sent        []sentMessage
	ackedExpiry clock.Time
	draining    bool
	load        float64

	shards map[shard.ID]*entry
}

// sentMessage records when all grants of a message have certainly expired.
type sentMessage struct {
	sequence uint64
	expiry   clock.Time
}

// StatedHold returns the hold time that the home row of a new term must state,
// given the new home's own and that of the predecessor's row. It is not below
// the predecessor's: the predecessor may act for that long after the commit, and
// a home that replaces the new one at once has seen only the new row. The TTL
// and the longest request in the row are chosen in the same way. A home that
// marks its row released states its own values.
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
	return &Home{c: c, latestPredecessorEnd: latestPredecessorEnd(c), confirmedAt: c.ConfirmedAt, shards: make(map[shard.ID]*entry)}
}

// latestPredecessorEnd returns when the predecessor, whose last confirmation
// was at the latest just before the commit, can no longer act. Without fencing,
// a predecessor that released the home had no request in flight, so there is
// nothing to wait for.
func latestPredecessorEnd(c Config) clock.Time {
	if c.Fencing == config.FencingChecked {
		return c.CommittedAt.Add(c.Drift.Stretch(c.PredecessorHold + c.PredecessorTTL))
	}
	if c.PredecessorHold == 0 {
		return c.CommittedAt
	}
	return c.CommittedAt.Add(c.Drift.Stretch(c.PredecessorHold + c.PredecessorMaxRequest))
}

// Confirm records that a read sent at the given time found the home row with
// this home and term. The time of the response must not be passed, because the
// row may have changed while the response was in transit.
func (h *Home) Confirm(sent clock.Time) { h.confirmedAt = max(h.confirmedAt, sent) }

// Supersede records that the home row was read with a higher term. It ends the
// authority of the home for good.
func (h *Home) Supersede() { h.superseded = true }

// Retire ends the authority of the home for good and reports whether the home
// row may be marked released. If not, the time is the earliest at which to call
// Retire again. The successor to a released row does not wait for the hold time,
// so the row must not be marked while the predecessor of this home may act or,
// without fencing, a request whose end is not known may be running.
func (h *Home) Retire(now clock.Time) (bool, clock.Time) {
	h.retired = true
	t := h.predecessorEnd()
	for _, e := range h.shards {
		t = max(t, e.requestsEnd)
	}
	return now >= t, t
}

// predecessorEnd returns when the predecessor can no longer act: 0 if the
// upstream has adopted this term and so refuses the predecessor, and otherwise
// latestPredecessorEnd.
func (h *Home) predecessorEnd() clock.Time {
	if h.checksTokens() && h.everAdopted {
		return 0
	}
	return h.latestPredecessorEnd
}

// confirmedFor returns for how long after now the latest confirmation remains
// valid; it is not valid if the result is not positive.
func (h *Home) confirmedFor(now clock.Time) time.Duration {
	return h.c.Drift.Shrink(h.c.Hold) - now.Sub(h.confirmedAt)
}

func (h *Home) ended() bool { return h.superseded || h.retired }

// checksTokens reports whether the upstream refuses stale tokens. An unknown
// kind of fencing counts as none.
func (h *Home) checksTokens() bool { return h.c.Fencing == config.FencingChecked }

// NeedsConfirm reports whether grants wait for a read of the home row that is
// sent from now on. A restarted upstream has lost its term and adopts any, so
// only a read sent after the restart was noticed proves that this home was not
// superseded before it.
func (h *Home) NeedsConfirm() bool {
	return !h.ended() && h.bootID != "" && h.confirmedAt <= h.bootIDSeenAt
}
