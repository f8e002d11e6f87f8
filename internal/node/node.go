// Package node composes an instance: it keeps the directory up to date, watches
// the other instances, takes over homes, plans the moves of shards, and serves
// callers, operators and other instances.
package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/config"
	"dandelionrock.example/dandelionrock/event"
	"dandelionrock.example/dandelionrock/internal/edge"
	"dandelionrock.example/dandelionrock/internal/home"
	"dandelionrock.example/dandelionrock/internal/relay"
	"dandelionrock.example/dandelionrock/peer"
	"dandelionrock.example/dandelionrock/route"
	"dandelionrock.example/dandelionrock/shard"
	"dandelionrock.example/dandelionrock/table"
)

// Options holds the settings and dependencies of an instance.
type Options struct {
	Settings *config.Settings
	Store    table.Store
	Log      zerolog.Logger
	// Scope receives the metrics, which Metrics serves.
	Scope   tally.Scope
	Metrics http.Handler
	// Dial opens connections to instances and upstreams; a TCP dial if nil.
	Dial func(c context.Context, address string) (net.Conn, error)
}

// Node is one instance. Use New.
type Node struct {
	s     *config.Settings
	self  peer.Instance
	store table.Store
	log   zerolog.Logger
	scope tally.Scope
	// dial is nil for a TCP dial.
	dial func(c context.Context, address string) (net.Conn, error)
	// metrics serves the path /metrics.
	metrics http.Handler

	clock  *event.Clock
	events *event.Log
	dir    *route.Directory
	peers  *peer.Detector
	pool   *relay.Pool
	rpc    *relay.Server

	// ctx is cancelled when the instance has left. It ends the goroutines, which
	// work counts.
	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup

	// leaving is set once and never cleared.
	leaving atomic.Bool
	// directoryLoaded is whether the directory was read from the store or a peer.
	directoryLoaded atomic.Bool
	// listedAt is the boot clock's time when the list of instances was first read,
	// 0 before.
	listedAt atomic.Int64

	meter      *meter
	entry      *edge.Entry
	edge       *edge.Handler
	calls      forwardedCalls
	takeovers  takeoverTracker
	heartbeats heartbeatStates
	// balancers is keyed by "organisation/service". Only the goroutine that runs
	// balanceServices uses it.
	balancers map[string]*shard.Balancer

	mu sync.Mutex
	// homes holds the running homes by the key of the home row. The map is
	// copied on write under mu, so that requests read it without the lock.
	homes atomic.Pointer[map[table.Key]*home.Home]
}

// eventCapacity is the number of events kept for the timeline, about 2 MB.
const eventCapacity = 8192

// New returns an instance that hasn't started. Use Run to start it.
func New(o Options) *Node {
	x, f := context.WithCancel(context.Background())
	k := event.NewClock(time.Now)
	n := &Node{
		s: o.Settings,
		self: peer.Instance{
			ID:            o.Settings.InstanceID,
			Incarnation:   uuid.NewString(),
			Region:        o.Settings.Region,
			FailureDomain: o.Settings.FailureDomain,
			RPCAddress:    o.Settings.RPCAddress,
			HTTPAddress:   o.Settings.HTTPAddress,
		},
		store:     o.Store,
		log:       o.Log,
		scope:     o.Scope,
		metrics:   o.Metrics,
		dial:      o.Dial,
		clock:     k,
		events:    event.New(o.Settings.InstanceID, eventCapacity, k),
		dir:       route.New(config.Parse),
		ctx:       x,
		balancers: make(map[string]*shard.Balancer),
		cancel:    f,
	}
	n.peers = peer.New(peer.Config{Self: n.self, SuspectAfter: n.s.SuspectAfter})
	n.pool = relay.NewPool(relay.Options{Dial: n.dialer(), Connections: connections})
	n.rpc = relay.NewServer(relay.Options{})
	n.meter = newMeter(o.Scope)
	n.takeovers.init()
	n.homes.Store(&map[table.Key]*home.Home{})
	n.recordAddress(n.self)
	return n
}

// connections is the number of connections to each other instance. Several
// connections let several cores encode and decode in parallel.
const connections = 4

// recordAddress records the addresses of an instance in the directory.
func (n *Node) recordAddress(i peer.Instance) {
	if i.RPCAddress == "" {
		return
	}
	l := route.Instance{ID: i.ID, Incarnation: i.Incarnation, RPCAddress: i.RPCAddress, HTTPAddress: i.HTTPAddress}
	if o, ok := n.dir.Instance(i.ID); !ok || o != l {
		n.dir.SetInstance(l)
	}
}

// every starts a goroutine that calls f at the interval d, or later if a call
// takes longer, until the instance ends.
func (n *Node) every(d time.Duration, f func()) {
	n.work.Go(func() {
		t := time.NewTicker(d)
		defer t.Stop()
		for {
			select {
			case <-n.ctx.Done():
				return
			case <-t.C:
				f()
			}
		}
	})
}

// home returns the running home with the given row key, or nil.
func (n *Node) home(k table.Key) *home.Home { return (*n.homes.Load())[k] }

// setHome sets the running home of a row key, or removes it if h is nil.
func (n *Node) setHome(k table.Key, h *home.Home) {
	n.mu.Lock()
	defer n.mu.Unlock()
	old := *n.homes.Load()
	m := make(map[table.Key]*home.Home, len(old)+1)
	for x, y := range old {
		m[x] = y
	}
	if h == nil {
		delete(m, k)
	} else {
		m[k] = h
	}
	n.homes.Store(&m)
}

// now reads the boot clock.
func now() clock.Time { return clock.Boot() }

// placeOf returns the region and failure domain of an upstream.
func placeOf(u *config.Upstream) peer.Place {
	return peer.Place{Region: u.Region, FailureDomain: u.FailureDomain}
}
