package stub

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/encoding/protojson"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/config"
	"dandelionrock.example/dandelionrock/fence"
	"dandelionrock.example/dandelionrock/schema"
)

// UpstreamConfig configures an Upstream. The tags name the keys of a file and
// the flags of cmd/standin.
type UpstreamConfig struct {
	Name string `toml:"name" long:"name" description:"name of the upstream"`
	// Address is an IP address and port; port 0 chooses one.
	Address       string         `toml:"address" long:"address" description:"IP address and port"`
	Region        string         `toml:"region" long:"region" description:"region"`
	FailureDomain string         `toml:"failure-domain" long:"failure-domain" description:"failure domain"`
	Fencing       config.Fencing `toml:"fencing" long:"fencing" description:"checked or none; required"`
	// Slots is the number of requests executed at a time; 2 if 0.
	Slots int `toml:"slots" long:"slots" default:"2" description:"requests executed at a time"`
	// Queue is the number of requests that wait for a slot before further ones
	// are shed; twice the slots if 0.
	Queue int `toml:"queue" long:"queue" description:"requests that wait; twice the slots if 0"`
	// Connections is the number of connections accepted; no limit if 0.
	Connections int `toml:"connections" long:"connections" default:"130" description:"connections accepted; 0 for no limit"`
	// ConnectTime passes before the first bytes of a new connection are read.
	ConnectTime Duration `toml:"connect-time" long:"connect-time" default:"1ms" description:"time to open a connection"`
	// Delay is the latency in each direction.
	Delay Duration `toml:"delay" long:"delay" description:"one-way latency"`
	// ServiceTime is the mean time of one execution. It varies by up to the
	// fraction ServiceJitter in each direction.
	ServiceTime   Duration `toml:"service-time" long:"service-time" default:"2ms" description:"time of one execution"`
	ServiceJitter float64  `toml:"service-jitter" long:"service-jitter" description:"fraction by which the service time varies"`
	// ColdFactor multiplies the service time after a start. The factor falls
	// linearly to 1 within ColdTime.
	ColdFactor float64  `toml:"cold-factor" long:"cold-factor" default:"1" description:"factor of the service time after a start"`
	ColdTime   Duration `toml:"cold-time" long:"cold-time" description:"time until the factor has fallen to 1"`
	// DrainTime is the time for which a draining upstream still admits requests.
	DrainTime Duration `toml:"drain-time" long:"drain-time" default:"3s" description:"time for which requests are taken while draining"`
	// AnswerBytes is the length of padding in the body of each response.
	AnswerBytes int `toml:"answer-bytes" long:"answer-bytes" description:"bytes added to each answer"`
	// RecordRuns records the times of all runs for Upstream.Recorded.
	RecordRuns bool           `toml:"-" no-flag:"true"`
	Log        zerolog.Logger `toml:"-" no-flag:"true"`
}

// check sets defaults and returns an error if the configuration is invalid.
func (c *UpstreamConfig) check() error {
	if c.Name == "" || c.Address == "" {
		return errors.Newf("upstream %q at address %q: name or address is empty", c.Name, c.Address)
	}
	if c.Fencing != config.FencingChecked && c.Fencing != config.FencingNone {
		return errors.Newf("upstream %s: fencing is %q, want checked or none", c.Name, c.Fencing)
	}
	if c.Slots <= 0 {
		c.Slots = 2
	}
	if c.Queue <= 0 {
		c.Queue = 2 * c.Slots
	}
	c.ColdFactor = max(c.ColdFactor, 1)
	return nil
}

// Upstream is a stand-in for a server that owns keys exclusively. It executes
// requests for the shards that its home grants, and counts them.
type Upstream struct {
	config    UpstreamConfig
	server    *server
	faults    faults[UpstreamFaults]
	load      loadMeter
	exchanges chan exchange
	delayed   delayedTasks

	mu sync.Mutex
	// boot is replaced at a restart.
	boot *boot
	// drainingSince is the start of draining; zero if the upstream does not
	// drain.
	drainingSince time.Time
	// drainCalled is set by Drain. The end of the fault Drain then does not end
	// draining.
	drainCalled bool
	runs        Runs
	// recorded is empty unless RecordRuns is set.
	recorded []Run
}

// boot is the state of the upstream's process from a start to the next restart.
type boot struct {
	id      string
	guard   *fence.Guard
	started time.Time
	// slots holds an element for each request that executes, pending one for
	// each that waits or executes.
	slots, pending chan struct{}
	// done is closed at the restart.
	done chan struct{}
}

// newBoot returns the state of a new process, with a random boot id.
func (c *UpstreamConfig) newBoot() *boot {
	i := uuid.NewString()
	return &boot{
		id: i, guard: fence.New(i), started: time.Now(),
		slots:   make(chan struct{}, c.Slots),
		pending: make(chan struct{}, c.Slots+c.Queue),
		done:    make(chan struct{}),
	}
}

// NewUpstream starts an upstream. It returns an error if the configuration is invalid
// or the listener can't be opened.
func NewUpstream(c UpstreamConfig) (*Upstream, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	u := &Upstream{config: c, boot: c.newBoot(), exchanges: make(chan exchange)}
	u.runs.initMaps()
	u.faults.onChange = u.onFaultsChanged
	l := &listener{maxConns: c.Connections, setupTime: time.Duration(c.ConnectTime)}
	var err error
	u.server, err = listen(c.Address, l, u.handler())
	return u, err
}

