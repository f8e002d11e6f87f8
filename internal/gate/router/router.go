// Package router runs an instance on the users' platform: it builds the parts of
// the instance, serves clients and other instances, and shuts down.
package router

import (
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/edge"
	"dandelionrock.example/dandelionrock/internal/gate/depot"
	"dandelionrock.example/dandelionrock/internal/gate/entry"
	"dandelionrock.example/dandelionrock/internal/gate/group"
	"dandelionrock.example/dandelionrock/internal/gate/guard"
	"dandelionrock.example/dandelionrock/internal/gate/health"
	"dandelionrock.example/dandelionrock/internal/gate/herald"
	"dandelionrock.example/dandelionrock/internal/gate/keeper"
	"dandelionrock.example/dandelionrock/internal/gate/meter"
	"dandelionrock.example/dandelionrock/internal/gate/sender"
	"dandelionrock.example/dandelionrock/internal/gate/tuning"
	"dandelionrock.example/dandelionrock/internal/gate/warden"
	"dandelionrock.example/dandelionrock/internal/plan/budget"
	"dandelionrock.example/dandelionrock/internal/plan/keys"
	"dandelionrock.example/dandelionrock/internal/plan/stop"
	"dandelionrock.example/dandelionrock/internal/relay"
	"dandelionrock.example/dandelionrock/internal/state/alive"
	"dandelionrock.example/dandelionrock/internal/state/syncer"
	"dandelionrock.example/dandelionrock/peer"
	"dandelionrock.example/dandelionrock/platform"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rs/zerolog"
)

// metricsPort is the port that serves the metrics. deploy/system.toml names it
// as well.
const metricsPort = 9464

const (
	// closeTimeout bounds the wait for the parts of the instance to close, after the
	// schedule of the shutdown has ended.
	closeTimeout = 200 * time.Millisecond
	// probeIdle is how long a connection for checks is kept; a target is checked more
	// often.
	probeIdle = 5 * time.Second
	// goMemoryShare is the fraction of the memory limit that is set as the soft
	// limit of the Go runtime.
	goMemoryShare = 0.6
	// keepAliveIdle, keepAliveInterval and keepAliveCount are the TCP keepalive
	// settings that detect dead connections to other instances.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
)

// ErrDutyFailed reports that an instance left because one of its duties could not go
// on.
var ErrDutyFailed = errors.New("a duty of the instance could not go on")

// Options are what an instance needs from its process.
type Options struct {
	Log zerolog.Logger
	// Reload makes the instance read its settings again.
	Reload <-chan os.Signal
	// Read reads the settings. Changed reports whether they may have changed
	// since its last call.
	Read    func() (*platform.Settings, error)
	Changed func() bool
}

// Instance is a running instance of the router.
type Instance struct {
	options  Options
	settings *platform.Settings
	self     peer.Instance
	log      zerolog.Logger

	store       *platform.Store
	granter     *platform.Granter
	pool        *relay.Pool
	server      *relay.Server
	alive       *alive.Set
	syncer      *syncer.Syncer
	owners      *keys.Owners
	bodies      *depot.Depot
	shelf       *depot.Shelf
	connections *sender.Pool
	homes       *group.Homes
	herald      *herald.Herald
	warden      *warden.Warden
	entry       *entry.Entry
	client      *edge.Server
	ready       *http.Server
	meter       *meter.Meter
	metrics     *http.Server
	leaving     atomic.Bool
	// schedule is that of the shutdown; nil before.
	schedule atomic.Pointer[stop.Schedule]
	guard    *guard.Guard
	prober   *platform.Prober
	checker  *health.Checker
	// failed is closed when a duty can't go on.
	failed chan struct{}
	// inForce holds the settings that the instance runs with.
	inForce atomic.Pointer[platform.Settings]
	started time.Time

	mu sync.Mutex
	// tuning decides which settings come into force.
	tuning  *tuning.Tracker
	keepers map[string]*keeper.Keeper
	// warnedOf is the pair of max-body-bytes and memory that warnOfBodies has looked at.
	warnedOf [2]int64
	// suspectedSince records when each suspected instance was first found
	// suspected, by id.
	suspectedSince map[string]time.Time
	group          sync.WaitGroup
	cancel         context.CancelFunc
}

// Run runs an instance until c ends, and then lets its requests in progress
// finish.
func Run(c context.Context, s *platform.Settings, o Options) error {
	n := build(s, o.Log.With().Str("instance", s.Instance).Logger())
	n.options = o
	n.configure(s)
	n.meter.SetSettings(tuning.Digest(s))
	if err := n.start(); err != nil {
		return err
	}
	select {
	case <-c.Done():
	case <-n.failed:
	}
	n.leave()
	if err := n.close(); err != nil || c.Err() != nil {
		return err
	}
	return ErrDutyFailed
}

