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
	// ConnectTime passes before the first byte of a connection is read.
	ConnectTime Duration `toml:"connect-time" long:"connect-time" default:"1ms" description:"time to open a connection"`
	// Delay is the latency in each direction.
	Delay Duration `toml:"delay" long:"delay" description:"one-way latency"`
	// ServiceTime is the time of one execution. It varies by the fraction
	// ServiceJitter in each direction.
	ServiceTime   Duration `toml:"service-time" long:"service-time" default:"2ms" description:"time of one execution"`
	ServiceJitter float64  `toml:"service-jitter" long:"service-jitter" description:"fraction by which the service time varies"`
	// ColdFactor multiplies the service time at the start; the factor falls to
	// 1 within ColdTime.
	ColdFactor float64  `toml:"cold-factor" long:"cold-factor" default:"1" description:"factor of the service time after a start"`
	ColdTime   Duration `toml:"cold-time" long:"cold-time" description:"time until the factor has fallen to 1"`
	// DrainTime is the time for which a draining upstream still takes requests.
	DrainTime Duration `toml:"drain-time" long:"drain-time" default:"3s" description:"time for which requests are taken while draining"`
	// AnswerBytes is added to the length of each answer.
	AnswerBytes int `toml:"answer-bytes" long:"answer-bytes" description:"bytes added to each answer"`
	// RecordRuns keeps the times of all runs for Upstream.Recorded.
	RecordRuns bool           `toml:"-" no-flag:"true"`
	Log        zerolog.Logger `toml:"-" no-flag:"true"`
}

func (c *UpstreamConfig) check() error {
	if c.Name == "" || c.Address == "" {
		return errors.Newf("upstream %q at %q lacks a name or an address", c.Name, c.Address)
	}
	if c.Fencing != config.FencingChecked && c.Fencing != config.FencingNone {
		return errors.Newf("upstream %s: fencing is %q, not checked or none", c.Name, c.Fencing)
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
// requests under the grants of its home and counts them.
type Upstream struct {
	config UpstreamConfig
	server *server
	faults faults[UpstreamFaults]
	load   meter
	swap   chan exchange
	late   tasks

	mu sync.Mutex
	// boot is replaced by a restart.
	boot *boot
	// drained is the time since which the upstream drains; zero if it doesn't.
	drained time.Time
	// leaving is set when Drain was called.
	leaving bool
	runs    Runs
	// recorded is empty unless the configuration asks for it.
	recorded []Run
}

// boot is one run of the upstream's process.
type boot struct {
	id      string
	guard   *fence.Guard
	started time.Time
	// slots holds an element for each execution, waiting one for each request
	// that waits or executes.
	slots, waiting chan struct{}
	// done is closed when the run ends.
	done chan struct{}
}

func (c *UpstreamConfig) boot() *boot {
	i := uuid.NewString()
	return &boot{
		id: i, guard: fence.New(i), started: time.Now(),
		slots:   make(chan struct{}, c.Slots),
		waiting: make(chan struct{}, c.Slots+c.Queue),
		done:    make(chan struct{}),
	}
}

// NewUpstream starts an upstream.
func NewUpstream(c UpstreamConfig) (*Upstream, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	u := &Upstream{config: c, boot: c.boot(), swap: make(chan exchange)}
	u.runs.clear()
	u.faults.changed = u.changed
	l := &listener{limit: c.Connections, setup: time.Duration(c.ConnectTime)}
	var err error
	u.server, err = listen(c.Address, l, u.handler())
	return u, err
}

// handler sends each path that the stand-in has no other use for to execute.
func (u *Upstream) handler() http.Handler {
	c, d := u.Control(), time.Duration(u.config.Delay)
	g, e := handler(u.grant).after(d), handler(u.execute).after(d)
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
	m.Handle("GET /health", handler(u.health))
	m.Handle("GET /load", handler(u.serveLoad))
	m.Handle("GET /runs", handler(func(*http.Request) *reply { return answer(http.StatusOK, u.Runs()) }))
	m.Handle("/faults", handler(u.faults.serve))
	return m
}

// Name returns the name of the upstream.
func (u *Upstream) Name() string { return u.config.Name }

// Address returns the IP address and port.
func (u *Upstream) Address() string { return u.server.address() }

// URL returns the URL of the upstream.
func (u *Upstream) URL() string { return "http://" + u.Address() }

// SetFaults replaces all faults. A freeze or restart has begun on return.
func (u *Upstream) SetFaults(f UpstreamFaults) {
	if x := u.faults.set(f); x != nil {
		x()
	}
}

// changed applies the faults that have a beginning.
func (u *Upstream) changed(f *UpstreamFaults) func() {
	u.config.Log.Info().Str("upstream", u.config.Name).Interface("faults", f).Msg("faults changed")
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case !f.Drain && !u.leaving:
		u.drained = time.Time{}
	case u.drained.IsZero():
		u.drained = time.Now()
	}
	d, r := milliseconds(f.FreezeMs), f.Restart
	f.FreezeMs, f.Restart = 0, false
	return func() {
		if r {
			u.restart()
		}
		if d > 0 {
			u.server.listener.gate.freeze(d)
		}
	}
}

func (u *Upstream) restart() {
	u.mu.Lock()
	close(u.boot.done)
	u.boot = u.config.boot()
	u.mu.Unlock()
	u.server.listener.reset()
}

// Drain makes the upstream report that it drains; it refuses requests after
// DrainTime.
func (u *Upstream) Drain() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leaving = true
	if u.drained.IsZero() {
		u.drained = time.Now()
	}
}

