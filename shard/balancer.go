package shard

import (
	"time"

	"dandelionrock.example/dandelionrock/clock"
)

// Time is a reading of a monotonic clock, in nanoseconds since any fixed
// origin.
type Time = clock.Time

// Balancer calls Rebalance over time and holds back its plans, so that neither a
// short peak nor loads measured before an earlier move cause moves. It is not
// safe for concurrent use.
type Balancer struct {
	Policy Policy
	// Settle is how long an imbalance must last before a plan is proposed. It
	// starts anew after each plan, so that the loads are measured again. 0
	// means 3 s.
	Settle time.Duration
	// Cooldown is how long a shard whose move was proposed is not proposed to
	// move again; 0 means 30 s.
	Cooldown time.Duration

	pendingSince Time
	pending      bool
	proposedAt   map[ID]Time
}

// Propose returns the plan for the state s at now, which may be empty. It must
// be called at regular intervals, such as once per second.
func (b *Balancer) Propose(now Time, s State) Plan {
	s.Frozen = b.frozen(now, s.Frozen)
	p := s.Rebalance(b.Policy)
	empty := len(p.Splits)+len(p.Moves)+len(p.Merges) == 0
	if empty || !b.pending {
		b.pending, b.pendingSince = !empty, now
	}
	if empty || now.Sub(b.pendingSince) < orDefault(b.Settle, 3*time.Second) {
		p.Splits, p.Moves, p.Merges = nil, nil, nil
		return p
	}
	b.pending = false
	for _, m := range p.Moves {
		b.proposedAt[m.Shard] = now
	}
	return p
}

// frozen returns the shards that may not move: those in extra and those whose
// cooldown has not ended. It deletes the others from proposedAt.
func (b *Balancer) frozen(now Time, extra map[ID]bool) map[ID]bool {
	if b.proposedAt == nil {
		b.proposedAt = map[ID]Time{}
	}
	r := map[ID]bool{}
	for i := range extra {
		r[i] = extra[i]
	}
	for i, t := range b.proposedAt {
		if now.Sub(t) >= orDefault(b.Cooldown, 30*time.Second) {
			delete(b.proposedAt, i)
			continue
		}
		r[i] = true
	}
	return r
}

// orDefault returns d, or def if d is not positive.
func orDefault(d, def time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return def
}
