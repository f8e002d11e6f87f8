package node

import (
	"context"
	"time"

	"dandelionrock.example/dandelionrock/config"
	"dandelionrock.example/dandelionrock/event"
	"dandelionrock.example/dandelionrock/internal/home"
	"dandelionrock.example/dandelionrock/peer"
	"dandelionrock.example/dandelionrock/route"
	"dandelionrock.example/dandelionrock/schema"
	"dandelionrock.example/dandelionrock/table"
)

const (
	// keepInterval is how often an instance compares its homes with the
	// configuration and with the choice among the live instances.
	keepInterval = 500 * time.Millisecond
	// stableFor is for how long an instance must have been live before homes
	// move to it, so that one that comes and goes causes no handovers.
	stableFor = 5 * time.Second
	// maxHandovers bounds the handovers in one interval that only balance the
	// homes. Each makes the shards of an upstream wait for a moment.
	maxHandovers = 2
	// retireTimeout bounds the wait for requests in flight in such a handover.
	retireTimeout = 5 * time.Second
)

// homeParams are the parts of a configuration that a home can't change while it
// runs.
type homeParams struct {
	upstream                        config.Upstream
	hold, ttl, maxTimeout, evacuate time.Duration
	maxAnswer                       config.Bytes
	shards                          uint32
}

func paramsOf(s *config.Service, u *config.Upstream) homeParams {
	return homeParams{
		upstream: *u, hold: s.HoldTime, ttl: s.GrantTTL, maxTimeout: s.MaxTimeout,
		evacuate: s.EvacuateAfter, maxAnswer: s.MaxAnswer, shards: s.ShardCount,
	}
}

// keep restarts homes whose configuration has changed, evacuates upstreams that
// were removed, and hands homes over to the instances that should have them.
func (n *Node) keep() {
	if !n.mayTake() {
		return
	}
	live, moved := n.peers.Live(), 0
	for k, h := range *n.homes.Load() {
		x, err := route.ParseKey(k)
		if err != nil || h.Superseded() {
			continue
		}
		s, u := n.configured(x)
		switch {
		case s == nil || u == nil:
			n.dissolve(k, h)
		case paramsOf(s, u) != paramsOf(h.Configuration()):
			n.handOverTo(k, h, n.self.ID, "configuration-changed")
		case moved < maxHandovers && !h.Moving():
			if p, ok := n.better(k, u, live); ok {
				moved++
				n.handOverTo(k, h, p, "balance")
			}
		}
	}
}

// configured returns the configuration of a home's service and upstream, nil if
// there is none.
func (n *Node) configured(x route.ParsedKey) (*config.Service, *config.Upstream) {
	o := n.dir.Organisation(x.Organisation)
	if o == nil {
		return nil, nil
	}
	s := o.Service(x.Service)
	if s == nil {
		return nil, nil
	}
	return s, s.Upstream(x.Upstream)
}

// better returns the instance that should have a home instead of this one.
func (n *Node) better(k table.Key, u *config.Upstream, live []peer.Instance) (string, bool) {
	var l []peer.Instance
	for _, p := range live {
		if p.ID == n.self.ID || p.LiveFor(now()) >= stableFor {
			l = append(l, p)
		}
	}
	l = peer.Successor(string(k), place(u), l)
	if len(l) == 0 || l[0].ID == n.self.ID {
		return "", false
	}
	return l[0].ID, true
}

// dissolve evacuates an upstream that the configuration no longer lists and
// ends its home when nothing is left.
func (n *Node) dissolve(k table.Key, h *home.Home) {
	h.Evacuate()
	if s, _, _ := h.State(); s.Owned > 0 {
		return
	}
	if !n.takes.begin(k) {
		return
	}
	n.work.Go(func() {
		defer n.takes.end(k)
		c, f := context.WithTimeout(n.life, retireTimeout)
		defer f()
		_ = h.Retire(c)
		n.setHome(k, nil)
		n.events.Record("home-dissolved", string(k))
		_ = h.Close()
	})
}

// handOverTo ends the term of a home and starts a new one at the given
// instance.
func (n *Node) handOverTo(k table.Key, h *home.Home, instance, why string) {
	if !n.takes.begin(k) {
		return
	}
	n.work.Go(func() {
		c, f := context.WithTimeout(n.life, retireTimeout)
		defer f()
		err := h.Retire(c)
		if err == nil {
			// If the handover fails, this instance takes the home back at once.
			n.takes.stop(k, h.Version())
		}
		n.setHome(k, nil)
		if e := h.Close(); err == nil {
			err = e
		}
		n.takes.end(k)
		if err == nil {
			err = n.callHandover(c, instance, k, h.Version())
			n.scope.Counter("homes_handed_over").Inc(1)
		}
		n.events.Record("home-handed-over", string(k), event.String("successor", instance),
			event.String("why", why), event.Err(err))
	})
}

// callHandover asks an instance, which may be this one, to take a home over.
func (n *Node) callHandover(c context.Context, instance string, k table.Key, v table.Version) error {
	if instance == n.self.ID {
		return n.takeHandover(k, v)
	}
	i, ok := n.dir.Instance(instance)
	if !ok {
		return route.ErrNoHome
	}
	return n.pool.Call(c, i.RPCAddress, "Home.Handover", handoverRequest(k, v), &schema.Empty{})
}
