package pool

import (
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/plan/quota"
)

// Reasons for which a target gets fewer requests than it has slots, beside ReasonLimited.
const (
	// ReasonBarred states that the target asked for none for a time, and ReasonFailing that
	// it failed or rejected requests lately.
	ReasonBarred  = "asked-to-wait"
	ReasonFailing = "failing"
	// ReasonWarming states that the target is cold, and ReasonSlow that it is in a slow
	// spell whose end is waited for.
	ReasonWarming = "cold"
	ReasonSlow    = "slow-spell"
)

// Reduced is a target that gets fewer requests now than it has slots.
type Reduced struct {
	Target         string
	Slots, Running int
	// Mean is the mean service time; 0 if it is not known.
	Mean time.Duration
	// Rate limits the requests, unless it is quota.Unlimited.
	Rate   quota.Rate
	Reason string
}

// Reduced returns the targets that get fewer requests now than they have slots.
func (p *Pool) Reduced(now clock.Time) []Reduced {
	var out []Reduced
	for _, m := range p.members {
		r := Reduced{Target: m.ID, Slots: m.Slots, Running: m.running, Mean: m.mean, Rate: m.quota.Rate()}
		if m.finder.Known() {
			r.Mean = m.finder.Mean()
		}
		cold := m.isCold(now) && m.warmup.Rate() != quota.Unlimited
		if cold {
			r.Rate = min(r.Rate, m.warmup.Rate())
		}
		switch {
		case now < m.barredUntil:
			r.Reason = ReasonBarred
		case now < m.pausedUntil:
			r.Reason = ReasonFailing
		case cold:
			r.Reason = ReasonWarming
		case r.Rate != quota.Unlimited:
			r.Reason = ReasonLimited
		case m.finder.Hold(now):
			r.Reason = ReasonSlow
		default:
			continue
		}
		out = append(out, r)
	}
	return out
}
