package node

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"dandelionrock.example/dandelionrock/event"
	"dandelionrock.example/dandelionrock/peer"
	"dandelionrock.example/dandelionrock/route"
	"dandelionrock.example/dandelionrock/schema"
	"dandelionrock.example/dandelionrock/table"
)

// tickInterval is how often the detector sees the clock. It must be well below
// half of the suspicion time, beyond which a gap counts as a pause.
const tickInterval = 25 * time.Millisecond

// differPulls is the number of heartbeats in a row with another directory
// digest after which an instance pulls. One is normal while an announcement is
// on its way.
const differPulls = 2

// views holds what the heartbeats of the other instances say beyond liveness.
type views struct {
	mu sync.Mutex
	// by is keyed by instance id.
	by map[string]*view
	// trips holds the duration of the last heartbeat call to each instance, an
	// *atomic.Int64 by instance id, read by requests without the lock.
	trips sync.Map
}

// timed records how long a heartbeat call took.
func (v *views) timed(id string, d time.Duration) {
	x, _ := v.trips.LoadOrStore(id, &atomic.Int64{})
	x.(*atomic.Int64).Store(int64(d))
}

// trip returns the duration of the last heartbeat call to an instance, 0 if
// there was none.
func (v *views) trip(id string) time.Duration {
	if x, ok := v.trips.Load(id); ok {
		return time.Duration(x.(*atomic.Int64).Load())
	}
	return 0
}

// view is the last heartbeat of one instance.
type view struct {
	avoid []string
	// differs counts the heartbeats in a row with another digest.
	differs int
	// calling is whether a heartbeat to the instance is under way.
	calling bool
}

// get returns the view of an instance. The caller holds mu.
func (v *views) get(id string) *view {
	if v.by == nil {
		v.by = make(map[string]*view)
	}
	w := v.by[id]
	if w == nil {
		w = &view{}
		v.by[id] = w
	}
	return w
}

// begin reports whether a heartbeat to the instance may start; there is one at
// a time.
func (v *views) begin(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	w := v.get(id)
	if w.calling {
		return false
	}
	w.calling = true
	return true
}

func (v *views) end(id string) {
	v.mu.Lock()
	v.get(id).calling = false
	v.mu.Unlock()
}

// note takes a heartbeat and reports whether the directories have differed for
// long enough to pull.
func (v *views) note(m *schema.HeartbeatRequest, digest uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	w := v.get(m.GetInstanceId())
	w.avoid = m.GetAvoid()
	if m.GetDigest() == digest {
		w.differs = 0
		return false
	}
	w.differs++
	return w.differs%differPulls == 0
}

// avoided reports whether a live instance calls the upstream unavailable.
func (v *views) avoided(k table.Key, live []peer.Instance) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, p := range live {
		if w := v.by[p.ID]; w != nil && slices.Contains(w.avoid, string(k)) {
			return true
		}
	}
	return false
}

// heartbeat describes this instance.
func (n *Node) heartbeat() *schema.HeartbeatRequest {
	m := &schema.HeartbeatRequest{
		InstanceId:     n.self.ID,
		Incarnation:    n.self.Incarnation,
		Region:         n.self.Region,
		FailureDomain:  n.self.FailureDomain,
		RpcAddress:     n.self.RPCAddress,
		HttpAddress:    n.self.HTTPAddress,
		Leaving:        n.leaving.Load(),
		Digest:         n.dir.Digest(),
		ConfigVersions: n.dir.ConfigVersions(),
		Clock:          n.clock.Now(),
	}
	for k, h := range *n.homes.Load() {
		if h.Unavailable() {
			m.Avoid = append(m.Avoid, string(k))
		}
	}
	return m
}

// callsFirst reports whether this instance has to call another one. The reply to
// a heartbeat is one, too, so that of two instances only one calls, unless it
// has not been heard for more than an interval.
func (n *Node) callsFirst(p peer.Instance) bool {
	return n.self.ID < p.ID || now().Sub(p.LastHeartbeat) > n.s.HeartbeatInterval*3/2
}

