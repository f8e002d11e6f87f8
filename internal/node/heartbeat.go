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

// tickInterval is how often the detector is ticked. It must be well below half
// of the suspicion time, because the detector takes a longer gap between ticks
// for a pause of this process.
const tickInterval = 25 * time.Millisecond

// mismatchesBeforePull is the number of consecutive heartbeats with a different
// directory digest after which an instance pulls. A single mismatch is normal
// while an announcement is in flight.
const mismatchesBeforePull = 2

// heartbeatStates holds the state of the heartbeat exchange with each other
// instance, apart from liveness, which the detector tracks.
type heartbeatStates struct {
	mu sync.Mutex
	// byID is keyed by instance id.
	byID map[string]*heartbeatState
	// roundTrips holds the duration of the last heartbeat call with each instance
	// in nanoseconds: an *atomic.Int64 by instance id, which requests read without
	// the lock.
	roundTrips sync.Map
}

// setRoundTrip records the duration of a heartbeat call.
func (v *heartbeatStates) setRoundTrip(id string, d time.Duration) {
	x, _ := v.roundTrips.LoadOrStore(id, &atomic.Int64{})
	x.(*atomic.Int64).Store(int64(d))
}

// roundTrip returns the duration of the last heartbeat call with an instance, 0
// if there was none.
func (v *heartbeatStates) roundTrip(id string) time.Duration {
	if x, ok := v.roundTrips.Load(id); ok {
		return time.Duration(x.(*atomic.Int64).Load())
	}
	return 0
}

// heartbeatState is the state of the heartbeat exchange with one instance.
type heartbeatState struct {
	// unavailable holds the home keys of upstreams that the instance reports as
	// unavailable.
	unavailable []string
	// digestMismatches counts consecutive heartbeats with a different digest.
	digestMismatches int
	// inFlight is whether a heartbeat call to the instance is in flight.
	inFlight bool
}

// get returns the state of an instance and creates it if necessary. The caller
// holds mu.
func (v *heartbeatStates) get(id string) *heartbeatState {
	if v.byID == nil {
		v.byID = make(map[string]*heartbeatState)
	}
	w := v.byID[id]
	if w == nil {
		w = &heartbeatState{}
		v.byID[id] = w
	}
	return w
}

// begin marks a heartbeat call to the instance as in flight. It returns false if
// there is one already.
func (v *heartbeatStates) begin(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	w := v.get(id)
	if w.inFlight {
		return false
	}
	w.inFlight = true
	return true
}

// end marks the heartbeat call to the instance as ended.
func (v *heartbeatStates) end(id string) {
	v.mu.Lock()
	v.get(id).inFlight = false
	v.mu.Unlock()
}

// record stores what a heartbeat says, and reports whether the directories have
// differed for enough heartbeats to pull.
func (v *heartbeatStates) record(m *schema.HeartbeatRequest, digest uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	w := v.get(m.GetInstanceId())
	w.unavailable = m.GetAvoid()
	if m.GetDigest() == digest {
		w.digestMismatches = 0
		return false
	}
	w.digestMismatches++
	return w.digestMismatches%mismatchesBeforePull == 0
}

// reportedUnavailable reports whether a live instance has listed the upstream
// with the home key k as unavailable.
func (v *heartbeatStates) reportedUnavailable(k table.Key, live []peer.Instance) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, p := range live {
		if w := v.byID[p.ID]; w != nil && slices.Contains(w.unavailable, string(k)) {
			return true
		}
	}
	return false
}

// heartbeat returns the heartbeat message of this instance.
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

// initiatesHeartbeat reports whether this instance sends heartbeat calls to p.
// The reply to a call carries the heartbeat of the called instance, so that one
// direction suffices: the instance with the lower id calls. The other one calls
// as well if it hasn't heard from p for 1.5 intervals.
func (n *Node) initiatesHeartbeat(p peer.Instance) bool {
	return n.self.ID < p.ID || now().Sub(p.LastHeartbeat) > n.s.HeartbeatInterval*3/2
}

