// Package meter counts the requests of an instance and serves the metrics.
package meter

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the time between reports to the HTTP handler.
const reportInterval = time.Second

// latencyBuckets are the bounds of the latency histograms.
var latencyBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond,
	400 * time.Millisecond, 800 * time.Millisecond, 1600 * time.Millisecond, 3200 * time.Millisecond, 10 * time.Second,
}

// Meter holds the metrics of an instance. Use New.
type Meter struct {
	scope  tally.Scope
	closer io.Closer
	text   http.Handler

	mu sync.Mutex
	// settings is the digest of the settings in force.
	settings string
	totals   map[string]*Totals
}

// New returns a Meter. A metric that can't be registered is logged and left
// out.
func New(l zerolog.Logger) *Meter {
	g := client.NewRegistry()
	r := prometheus.NewReporter(prometheus.Options{Registerer: g, Gatherer: g, OnRegisterError: func(err error) {
		l.Warn().Str("event", "metric-refused").Err(err).Msg("")
	}})
	s, c := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "dandelionrock", CachedReporter: r, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Meter{scope: s, closer: c, text: r.HTTPHandler(), totals: map[string]*Totals{}}
}

// Close stops reporting.
func (m *Meter) Close() error { return m.closer.Close() }

// ServeHTTP serves the metrics in the Prometheus text format.
func (m *Meter) ServeHTTP(w http.ResponseWriter, r *http.Request) { m.text.ServeHTTP(w, r) }

// Request counts a client's request by its service and outcome: Answered, Late,
// or the reason of a failure.
func (m *Meter) Request(service, outcome string, took time.Duration) {
	s := m.scope.Tagged(map[string]string{"service": service, "outcome": outcome})
	s.Counter("requests").Inc(1)
	s.Histogram("request_latency", latencyBuckets).RecordDuration(took)
	m.countRequest(service, outcome)
}

// Target counts a request that was sent to a target by its service and outcome.
func (m *Meter) Target(service, outcome string, took time.Duration) {
	s := m.scope.Tagged(map[string]string{"service": service, "outcome": outcome})
	s.Counter("target_requests").Inc(1)
	s.Histogram("target_latency", latencyBuckets).RecordDuration(took)
}

// SetSettings sets the metric settings to 1 for the digest of the settings in force,
// and to 0 for earlier ones. It also records when they were read, in Unix seconds.
func (m *Meter) SetSettings(digest string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	gauge := func(d string) tally.Gauge { return m.scope.Tagged(map[string]string{"digest": d}).Gauge("settings") }
	if m.settings != "" {
		gauge(m.settings).Update(0)
	}
	m.settings = digest
	gauge(digest).Update(1)
	m.scope.Gauge("settings_read_seconds").Update(float64(time.Now().Unix()))
}

// SetConfiguration sets the version of the configuration in force.
func (m *Meter) SetConfiguration(version uint64) {
	m.scope.Gauge("configuration_version").Update(float64(version))
}

// SetEra sets the era of the store that this instance has seen. Instances that lag behind
// for more than seconds don't hear from the store.
func (m *Meter) SetEra(era uint64) { m.scope.Gauge("store_era").Update(float64(era)) }

// Panic counts a panic of a duty of the instance.
func (m *Meter) Panic(duty string) {
	m.scope.Tagged(map[string]string{"duty": duty}).Counter("panics").Inc(1)
}

// Banned counts a request that this instance has found to crash targets.
func (m *Meter) Banned() { m.scope.Counter("banned_requests").Inc(1) }

// Queue records how long a request waited at its home for a slot, and what became of
// it: started, or the reason of a refusal.
func (m *Meter) Queue(service, outcome string, waited time.Duration) {
	s := m.scope.Tagged(map[string]string{"service": service, "outcome": outcome})
	s.Histogram("queue_wait", latencyBuckets).RecordDuration(waited)
}

// LimitUse counts the requests that a limit allowed, when it changes: those that were
// sent, and further ones that could have been.
func (m *Meter) LimitUse(service string, used, unused float64) {
	for which, n := range map[string]float64{"used": used, "unused": unused} {
		m.scope.Tagged(map[string]string{"service": service, "which": which}).Counter("limit_requests").Inc(int64(n))
	}
}

// Crossed counts a request that was sent to another region, with the lengths in bytes of
// its body and of the body of the response.
func (m *Meter) Crossed(service string, request, response int) {
	s := m.scope.Tagged(map[string]string{"service": service})
	s.Counter("region_calls").Inc(1)
	s.Counter("region_request_bytes").Inc(int64(request))
	s.Counter("region_response_bytes").Inc(int64(response))
}

// Returned counts a request of a client that had tried before, by the outcome of this
// try as in Request.
func (m *Meter) Returned(service, outcome string) {
	m.scope.Tagged(map[string]string{"service": service, "outcome": outcome}).Counter("returned_requests").Inc(1)
	m.countReturned(service)
}

// Cold counts a target that said in a check that it has become cold or is warm again.
func (m *Meter) Cold(service string, cold bool) {
	m.scope.Tagged(map[string]string{"service": service, "cold": strconv.FormatBool(cold)}).Counter("target_warmups").Inc(1)
}

// Pace counts a target that stated in a response that it has become slow or is no longer,
// and whether requests wait for that.
func (m *Meter) Pace(service string, slow, held bool) {
	m.scope.Tagged(map[string]string{"service": service, "slow": strconv.FormatBool(slow), "held": strconv.FormatBool(held)}).Counter("target_spells").Inc(1)
}

// Cut counts a request whose connection ended before its response was sent, by what it
// had reached. leaving tells whether the instance was shutting down.
func (m *Meter) Cut(service, progress string, leaving bool) {
	s := m.scope.Tagged(map[string]string{"service": service, "progress": progress, "leaving": strconv.FormatBool(leaving)})
	s.Counter("cut_requests").Inc(1)
}

// Evicted counts a connection that was closed because memory or places for connections ran
// short, by the reason, and the bytes that it held.
func (m *Meter) Evicted(reason string, held int64) {
	s := m.scope.Tagged(map[string]string{"reason": reason})
	s.Counter("evicted_connections").Inc(1)
	s.Counter("evicted_bytes").Inc(held)
}

// KeysMoved counts keys that got another owner, and records how long they had none.
func (m *Meter) KeysMoved(service, why string, keys int, took time.Duration) {
	s := m.scope.Tagged(map[string]string{"service": service, "why": why})
	s.Counter("keys_moved").Inc(int64(keys))
	s.Histogram("key_move_time", latencyBuckets).RecordDuration(took)
}

// KeyRelieved records the time from a change of the load, after which the owner of a range
// of keys was overloaded, to the grant of the range to its next owner.
func (m *Meter) KeyRelieved(service string, took time.Duration) {
	m.scope.Tagged(map[string]string{"service": service}).Histogram("key_relief_time", latencyBuckets).RecordDuration(took)
}

// Utilisation sets the highest and the mean utilisation of the targets that own the
// keys of a service, as its keeper estimates them.
func (m *Meter) Utilisation(service string, highest, mean float64) {
	for which, v := range map[string]float64{"highest": highest, "mean": mean} {
		m.scope.Tagged(map[string]string{"service": service, "which": which}).Gauge("target_utilisation").Update(v)
	}
}
