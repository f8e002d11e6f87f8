package node

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionrock.example/dandelionrock/event"
	"dandelionrock.example/dandelionrock/internal/home"
	"dandelionrock.example/dandelionrock/peer"
	"dandelionrock.example/dandelionrock/route"
	"dandelionrock.example/dandelionrock/schema"
	"dandelionrock.example/dandelionrock/table"
)

// handoverTimeout bounds one handover call. If a successor doesn't answer in
// time, the next one is tried.
const handoverTimeout = 3 * time.Second

// leave makes the instance not ready, tells the other instances and hands the
// homes over.
func (n *Node) leave(c context.Context) {
	n.leaving.Store(true)
	n.peers.Leave(now())
	n.events.Record("instance-leaving", n.self.ID)
	n.sendHeartbeats()
	var w sync.WaitGroup
	for k, h := range *n.homes.Load() {
		w.Go(func() { n.handOver(c, k, h) })
	}
	w.Wait()
}

// handOver ends the term of a home and asks a successor to take it over. The
// home's shards aren't served between the end of the term and the takeover.
func (n *Node) handOver(c context.Context, k table.Key, h *home.Home) {
	defer func() { _ = h.Close() }()
	defer n.setHome(k, nil)
	if err := h.Retire(c); err != nil {
		// The term may still be in use, so that a successor has to wait as it does
		// after a crash of this instance.
		n.events.Record("handover-failed", string(k), event.Err(err))
		return
	}
	x, err := route.ParseKey(k)
	if err != nil {
		return
	}
	_, u := n.configured(x)
	if u == nil {
		return
	}
	for _, p := range peer.Successor(string(k), placeOf(u), n.peers.Live()) {
		y, f := context.WithTimeout(c, handoverTimeout)
		err = n.callHandover(y, p.ID, k, h.Version())
		f()
		if err == nil {
			n.events.Record("home-handed-over", string(k), event.String("successor", p.ID))
			return
		}
	}
	n.events.Record("handover-failed", string(k), event.Err(err))
}

func handoverRequest(k table.Key, v table.Version) *schema.HandoverRequest {
	return &schema.HandoverRequest{Key: string(k), Version: uint64(v)}
}

// acceptHandover takes over a home whose holder has ended the term of the given
// version of the home row. It returns an error if this instance is leaving, the
// upstream isn't configured, the row has another version or the takeover fails.
func (n *Node) acceptHandover(k table.Key, v table.Version) error {
	x, err := route.ParseKey(k)
	if err != nil {
		return err
	}
	if n.leaving.Load() {
		return errors.New("instance is leaving")
	}
	s, u := n.configured(x)
	if u == nil {
		return errors.Newf("upstream of %s is not configured", k)
	}
	t := candidate{key: k, organisation: x.Organisation, service: s, upstream: u, holderStopped: true}
	t.holder, t.ok = n.dir.Home(x.Organisation, x.Service, x.Upstream)
	if t.holder.Version != v {
		return errors.Newf("row %s has version %d, not %d", k, t.holder.Version, v)
	}
	c, f := context.WithTimeout(n.ctx, handoverTimeout)
	defer f()
	if err := n.takeovers.await(c, k); err != nil {
		return errors.Wrapf(err, "takeover of %s", k)
	}
	defer n.takeovers.end(k)
	n.takeOver(t)
	if n.home(k) == nil {
		return errors.Newf("takeover of %s failed", k)
	}
	return nil
}
