package group

import (
	"context"

	"dandelionrock.example/dandelionrock/internal/gate/sender"
	"dandelionrock.example/dandelionrock/internal/gate/warden"
	"dandelionrock.example/dandelionrock/internal/plan/hazard"
	"dandelionrock.example/dandelionrock/platform"
)

// crash is a run of a target that has closed a connection under a request.
type crash struct {
	// done is closed when the other fields are known.
	done    chan struct{}
	crashed bool
	// accused holds the identities of the requests that are taken for the cause.
	accused map[string]bool
}

// hasCrashed reports whether a run of a target that has closed a connection under a
// request has crashed: it refuses connections, and nothing says that it leaves. The first
// call for a run reports the requests that were running there. accused is set if the
// request with an identity is taken for the cause.
func (h *Homes) hasCrashed(g *home, t *platform.Target, run hazard.Run, identity []byte) (crashed, accused bool) {
	g.mu.Lock()
	if k := g.crashes[run]; k != nil {
		g.mu.Unlock()
		<-k.done
		return k.crashed, k.accused[string(identity)]
	}
	k := &crash{done: make(chan struct{})}
	g.crashes[run] = k
	var victims []warden.Victim
	for _, e := range g.running {
		if e.run == run {
			victims = append(victims, e.Victim)
		}
	}
	g.mu.Unlock()
	defer close(k.done)
	k.crashed = h.connections.Refuses(context.Background(), sender.Target{ID: t.ID, Born: t.Born, Address: t.Address}) && !h.isLeaving(run)
	if !k.crashed {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.crashes, run)
		return false, false
	}
	h.log.Info().Str("event", "target-crashed").Str("target", t.ID).Str("service", t.Service).Int("requests", len(victims)).Msg("")
	k.accused = h.warden.Crashed(run, victims)
	return true, k.accused[string(identity)]
}

// isLeaving reports whether a run of a target leaves in order, or has ended.
func (h *Homes) isLeaving(run hazard.Run) bool {
	t := h.views.View().Targets[run.Target]
	return t == nil || t.Born != run.Born || t.Leaving
}