// beat exchanges heartbeats with the other instances.
func (n *Node) beat() {
	m := n.heartbeat()
	for _, p := range n.others() {
		if !n.callsFirst(p) || !n.views.begin(p.ID) {
			continue
		}
		n.work.Go(func() {
			defer n.views.end(p.ID)
			c, f := context.WithTimeout(n.life, n.s.SuspectAfter)
			defer f()
			var r schema.HeartbeatReply
			x := proto.CloneOf(m)
			x.TripUs = n.views.trip(p.ID).Microseconds()
			begin := time.Now()
			if n.pool.Call(c, p.RPCAddress, "Peer.Heartbeat", x, &r) == nil {
				n.views.timed(p.ID, time.Since(begin))
				n.heard(r.GetSelf())
			}
		})
	}
}

// heard takes a heartbeat of another instance.
func (n *Node) heard(m *schema.HeartbeatRequest) {
	if m.GetInstanceId() == "" || m.GetInstanceId() == n.self.ID {
		return
	}
	n.clock.Observe(m.GetClock())
	n.peers.RecordHeartbeat(now(), m)
	if p, ok := n.peers.Instance(m.GetInstanceId()); ok {
		n.learn(p)
	}
	if n.views.note(m, n.dir.Digest()) {
		n.work.Go(func() { n.pull(m.GetRpcAddress()) })
	}
}

// tick lets the detector see the clock and records the changes.
func (n *Node) tick() {
	for _, c := range n.peers.Tick(now()) {
		n.events.Record("instance-"+c.Instance.State.String(), c.Instance.ID,
			event.String("before", c.Before.String()), event.String("incarnation", c.Instance.Incarnation))
		n.log.Info().Str("peer", c.Instance.ID).Stringer("state", c.Instance.State).Msg("instance changed state")
		n.takes.wake()
	}
}

// dialer returns the dialer for other instances, or nil for a TCP dial. It adds
// the delays of the settings, for experiments.
func (n *Node) dialer() func(c context.Context, address string) (net.Conn, error) {
	if len(n.s.Delays) == 0 {
		return n.dial
	}
	dial := n.dial
	if dial == nil {
		var d net.Dialer
		dial = func(c context.Context, address string) (net.Conn, error) { return d.DialContext(c, "tcp", address) }
	}
	return func(c context.Context, address string) (net.Conn, error) {
		x, err := dial(c, address)
		if err != nil {
			return nil, err
		}
		return newDelayed(x, n.delay(address)), nil
	}
}

// delay returns the one-way delay to the instance at an address, 0 while its
// place is not known.
func (n *Node) delay(address string) time.Duration {
	for _, p := range n.peers.Instances() {
		if p.RPCAddress == address {
			return n.s.Delays[p.Region+"/"+p.FailureDomain]
		}
	}
	return 0
}

// Peer serves the calls of other instances that concern state.
type Peer struct{ n *Node }

// Heartbeat takes a heartbeat and returns that of this instance.
func (p *Peer) Heartbeat(m *schema.HeartbeatRequest, r *schema.HeartbeatReply) error {
	p.n.heard(m)
	if d := m.GetTripUs(); d > 0 {
		// Only one of two instances calls and measures.
		p.n.views.timed(m.GetInstanceId(), time.Duration(d)*time.Microsecond)
	}
	r.Self = p.n.heartbeat()
	return nil
}

// Announce takes committed rows.
func (p *Peer) Announce(m *schema.AnnounceRequest, _ *schema.Empty) error {
	p.n.clock.Observe(m.GetClock())
	l := make([]table.Row, 0, len(m.GetRows()))
	for _, r := range m.GetRows() {
		l = append(l, route.Decode(r))
	}
	p.n.apply(l)
	return nil
}

// Pull returns the rows that the caller lacks.
func (p *Peer) Pull(m *schema.PullRequest, r *schema.PullReply) error {
	for _, x := range p.n.dir.Newer(m.GetVersions()) {
		r.Rows = append(r.Rows, route.Encode(x))
	}
	return nil
}

// Probe tells whether this instance hears another one.
func (p *Peer) Probe(m *schema.ProbeRequest, r *schema.ProbeReply) error {
	a := p.n.peers.Answer(m.GetInstanceId())
	r.Hears, r.Incarnation = a.Hears, a.Incarnation
	return nil
}
