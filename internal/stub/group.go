package stub

import (
	"net/http"
	"os"
	"reflect"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// Duration is a time.Duration in settings and flags, written such as "20ms".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	x, err := time.ParseDuration(string(b))
	*d = Duration(x)
	return err
}

// UnmarshalFlag implements flags.Unmarshaler.
func (d *Duration) UnmarshalFlag(s string) error { return d.UnmarshalText([]byte(s)) }

// ReadUpstreams reads the configurations of upstreams from a TOML file: its tables
// "upstreams", and those of its services if the file is the configuration of an
// organisation. Fields that the file omits get their values from c.
func ReadUpstreams(file string, c UpstreamConfig) ([]UpstreamConfig, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	type service struct {
		Upstreams []UpstreamConfig `toml:"upstreams"`
	}
	var f struct {
		Upstreams []UpstreamConfig `toml:"upstreams"`
		Services  []service        `toml:"services"`
	}
	// Unknown keys are allowed, since the configuration of an organisation has
	// further ones.
	if err := toml.Unmarshal(b, &f); err != nil {
		return nil, errors.Wrap(err, file)
	}
	l := f.Upstreams
	for _, s := range f.Services {
		l = append(l, s.Upstreams...)
	}
	for i := range l {
		setDefaults(&l[i], c)
	}
	return l, nil
}

// setDefaults sets the zero fields of c to those of d.
func setDefaults(c *UpstreamConfig, d UpstreamConfig) {
	v, w := reflect.ValueOf(c).Elem(), reflect.ValueOf(d)
	for i := range v.NumField() {
		if v.Field(i).IsZero() {
			v.Field(i).Set(w.Field(i))
		}
	}
}

// Group is a set of upstreams in one process. Its control address stays reachable
// while an upstream is frozen or has an outage.
type Group struct {
	upstreams []*Upstream
	// control is nil if the group has no control address.
	control *server
}

// NewGroup starts the upstreams. If control is not empty, it is the IP address and
// port of an HTTP server with /runs, which returns the sum over all upstreams, and
// with /health, /load, /runs and /faults of each below /upstreams/NAME.
func NewGroup(control string, l []UpstreamConfig) (*Group, error) {
	g := &Group{}
	m := http.NewServeMux()
	m.Handle("GET /runs", handler(func(*http.Request) *reply { return jsonReply(http.StatusOK, g.Runs()) }))
	for _, c := range l {
		u, err := NewUpstream(c)
		if err != nil {
			return nil, errors.CombineErrors(err, g.Close())
		}
		g.upstreams = append(g.upstreams, u)
	}
	for _, u := range g.upstreams {
		p := "/upstreams/" + u.Name()
		m.Handle(p+"/", http.StripPrefix(p, u.Control()))
	}
	if control == "" {
		return g, nil
	}
	var err error
	if g.control, err = listen(control, &listener{}, m); err != nil {
		return nil, errors.CombineErrors(err, g.Close())
	}
	return g, nil
}

// Upstreams returns the upstreams in the order of their configuration.
func (g *Group) Upstreams() []*Upstream { return slices.Clone(g.upstreams) }

// ControlAddress returns the control address, or "" if there is none.
func (g *Group) ControlAddress() string {
	if g.control == nil {
		return ""
	}
	return g.control.address()
}

// Runs returns the sum of the counts of all upstreams.
func (g *Group) Runs() Runs {
	var r Runs
	r.initMaps()
	for _, u := range g.upstreams {
		r.add(u.Runs())
	}
	return r
}

// Drain makes all upstreams drain, and returns when all of them refuse requests.
func (g *Group) Drain() {
	var d time.Duration
	for _, u := range g.upstreams {
		u.Drain()
		d = max(d, time.Duration(u.config.DrainTime))
	}
	time.Sleep(d)
}

// Close closes all upstreams and the control server. It waits for calls in flight
// for a bounded time.
func (g *Group) Close() error {
	e := make(chan error)
	for _, u := range g.upstreams {
		go func() { e <- u.Close() }()
	}
	var err error
	for range g.upstreams {
		err = errors.CombineErrors(err, <-e)
	}
	if g.control != nil {
		err = errors.CombineErrors(err, g.control.close())
	}
	return err
}
