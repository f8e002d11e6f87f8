package shard

import (
	"time"

	"dandelionrock.example/dandelionrock/clock"
)

// Time is a reading of a monotonic clock, in nanoseconds since any fixed
// origin.
type Time = clock.Time

// Balancer adds time to Rebalance, so that neither a short peak nor loads
// measured before a move cause moves. It is not safe for concurrent use.
type Balancer struct {
	Policy Policy
	// Settle is the time for which the imbalance must last before a plan is
	// proposed, and the time after a plan in which the loads are measured
	// anew; 0 means 3 s.
	Settle time.Duration
	// Cooldown is the time for which a shard that was proposed to move is not
	// proposed again; 0 means 30 s.
	Cooldown time.Duration

	since    Time
	pending  bool
	proposed map[ID]Time
}

// Propose returns the plan for now, which may be empty. It is called at regular
// intervals, such as once a second.
func (b *Balancer) Propose(now Time, s State) Plan {
	s.Frozen = b.frozen(now, s.Frozen)
	p := s.Rebalance(b.Policy)
	empty := len(p.Splits)+len(p.Moves)+len(p.Merges) == 0
	if empty || !b.pending {
		b.pending, b.since = !empty, now
	}
	if empty || now.Sub(b.since) < orElse(b.Settle, 3*time.Second) {
		p.Splits, p.Moves, p.Merges = nil, nil, nil
		return p
	}
	b.pending = false
	for _, m := range p.Moves {
		b.proposed[m.Shard] = now
	}
	return p
}

// frozen returns the shards that may not move, without those whose time is up.
func (b *Balancer) frozen(now Time, more map[ID]bool) map[ID]bool {
	if b.proposed == nil {
		b.proposed = map[ID]Time{}
	}
	r := map[ID]bool{}
	for i := range more {
		r[i] = more[i]
	}
	for i, t := range b.proposed {
		if now.Sub(t) >= orElse(b.Cooldown, 30*time.Second) {
			delete(b.proposed, i)
			continue
		}
		r[i] = true
	}
	return r
}

func orElse(d, or time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return or
}
