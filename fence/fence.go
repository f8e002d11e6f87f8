// Package fence implements the upstream side of the ownership protocol. It
// adopts the terms of homes, keeps the set of shards granted to the upstream,
// and refuses a request whose token does not match that set.
//
// A grant expires by the upstream's own clock. Its time to live counts from a
// clock reading that the upstream sent in an earlier reply, so a grant that was
// delayed in the network, or that waited while the upstream was paused, expires
// no later than one that arrived at once.
package fence

import (
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/schema"
	"dandelionrock.example/dandelionrock/shard"
)

var (
	// ErrStale reports a token whose term or epoch is older than the current one.
	ErrStale = errors.New("token is of an older term or epoch")
	// ErrExpired reports that the grants of the upstream have expired.
	ErrExpired = errors.New("grants of the upstream have expired")
	// ErrNotGranted reports a token that no received grant covers.
	ErrNotGranted = errors.New("shard is not granted")
)

// MaxTTL is the longest time to live of a grant that a Guard accepts. The bound
// keeps the sum of a clock reading and a time to live from overflowing.
const MaxTTL = time.Hour

// Term numbers the successive homes of one upstream. Terms start at 1 and only
// increase; 0 means that there is no home.
type Term uint64

// String returns the decimal form of t.
func (t Term) String() string { return strconv.FormatUint(uint64(t), 10) }

// Token accompanies each request to an upstream and states the ownership under
// which the request was dispatched.
type Token struct {
	Term  Term
	Shard shard.ID
	Epoch shard.Epoch
}

// Guard decides which requests an upstream may execute. Its methods are safe
// for concurrent use.
type Guard struct {
	bootID string

	mu sync.Mutex
	// term and sequence are those of the last accepted message. The term only
	// increases, and within a term so does the sequence.
	term     Term
	sequence uint64
	// set maps the granted shards to their epochs.
	set map[shard.ID]shard.Epoch
	// setSequence is the sequence of the message that listed set.
	setSequence uint64
	// expiry is the first instant at which set is no longer in force.
	expiry   clock.Time
	draining bool
	load     float64
}

// New returns a Guard that has adopted no term. The boot id must not be empty
// and must be unique to each start of the upstream's process: it tells the home
// that a restarted upstream has lost its term.
func New(bootID string) *Guard { return &Guard{bootID: bootID} }

// Handle applies a message that arrived at now and returns the reply to it.
// The reply carries the boot id, the clock reading, and the current term and
// sequence, whether the message was accepted or not.
func (g *Guard) Handle(now clock.Time, m *schema.GrantRequest) *schema.GrantReply {
	g.mu.Lock()
	defer g.mu.Unlock()
	ok := g.accepts(now, m)
	if ok {
		g.apply(m)
	}
	return &schema.GrantReply{
		BootId:    g.bootID,
		ReadingUs: microseconds(now),
		Term:      uint64(g.term),
		Sequence:  g.sequence,
		Accepted:  ok,
		Draining:  g.draining,
		Load:      g.load,
	}
}

// accepts reports whether m may be applied. It must be newer than the last
// accepted message. Only a greeting, which has no boot id and grants nothing,
// starts a term. A grant must name this boot id and a clock reading that is not
// in the future. A message that renews the set of an earlier message by its
// sequence is refused if the set was replaced since.
func (g *Guard) accepts(now clock.Time, m *schema.GrantRequest) bool {
	t := Term(m.GetTerm())
	if t < g.term || t == g.term && m.GetSequence() <= g.sequence {
		return false
	}
	if m.GetBootId() == "" {
		return len(m.GetShards()) == 0 && m.GetSameAs() == 0
	}
	if n := m.GetSameAs(); n != 0 && (n != g.setSequence || len(m.GetShards()) > 0) {
		return false
	}
	return t == g.term && m.GetBootId() == g.bootID &&
		m.GetReadingUs() <= microseconds(now) &&
		m.GetTtlUs() >= 0 && m.GetTtlUs() <= MaxTTL.Microseconds()
}

func (g *Guard) apply(m *schema.GrantRequest) {
	g.term, g.sequence = Term(m.GetTerm()), m.GetSequence()
	if m.GetSameAs() == 0 {
		g.setSequence = g.sequence
		g.set = make(map[shard.ID]shard.Epoch, len(m.GetShards()))
		for _, s := range m.GetShards() {
			g.set[shard.ID(s.GetShard())] = shard.Epoch(s.GetEpoch())
		}
	}
	d := time.Duration(m.GetTtlUs()) * time.Microsecond
	g.expiry = clock.Time(m.GetReadingUs() * int64(time.Microsecond)).Add(d)
}

// Check reports whether the upstream may execute a request with the token t at
// now. The error is ErrStale, ErrExpired or ErrNotGranted; the request must then
// not be executed. An upstream with long-running requests calls Check again
// immediately before the effect of the request, because the shard may have
// moved in the meantime.
func (g *Guard) Check(now clock.Time, t Token) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.Term < g.term {
		return ErrStale
	}
	if t.Term > g.term {
		return ErrNotGranted
	}
	e, ok := g.set[t.Shard]
	switch {
	case !ok || t.Epoch > e:
		return ErrNotGranted
	case t.Epoch < e:
		return ErrStale
	case !now.Before(g.expiry):
		return ErrExpired
	}
	return nil
}

// SetDraining sets whether replies ask the home to move all shards to other
// upstreams.
func (g *Guard) SetDraining(b bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = b
}

// SetLoad sets the load that replies report, from 0 to 1.
func (g *Guard) SetLoad(f float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.load = f
}

// microseconds returns t in microseconds, rounded down so that a grant never
// expires later than it would by the reading in nanoseconds.
func microseconds(t clock.Time) int64 { return int64(t) / int64(time.Microsecond) }
