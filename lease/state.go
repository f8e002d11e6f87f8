package lease

import (
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/fence"
)

// State describes a Home in status reports.
type State struct {
	Term fence.Term `json:"term"`
	// BootID identifies the run of the upstream that gave the latest answer;
	// empty if there is none.
	BootID       string `json:"boot-id"`
	Sequence     uint64 `json:"sequence"`
	Acknowledged uint64 `json:"acknowledged"`
	Adopted      bool   `json:"adopted"`
	// ConfirmedFor is how long the home may act without another confirming
	// read; if it is not positive, the home may not act.
	ConfirmedFor time.Duration `json:"confirmed-for-ns"`
	NeedsConfirm bool          `json:"needs-confirm"`
	Superseded   bool          `json:"superseded"`
	Retired      bool          `json:"retired"`
	// PredecessorFor is how long the predecessor may still act.
	PredecessorFor time.Duration `json:"predecessor-for-ns"`
	// SilentFor is the time since the latest answer with a new clock reading,
	// or -1 if there is none.
	SilentFor time.Duration `json:"silent-for-ns"`
	Draining  bool          `json:"draining"`
	Load      float64       `json:"load"`
	Owned     int           `json:"owned"`
	Granted   int           `json:"granted"`
	Releasing int           `json:"releasing"`
}

// State returns the state of the home at now.
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
		PredecessorFor: max(0, h.predecessorEnd().Sub(now)),
		SilentFor:      -1,
		Draining:       h.draining,
		Load:           h.load,
	}
	if t, ok := h.LastResponse(); ok {
		r.SilentFor = now.Sub(t)
	}
	for _, e := range h.shards {
		r.Owned += boolToInt(e.owned)
		r.Granted += boolToInt(h.granted(now, e))
		r.Releasing += boolToInt(e.releasing)
	}
	return r
}

// boolToInt returns 1 for true and 0 for false.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// LastResponse returns when the latest answer with a new clock reading arrived,
// or false if none did. An answer that was delayed or duplicated does not count,
// because it does not show that the upstream is running.
func (h *Home) LastResponse() (clock.Time, bool) { return h.readingAt, h.bootID != "" }

// Draining reports whether the upstream asked in its latest answer for its
// shards to be moved to other upstreams.
func (h *Home) Draining() bool { return h.draining }

// Superseded reports whether a higher term is known, which ends the authority of
// the home for good.
func (h *Home) Superseded() bool { return h.superseded }

// Term returns the term of the home.
func (h *Home) Term() fence.Term { return h.c.Term }