func build(s *platform.Settings, l zerolog.Logger) *Instance {
	n := &Instance{settings: s, log: l, started: time.Now(), keepers: map[string]*keeper.Keeper{}, suspectedSince: map[string]time.Time{}}
	n.tuning = tuning.New(clock.Boot(), s)
	n.meter = meter.New(l)
	n.failed = make(chan struct{})
	n.guard = guard.New(l, n.meter.Panic, sync.OnceFunc(func() { close(n.failed) }))
	n.self.ID, n.self.Incarnation, n.self.RPCAddress = s.Instance, uuid.NewString(), s.Peer.String()
	n.self.Region, n.self.FailureDomain = s.Region, s.FailureDomain
	n.store, n.granter = platform.NewStore(s.Store.String()), platform.NewGranter()
	d := &net.Dialer{Control: sender.Control, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}}
	n.bodies = depot.New()
	n.bodies.OnLent(func(lent int64) { debug.SetMemoryLimit(goMemory(n.inForce.Load().Memory) - lent) })
	o := relay.Options{
		Dial: func(c context.Context, a string) (net.Conn, error) { return d.DialContext(c, "tcp", a) },
		Hold: n.bodies.Hold, Replied: n.releaseReply,
	}
	n.pool, n.server = relay.NewPool(o), relay.NewServer(o)
	n.alive = alive.New(s.Instance)
	n.syncer = syncer.New(n.self, n.store, n.pool, n.alive, spreadBound(s), l, n.guard)
	n.owners = &keys.Owners{}
	n.shelf = depot.NewShelf(n.bodies)
	n.connections = sender.New(n.bodies)
	n.herald = herald.New(herald.Options{Self: n.self, Views: n.syncer, Pool: n.pool, Log: l, Guard: n.guard})
	n.warden = warden.New(warden.Options{Self: n.self, Views: n.syncer, Herald: n.herald, Alive: n.alive, Log: l, Meter: n.meter})
	n.syncer.ShareBans(n.warden)
	n.homes = group.New(n.syncer, n.connections, n.warden, n.targetLeaves, l, n.meter)
	n.entry = entry.New(entry.Options{
		Self: n.self, Views: n.syncer, Homes: n.homes, Pool: n.pool, Alive: n.alive, Owners: n.owners, Warden: n.warden,
		Bodies: n.bodies, Log: l, Meter: n.meter, Leaving: n.leaving.Load, Stop: n.schedule.Load, Age: n.syncer.Age, ConfigurationAge: n.syncer.ConfigurationAge,
	})
	n.prober = platform.NewProber(probeIdle)
	n.checker = health.New(health.Options{
		Views: n.syncer, IsHome: n.entry.IsHome, Held: n.homes.Held, Checked: n.homes.Checked, Check: n.prober.Check, Log: l, Guard: n.guard,
	})
	return n
}

func (n *Instance) start() error {
	n.warden.Learn()
	if err := n.server.RegisterName("Gate", &gate{n}); err != nil {
		return err
	}
	if err := n.server.RegisterName("Spread", n.syncer); err != nil {
		return err
	}
	p, err := net.Listen("tcp", n.settings.PeerListen.String())
	if err != nil {
		return err
	}
	f, err := net.Listen("tcp", n.settings.Client.String())
	if err != nil {
		return err
	}
	r, err := net.Listen("tcp", n.settings.Ready.String())
	if err != nil {
		return err
	}
	m, err := net.Listen("tcp", netip.AddrPortFrom(n.settings.PeerListen.Addr(), metricsPort).String())
	if err != nil {
		return err
	}
	c, stop := context.WithCancel(context.Background())
	n.cancel = stop
	n.metrics = &http.Server{Handler: n.metricsHandler(), ReadHeaderTimeout: time.Second}
	n.group.Go(func() { n.logServerEnd("metrics", n.metrics.Serve(m)) })
	n.client = edge.NewServer(f, n.entry)
	n.ready = &http.Server{Handler: http.HandlerFunc(n.serveReady), ReadHeaderTimeout: time.Second}
	n.group.Go(func() { n.logServerEnd("rpc", n.server.Serve(p)) })
	n.group.Go(func() { n.logServerEnd("client", n.client.Start(context.Background())) })
	n.group.Go(func() { n.logServerEnd("ready", n.ready.Serve(r)) })
	n.syncer.Start()
	for duty, f := range map[string]func(context.Context){
		"register": n.register, "follow-view": n.followView, "probe": n.probe, "report-loads": n.reportLoads, "reload": n.reload, "check-targets": n.checker.Run,
	} {
		n.group.Go(func() { n.guard.Run(c, duty, func() { f(c) }) })
	}
	n.log.Info().Str("event", "started").Str("incarnation", n.self.Incarnation).Str("settings", tuning.Digest(n.settings)).Str("failure-domain", n.self.FailureDomain).
		Int("max-connections", depot.MaxConnections(n.settings.Memory, descriptors(n.settings))).Msg("")
	return nil
}

