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

// handoverTimeout bounds one handover call. A successor that doesn't answer is
// passed over.
const handoverTimeout = 3 * time.Second

// leave makes the instance not ready and hands its homes over.
func (n *Node) leave(c context.Context) {
	n.leaving.Store(true)
	n.peers.Leave(now())
	n.events.Record("instance-leaving", n.self.ID)
	n.beat()
	var w sync.WaitGroup
	for k, h := range *n.homes.Load() {
		w.Go(func() { n.handOver(c, k, h) })
	}
	w.Wait()
}

// handOver ends the term of a home and asks a successor to take it over. The
// home's shards aren't served from the end of the term until then.
func (n *Node) handOver(c context.Context, k table.Key, h *home.Home) {
	defer func() { _ = h.Close() }()
	defer n.setHome(k, nil)
	if err := h.Retire(c); err != nil {
		// The successor has to wait as after a loss.
		n.events.Record("handover-failed", string(k), event.Err(err))
		return
	}
	x, err := route.ParseKey(k)
	if err != nil {
		return
	}
	o := n.dir.Organisation(x.Organisation)
	if o == nil || o.Service(x.Service) == nil || o.Service(x.Service).Upstream(x.Upstream) == nil {
		return
	}
	u := o.Service(x.Service).Upstream(x.Upstream)
	for _, p := range peer.Successor(string(k), place(u), n.peers.Live()) {
		y, f := context.WithTimeout(c, handoverTimeout)
		err = n.pool.Call(y, p.RPCAddress, "Home.Handover", &schema.HandoverRequest{Key: string(k), Version: uint64(h.Version())}, &schema.Empty{})
		f()
		if err == nil {
			n.events.Record("home-handed-over", string(k), event.String("successor", p.ID))
			return
		}
	}
	n.events.Record("handover-failed", string(k), event.Err(err))
}

// takeHandover takes over a home whose holder acts no more in the given version
// of the home row.
func (n *Node) takeHandover(k table.Key, v table.Version) error {
	x, err := route.ParseKey(k)
	if err != nil {
		return err
	}
	if n.leaving.Load() {
		return errors.New("instance is leaving")
	}
	o := n.dir.Organisation(x.Organisation)
	if o == nil || o.Service(x.Service) == nil || o.Service(x.Service).Upstream(x.Upstream) == nil {
		return errors.Newf("upstream of %s is not configured", k)
	}
	s := o.Service(x.Service)
	t := candidate{key: k, org: o, service: s, upstream: s.Upstream(x.Upstream), stopped: true}
	t.holder, t.ok = n.dir.Home(x.Organisation, x.Service, x.Upstream)
	if t.holder.Version != v {
		return errors.Newf("row %s has version %d, not %d", k, t.holder.Version, v)
	}
	if !n.takes.begin(k) {
		return errors.Newf("%s can't be taken over now", k)
	}
	defer n.takes.end(k)
	n.take(t)
	if n.home(k) == nil {
		return errors.Newf("takeover of %s failed", k)
	}
	return nil
}
