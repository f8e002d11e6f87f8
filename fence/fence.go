// Package fence is the upstream side of the ownership protocol: it adopts the
// terms of homes, keeps the set of shards that the upstream may serve, and
// refuses a request whose token does not match.
//
// A grant expires by the upstream's own clock, counted from a reading that the
// upstream gave out before. A grant that was delayed, or that waited while the
// upstream was frozen, is therefore never longer in force than one that
// arrived at once.
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
	// ErrStale reports a token of an older term or epoch than the one in force.
	ErrStale = errors.New("token is of an older term or epoch")
	// ErrLapsed reports that the grants have expired.
	ErrLapsed = errors.New("grants of the upstream have expired")
	// ErrNotGranted reports a token for which no grant was received.
	ErrNotGranted = errors.New("shard is not granted")
)

// MaxTTL is the longest time to live that a Guard accepts. It keeps the sum of
// a reading and a time to live far from overflow.
const MaxTTL = time.Hour

// Term counts the homes of one upstream. It starts at 1 and only grows; 0
// stands for no home.
type Term uint64

// String returns the decimal form of t.
func (t Term) String() string { return strconv.FormatUint(uint64(t), 10) }

// Token accompanies each request to an upstream.
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
	// term and sequence are those of the last accepted message; they only grow.
	term     Term
	sequence uint64
	// granted is the set of the last accepted message.
	granted map[shard.ID]shard.Epoch
	// stated is the sequence of the message that stated granted.
	stated uint64
	// expiry is the first instant at which granted is no longer in force.
	expiry   clock.Time
	draining bool
	load     float64
}

// New returns a Guard that has adopted no term. The boot id must be non-empty
// and unique for each start of the upstream's process, because a restarted
// upstream has forgotten its term.
func New(bootID string) *Guard { return &Guard{bootID: bootID} }

// Handle applies a message that arrived at now and returns the reply to it.
// Each reply carries the boot id, the clock reading, and the term and sequence
// in force, whether the message was accepted or not.
func (g *Guard) Handle(now clock.Time, m *schema.GrantRequest) *schema.GrantReply {
	g.mu.Lock()
	defer g.mu.Unlock()
	ok := g.acceptable(now, m)
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

// acceptable reports whether m is newer than the last accepted message. Only a
// greeting, which grants nothing, starts a term; a grant must name this run of
// the upstream and a reading that this run has given out. A message that renews
// the shards of an earlier one is refused if others were stated since.
func (g *Guard) acceptable(now clock.Time, m *schema.GrantRequest) bool {
	t := Term(m.GetTerm())
	if t < g.term || t == g.term && m.GetSequence() <= g.sequence {
		return false
	}
	if m.GetBootId() == "" {
		return len(m.GetShards()) == 0 && m.GetSameAs() == 0
	}
	if n := m.GetSameAs(); n != 0 && (n != g.stated || len(m.GetShards()) > 0) {
		return false
	}
	return t == g.term && m.GetBootId() == g.bootID &&
		m.GetReadingUs() <= microseconds(now) &&
		m.GetTtlUs() >= 0 && m.GetTtlUs() <= MaxTTL.Microseconds()
}

func (g *Guard) apply(m *schema.GrantRequest) {
	g.term, g.sequence = Term(m.GetTerm()), m.GetSequence()
	if m.GetSameAs() == 0 {
		g.stated = g.sequence
		g.granted = make(map[shard.ID]shard.Epoch, len(m.GetShards()))
		for _, s := range m.GetShards() {
			g.granted[shard.ID(s.GetShard())] = shard.Epoch(s.GetEpoch())
		}
	}
	d := time.Duration(m.GetTtlUs()) * time.Microsecond
	g.expiry = clock.Time(m.GetReadingUs() * int64(time.Microsecond)).Add(d)
}

// Check reports whether the upstream may execute a request with the token t at
// now. It returns ErrStale, ErrLapsed or ErrNotGranted; such a request must not
// run. An upstream whose requests take long calls Check again immediately
// before the effect of the request, because the shard may have moved meanwhile.
func (g *Guard) Check(now clock.Time, t Token) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.Term < g.term {
		return ErrStale
	}
	if t.Term > g.term {
		return ErrNotGranted
	}
	e, ok := g.granted[t.Shard]
	switch {
	case !ok || t.Epoch > e:
		return ErrNotGranted
	case t.Epoch < e:
		return ErrStale
	case !now.Before(g.expiry):
		return ErrLapsed
	}
	return nil
}

// SetDraining sets whether replies ask the home to move all shards away.
func (g *Guard) SetDraining(b bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = b
}

// SetLoad sets the load that replies report, 0 to 1.
func (g *Guard) SetLoad(f float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.load = f
}

// microseconds rounds down, so that a grant never expires later than the
// nanosecond reading would have it.
func microseconds(t clock.Time) int64 { return int64(t) / int64(time.Microsecond) }