// reloadInterval is the time between checks of the settings file, which may
// change without a signal.
const reloadInterval = time.Second

// reload applies changed settings.
func (n *Instance) reload(c context.Context) {
	t := time.NewTicker(reloadInterval)
	defer t.Stop()
	for {
		signalled := false
		select {
		case <-c.Done():
			return
		case <-n.options.Reload:
			signalled = true
		case <-t.C:
		}
		if n.options.Changed() || signalled || !n.settled() {
			n.readSettings(signalled)
		}
	}
}

func (n *Instance) settled() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.tuning.Settled()
}

// readSettings reads the settings and applies those that may change while the
// instance runs.
func (n *Instance) readSettings(signalled bool) {
	s, err := n.options.Read()
	n.mu.Lock()
	r := n.tuning.Read(clock.Boot(), s, err)
	state := n.tuning.State(clock.Boot())
	n.mu.Unlock()
	if r.Err != nil {
		n.log.Error().Str("event", "reload-failed").Str("settings", state.Digest).Err(r.Err).Msg("keeping the current settings")
	}
	if state.Fault != "" {
		return
	}
	n.configure(r.InForce)
	n.meter.SetSettings(state.Digest)
	n.log.Info().Str("event", "reloaded").Bool("signalled", signalled).Str("settings", state.Digest).
		Interface("changes", r.Changes).Strs("waiting-for-restart", state.Waiting).Msg("")
}

// configure puts settings into force. Those that need a restart are as they were.
func (n *Instance) configure(s *platform.Settings) {
	n.inForce.Store(s)
	n.entry.SetBound(budget.Bound{Ratio: s.RetryRatio, Window: s.RetryWindow, Allowance: s.RetryAllowance})
	n.entry.SetRegions(s.Regions)
	n.entry.SetMemory(s.Memory)
	n.entry.SetConfigApply(s.ConfigApply)
	n.bodies.SetMemory(s.Memory)
	n.bodies.SetDescriptors(descriptors(s))
	n.syncer.SetBound(spreadBound(s))
	n.warnOfBodies()
}

// goMemory returns the soft limit of the Go runtime in bytes, given the memory of the
// process.
func goMemory(memory int64) int64 { return int64(float64(memory) * goMemoryShare) }

// descriptors returns the number of files and sockets that the process may have open: the
// setting or, if there is none, the limit of the system; 0 if that isn't known.
func descriptors(s *platform.Settings) int {
	if s.Descriptors > 0 {
		return s.Descriptors
	}
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return 0
	}
	return int(min(l.Cur, math.MaxInt32))
}

// spreadBound returns the time within which all instances must know a change that the
// store has confirmed.
func spreadBound(s *platform.Settings) time.Duration { return min(s.Drain, s.ConfigApply) }

// logServerEnd logs the error with which a server ended.
func (n *Instance) logServerEnd(name string, err error) {
	if err != nil && err != http.ErrServerClosed {
		n.log.Error().Str("event", "server-ended").Str("server", name).Err(err).Msg("")
	}
}

// serveReady answers the readiness probe of the load balancer.
func (n *Instance) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.ReadyPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if !n.takesClients() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// takesClients reports whether the load balancer is to send clients here.
func (n *Instance) takesClients() bool {
	return !n.leaving.Load() && n.syncer.View().Desired != nil && n.warden.Learned()
}

// close closes the other parts. It waits for at most closeTimeout, so that a call that
// hangs doesn't delay the end of the process.
func (n *Instance) close() error {
	n.cancel()
	done := make(chan error, 1)
	go func() { done <- n.closeAll() }()
	var err error
	select {
	case err = <-done:
	case <-time.After(closeTimeout):
	}
	n.log.Info().Str("event", "stopped").Int("homes-busy", n.homes.Busy()).Err(err).Msg("")
	return nil
}

// closeAll closes all parts and waits for their goroutines.
func (n *Instance) closeAll() error {
	var err error
	for _, c := range []io.Closer{n.ready, n.metrics, n.entry, n.homes, n.herald, n.syncer, n.pool, n.connections, n.granter, n.prober, n.store} {
		err = errors.CombineErrors(err, c.Close())
	}
	n.group.Wait()
	return err
}