// handler returns the handler of the upstream. It passes requests to execute unless
// their path is one of the stand-in's own.
func (u *Upstream) handler() http.Handler {
	c, d := u.Control(), time.Duration(u.config.Delay)
	g, e := handler(u.serveGrant).withLatency(d), handler(u.execute).withLatency(d)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/health", "/load", "/runs", "/faults":
			c.ServeHTTP(w, r)
		case "/grant":
			g.ServeHTTP(w, r)
		default:
			e.ServeHTTP(w, r)
		}
	})
}

// Control returns the handler of /health, /load, /runs and /faults.
func (u *Upstream) Control() http.Handler {
	m := http.NewServeMux()
	m.Handle("GET /health", handler(u.serveHealth))
	m.Handle("GET /load", handler(u.serveLoad))
	m.Handle("GET /runs", handler(func(*http.Request) *reply { return jsonReply(http.StatusOK, u.Runs()) }))
	m.Handle("/faults", handler(u.faults.serve))
	return m
}

// Name returns the name of the upstream.
func (u *Upstream) Name() string { return u.config.Name }

// Address returns the IP address and port at which the upstream listens.
func (u *Upstream) Address() string { return u.server.address() }

// URL returns the URL of the upstream.
func (u *Upstream) URL() string { return "http://" + u.Address() }

// SetFaults replaces all faults. A freeze or restart begins before it returns.
func (u *Upstream) SetFaults(f UpstreamFaults) {
	if x := u.faults.set(f); x != nil {
		x()
	}
}

// onFaultsChanged starts or ends draining, and returns a function that starts the
// freeze or restart in f. It resets both in f, since they happen once.
func (u *Upstream) onFaultsChanged(f *UpstreamFaults) func() {
	u.config.Log.Info().Str("upstream", u.config.Name).Interface("faults", f).Msg("faults changed")
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case !f.Drain && !u.drainCalled:
		u.drainingSince = time.Time{}
	case u.drainingSince.IsZero():
		u.drainingSince = time.Now()
	}
	d, r := milliseconds(f.FreezeMs), f.Restart
	f.FreezeMs, f.Restart = 0, false
	return func() {
		if r {
			u.restart()
		}
		if d > 0 {
			u.server.listener.freezer.freeze(d)
		}
	}
}

// restart replaces the boot and closes the connections that are not exempt.
func (u *Upstream) restart() {
	u.mu.Lock()
	close(u.boot.done)
	u.boot = u.config.newBoot()
	u.mu.Unlock()
	u.server.listener.closeConns()
}

// Drain makes the upstream report that it drains. After DrainTime it refuses
// requests.
func (u *Upstream) Drain() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.drainCalled = true
	if u.drainingSince.IsZero() {
		u.drainingSince = time.Now()
	}
}

// Close waits for calls in flight for a bounded time, and drops late runs that have
// not started.
func (u *Upstream) Close() error {
	u.delayed.stop()
	err := u.server.close()
	u.delayed.wait()
	return err
}

// serveGrant serves a grant request of the home, which lists the granted shards.
func (u *Upstream) serveGrant(r *http.Request) *reply {
	b, err := io.ReadAll(r.Body)
	f := u.faults.get()
	if err != nil || f.Outage {
		return noReply
	}
	var m schema.GrantRequest
	if err := protojson.Unmarshal(b, &m); err != nil {
		return errorReply(http.StatusBadRequest, errors.Wrap(err, "grant"))
	}
	if n := m.GetUpstream(); n != u.config.Name {
		return errorReply(http.StatusMisdirectedRequest, errors.Newf("grant for upstream %q at %s", n, u.config.Name))
	}
	time.Sleep(milliseconds(f.SlowGrantsMs))
	u.server.listener.freezer.wait()
	a := u.handleGrant(&m, u.reportedLoad(f))
	if u.faults.consume(func(f *UpstreamFaults) *int { return &f.LoseGrantAnswers }) {
		return noReply
	}
	if b, err = protojson.Marshal(a); err != nil {
		return errorReply(http.StatusInternalServerError, err)
	}
	return &reply{status: http.StatusOK, header: http.Header{"Content-Type": {"application/json"}}, body: b}
}

// handleGrant applies a grant request to the guard of the current boot and returns
// the reply with the given load.
func (u *Upstream) handleGrant(m *schema.GrantRequest, load float64) *schema.GrantReply {
	u.mu.Lock()
	defer u.mu.Unlock()
	g := u.boot.guard
	g.SetDraining(!u.drainingSince.IsZero())
	g.SetLoad(load)
	return g.Handle(clock.Boot(), m)
}

// reportedLoad returns the load that the upstream reports under the faults f.
func (u *Upstream) reportedLoad(f UpstreamFaults) float64 {
	if f.ReportLoad != nil {
		return *f.ReportLoad
	}
	return u.load.read(time.Now(), milliseconds(f.LoadLagMs))
}

func (u *Upstream) serveLoad(*http.Request) *reply {
	f := u.faults.get()
	if f.Outage {
		return noReply
	}
	return jsonReply(http.StatusOK, map[string]any{"load": u.reportedLoad(f), "connections": u.server.listener.connCount()})
}

// serveHealth reports "fine" also while the upstream drains.
func (u *Upstream) serveHealth(*http.Request) *reply {
	f := u.faults.get()
	switch {
	case f.Outage:
		return noReply
	case f.ReportHealth != "" && f.ReportHealth != "fine":
		return jsonReply(http.StatusServiceUnavailable, map[string]string{"status": f.ReportHealth})
	}
	return jsonReply(http.StatusOK, map[string]string{"status": "fine"})
}
