package lease

import (
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/fence"
)

// State is a report on a Home for status pages.
type State struct {
	Term fence.Term `json:"term"`
	// BootID is that of the upstream's latest answer; empty if there is none.
	BootID       string `json:"boot-id"`
	Sequence     uint64 `json:"sequence"`
	Acknowledged uint64 `json:"acknowledged"`
	Adopted      bool   `json:"adopted"`
	// ConfirmedFor is for how long the home may still act without another
	// confirming read; not positive if it may not act.
	ConfirmedFor time.Duration `json:"confirmed-for-ns"`
	NeedsConfirm bool          `json:"needs-confirm"`
	Superseded   bool          `json:"superseded"`
	Retired      bool          `json:"retired"`
	// PredecessorFor is for how long the predecessor may still act.
	PredecessorFor time.Duration `json:"predecessor-for-ns"`
	// SilentFor is the time since the latest answer, or -1 if there is none.
	SilentFor time.Duration `json:"silent-for-ns"`
	Draining  bool          `json:"draining"`
	Load      float64       `json:"load"`
	Owned     int           `json:"owned"`
	Granted   int           `json:"granted"`
	Releasing int           `json:"releasing"`
}

// State returns a report as of now.
func (h *Home) State(now clock.Time) State {
	r := State{
		Term:           h.c.Term,
		BootID:         h.bootID,
		Sequence:       h.sequence,
		Acknowledged:   h.acked,
		Adopted:        h.adopted,
		ConfirmedFor:   h.confirmedFor(now),
		NeedsConfirm:   h.NeedsConfirm(),
		Superseded:     h.superseded,
		Retired:        h.retired,
		PredecessorFor: max(0, h.clearAt().Sub(now)),
		SilentFor:      -1,
		Draining:       h.draining,
		Load:           h.load,
	}
	if t, ok := h.LastResponse(); ok {
		r.SilentFor = now.Sub(t)
	}
	for _, e := range h.shards {
		r.Owned += count(e.owned)
		r.Granted += count(h.granted(now, e))
		r.Releasing += count(e.releasing)
	}
	return r
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// LastResponse returns when the latest answer with a new clock reading arrived,
// or false if none did. An answer that was delayed or duplicated is not a sign
// of life.
func (h *Home) LastResponse() (clock.Time, bool) { return h.readAt, h.bootID != "" }

// Draining reports whether the upstream's latest answer asks for its shards to
// be moved away.
func (h *Home) Draining() bool { return h.draining }

// Superseded reports whether a higher term is known. The home can't act again.
func (h *Home) Superseded() bool { return h.superseded }

// Term returns the term of the home.
func (h *Home) Term() fence.Term { return h.c.Term }
