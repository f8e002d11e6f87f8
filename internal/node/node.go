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

// Options holds what an instance is made of.
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
	// metrics serves the metrics page.
	metrics http.Handler

	clock  *event.Clock
	events *event.Log
	dir    *route.Directory
	peers  *peer.Detector
	pool   *relay.Pool
	rpc    *relay.Server

	// life ends when the instance has left; its goroutines end with it.
	life context.Context
	stop context.CancelFunc
	work sync.WaitGroup

	// leaving is set once and never cleared.
	leaving atomic.Bool
	// polled is whether the directory was read from the store or from a peer.
	polled atomic.Bool
	// listed is when the first list of instances was read, 0 before.
	listed atomic.Int64

	meter *meter
	entry *edge.Entry
	edge  *edge.Handler
	calls calls
	takes takes
	views views
	// balancers belongs to the goroutine that balances; by "organisation/service".
	balancers map[string]*shard.Balancer

	mu sync.Mutex
	// homes holds the homes that run, by the key of the home row. The map is
	// replaced, never changed, so that requests read it without the lock.
	homes atomic.Pointer[map[table.Key]*home.Home]
}

// eventCapacity is the number of events kept for the timeline; about 2 MB.
const eventCapacity = 8192

// New returns an instance that has not started.
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
		life:      x,
		balancers: make(map[string]*shard.Balancer),
		stop:      f,
	}
	n.peers = peer.New(peer.Config{Self: n.self, SuspectAfter: n.s.SuspectAfter})
	n.pool = relay.NewPool(relay.Options{Dial: n.dialer(), Connections: connections})
	n.rpc = relay.NewServer(relay.Options{})
	n.meter = newMeter(o.Scope)
	n.takes.init()
	n.homes.Store(&map[table.Key]*home.Home{})
	n.learn(n.self)
	return n
}

// connections is the number of connections to each other instance; more than
// one lets several cores encode and decode.
const connections = 4

// learn records where an instance is reached.
func (n *Node) learn(i peer.Instance) {
	if i.RPCAddress == "" {
		return
	}
	l := route.Instance{ID: i.ID, Incarnation: i.Incarnation, RPCAddress: i.RPCAddress, HTTPAddress: i.HTTPAddress}
	if o, ok := n.dir.Instance(i.ID); !ok || o != l {
		n.dir.SetInstance(l)
	}
}

// every runs f at the interval d, or later if f takes longer, until the
// instance ends.
func (n *Node) every(d time.Duration, f func()) {
	n.work.Go(func() {
		t := time.NewTicker(d)
		defer t.Stop()
		for {
			select {
			case <-n.life.Done():
				return
			case <-t.C:
				f()
			}
		}
	})
}

// home returns the running home of a home row, or nil.
func (n *Node) home(k table.Key) *home.Home { return (*n.homes.Load())[k] }

// setHome starts or removes (nil) the home of a home row.
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

// place returns where an upstream runs.
func place(u *config.Upstream) peer.Place {
	return peer.Place{Region: u.Region, FailureDomain: u.FailureDomain}
}
