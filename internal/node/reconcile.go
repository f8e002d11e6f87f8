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
	// reconcileInterval is how often an instance compares its homes with the
	// configuration and with the placement on the live instances.
	reconcileInterval = 500 * time.Millisecond
	// minLiveTime is how long an instance must have been live before homes move
	// to it, so that an instance that flaps causes no handovers.
	minLiveTime = 5 * time.Second
	// maxHandovers bounds the handovers per interval that only balance the homes,
	// because requests to the upstream's shards wait during a handover.
	maxHandovers = 2
	// retireTimeout bounds the wait for requests in flight when a term ends.
	retireTimeout = 5 * time.Second
)

// homeParams holds the settings of a home that can't change while it runs. A
// change requires a new term.
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

// reconcileHomes starts a new term for homes whose settings have changed,
// evacuates upstreams that the configuration no longer lists, and hands homes
// over to the instances that are preferred for them.
func (n *Node) reconcileHomes() {
	if !n.mayCoordinate() {
		return
	}
	live, handovers := n.peers.Live(), 0
	for k, h := range *n.homes.Load() {
		x, err := route.ParseKey(k)
		if err != nil || h.Superseded() {
			continue
		}
		s, u := n.configured(x)
		switch {
		case s == nil || u == nil:
			n.evacuateRemoved(k, h)
		case paramsOf(s, u) != paramsOf(h.Configuration()):
			n.handOverTo(k, h, n.self.ID, "configuration-changed")
		case handovers < maxHandovers && !h.Moving():
			if p, ok := n.preferredInstance(k, u, live); ok {
				handovers++
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

// preferredInstance returns the first successor for a home among the live
// instances, and false if it is this instance or there is none.
func (n *Node) preferredInstance(k table.Key, u *config.Upstream, live []peer.Instance) (string, bool) {
	var l []peer.Instance
	for _, p := range live {
		if p.ID == n.self.ID || p.LiveFor(now()) >= minLiveTime {
			l = append(l, p)
		}
	}
	l = peer.Successor(string(k), placeOf(u), l)
	if len(l) == 0 || l[0].ID == n.self.ID {
		return "", false
	}
	return l[0].ID, true
}

// evacuateRemoved evacuates an upstream that the configuration no longer lists
// and ends its home when it owns no shards.
func (n *Node) evacuateRemoved(k table.Key, h *home.Home) {
	h.Evacuate()
	if s, _, _ := h.State(); s.Owned > 0 {
		return
	}
	if !n.takeovers.begin(k) {
		return
	}
	n.work.Go(func() {
		defer n.takeovers.end(k)
		c, f := context.WithTimeout(n.ctx, retireTimeout)
		defer f()
		_ = h.Retire(c)
		n.setHome(k, nil)
		n.events.Record("home-dissolved", string(k))
		_ = h.Close()
	})
}

// handOverTo ends the term of a home and starts a new one at the given
// instance.
func (n *Node) handOverTo(k table.Key, h *home.Home, instance, reason string) {
	if !n.takeovers.begin(k) {
		return
	}
	n.work.Go(func() {
		c, f := context.WithTimeout(n.ctx, retireTimeout)
		defer f()
		err := h.Retire(c)
		if err == nil {
			// The term has ended, so that this instance need not wait before it takes
			// the home back if the handover fails.
			n.takeovers.markEnded(k, h.Version())
		}
		n.setHome(k, nil)
		if e := h.Close(); err == nil {
			err = e
		}
		n.takeovers.end(k)
		if err == nil {
			err = n.callHandover(c, instance, k, h.Version())
			n.scope.Counter("homes_handed_over").Inc(1)
		}
		n.events.Record("home-handed-over", string(k), event.String("successor", instance),
			event.String("why", reason), event.Err(err))
	})
}

// callHandover makes an instance, which may be this one, take over the home whose
// row has version v.
func (n *Node) callHandover(c context.Context, instance string, k table.Key, v table.Version) error {
	if instance == n.self.ID {
		return n.acceptHandover(k, v)
	}
	i, ok := n.dir.Instance(instance)
	if !ok {
		return route.ErrNoHome
	}
	return n.pool.Call(c, i.RPCAddress, "Home.Handover", handoverRequest(k, v), &schema.Empty{})
}