// Close waits for calls in flight, up to a limit, and drops late runs.
func (u *Upstream) Close() error {
	u.late.stop()
	err := u.server.close()
	u.late.wait()
	return err
}

// grant serves the home's message about the set of shards.
func (u *Upstream) grant(r *http.Request) *reply {
	b, err := io.ReadAll(r.Body)
	f := u.faults.get()
	if err != nil || f.Outage {
		return dropped
	}
	var m schema.GrantRequest
	if err := protojson.Unmarshal(b, &m); err != nil {
		return fail(http.StatusBadRequest, errors.Wrap(err, "grant"))
	}
	if n := m.GetUpstream(); n != u.config.Name {
		return fail(http.StatusMisdirectedRequest, errors.Newf("grant for upstream %q at %s", n, u.config.Name))
	}
	time.Sleep(milliseconds(f.SlowGrantsMs))
	u.server.listener.gate.wait()
	a := u.handle(&m, u.reported(f))
	if u.faults.take(func(f *UpstreamFaults) *int { return &f.LoseGrantAnswers }) {
		return dropped
	}
	if b, err = protojson.Marshal(a); err != nil {
		return fail(http.StatusInternalServerError, err)
	}
	return &reply{status: http.StatusOK, header: http.Header{"Content-Type": {"application/json"}}, body: b}
}

func (u *Upstream) handle(m *schema.GrantRequest, load float64) *schema.GrantReply {
	u.mu.Lock()
	defer u.mu.Unlock()
	g := u.boot.guard
	g.SetDraining(!u.drained.IsZero())
	g.SetLoad(load)
	return g.Handle(clock.Boot(), m)
}

// reported returns the load that the upstream claims.
func (u *Upstream) reported(f UpstreamFaults) float64 {
	if f.ReportLoad != nil {
		return *f.ReportLoad
	}
	return u.load.read(time.Now(), milliseconds(f.LoadLagMs))
}

func (u *Upstream) serveLoad(*http.Request) *reply {
	f := u.faults.get()
	if f.Outage {
		return dropped
	}
	return answer(http.StatusOK, map[string]any{"load": u.reported(f), "connections": u.server.listener.open()})
}

// health says "fine" even while the upstream drains.
func (u *Upstream) health(*http.Request) *reply {
	f := u.faults.get()
	switch {
	case f.Outage:
		return dropped
	case f.ReportHealth != "" && f.ReportHealth != "fine":
		return answer(http.StatusServiceUnavailable, map[string]string{"status": f.ReportHealth})
	}
	return answer(http.StatusOK, map[string]string{"status": "fine"})
}