// sendHeartbeats exchanges heartbeats with the other instances in the background.
func (n *Node) sendHeartbeats() {
	m := n.heartbeat()
	for _, p := range n.others() {
		if !n.initiatesHeartbeat(p) || !n.heartbeats.begin(p.ID) {
			continue
		}
		n.work.Go(func() {
			defer n.heartbeats.end(p.ID)
			c, f := context.WithTimeout(n.ctx, n.s.SuspectAfter)
			defer f()
			var r schema.HeartbeatReply
			x := proto.CloneOf(m)
			x.TripUs = n.heartbeats.roundTrip(p.ID).Microseconds()
			begin := time.Now()
			if n.pool.Call(c, p.RPCAddress, "Peer.Heartbeat", x, &r) == nil {
				n.heartbeats.setRoundTrip(p.ID, time.Since(begin))
				n.receiveHeartbeat(r.GetSelf())
			}
		})
	}
}

// receiveHeartbeat handles a heartbeat of another instance. It starts a pull if
// the directories have differed for several heartbeats.
func (n *Node) receiveHeartbeat(m *schema.HeartbeatRequest) {
	if m.GetInstanceId() == "" || m.GetInstanceId() == n.self.ID {
		return
	}
	n.clock.Observe(m.GetClock())
	n.peers.RecordHeartbeat(now(), m)
	if p, ok := n.peers.Instance(m.GetInstanceId()); ok {
		n.recordAddress(p)
	}
	if n.heartbeats.record(m, n.dir.Digest()) {
		n.work.Go(func() { n.pull(m.GetRpcAddress()) })
	}
}

// tick advances the detector and records the state changes of instances.
func (n *Node) tick() {
	for _, c := range n.peers.Tick(now()) {
		n.events.Record("instance-"+c.Instance.State.String(), c.Instance.ID,
			event.String("before", c.Before.String()), event.String("incarnation", c.Instance.Incarnation))
		n.log.Info().Str("peer", c.Instance.ID).Stringer("state", c.Instance.State).Msg("instance changed state")
		n.takeovers.wake()
	}
}

// dialer returns the dialer for other instances, or nil for a TCP dial. It adds
// the delays of the settings, which simulate distant regions.
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
// region and failure domain aren't known.
func (n *Node) delay(address string) time.Duration {
	for _, p := range n.peers.Instances() {
		if p.RPCAddress == address {
			return n.s.Delays[p.Region+"/"+p.FailureDomain]
		}
	}
	return 0
}

// Peer serves calls of other instances about membership and table rows.
type Peer struct{ n *Node }

// Heartbeat handles a heartbeat and returns that of this instance.
func (p *Peer) Heartbeat(m *schema.HeartbeatRequest, r *schema.HeartbeatReply) error {
	p.n.receiveHeartbeat(m)
	if d := m.GetTripUs(); d > 0 {
		// Normally only one of two instances calls and measures the round trip;
		// the other one learns it from the call.
		p.n.heartbeats.setRoundTrip(m.GetInstanceId(), time.Duration(d)*time.Microsecond)
	}
	r.Self = p.n.heartbeat()
	return nil
}

// Announce applies committed rows to the directory.
func (p *Peer) Announce(m *schema.AnnounceRequest, _ *schema.Empty) error {
	p.n.clock.Observe(m.GetClock())
	l := make([]table.Row, 0, len(m.GetRows()))
	for _, r := range m.GetRows() {
		l = append(l, route.Decode(r))
	}
	p.n.apply(l)
	return nil
}

// Pull returns the rows that are newer than the versions that the caller holds.
func (p *Peer) Pull(m *schema.PullRequest, r *schema.PullReply) error {
	for _, x := range p.n.dir.Newer(m.GetVersions()) {
		r.Rows = append(r.Rows, route.Encode(x))
	}
	return nil
}

// Probe returns whether this instance hears another one, and which incarnation.
func (p *Peer) Probe(m *schema.ProbeRequest, r *schema.ProbeReply) error {
	a := p.n.peers.Answer(m.GetInstanceId())
	r.Hears, r.Incarnation = a.Hears, a.Incarnation
	return nil
}
