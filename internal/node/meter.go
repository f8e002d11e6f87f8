package node

import (
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"dandelionrock.example/dandelionrock/schema"
)

// latencyBuckets are the bounds of the latency histogram.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 2, 15)

// meter holds the metrics of requests, so that the request path doesn't look
// them up by their tags.
type meter struct {
	scope tally.Scope
	mu    sync.RWMutex
	by    map[meterKey]*requestMeter
}

type meterKey struct {
	organisation, service string
	outcome               schema.Outcome
}

type requestMeter struct {
	count   tally.Counter
	latency tally.Histogram
}

func newMeter(s tally.Scope) *meter { return &meter{scope: s, by: make(map[meterKey]*requestMeter)} }

// request counts a request of a caller.
func (m *meter) request(organisation, service string, o schema.Outcome, took time.Duration) {
	k := meterKey{organisation, service, o}
	m.mu.RLock()
	x := m.by[k]
	m.mu.RUnlock()
	if x == nil {
		x = m.add(k)
	}
	x.count.Inc(1)
	x.latency.RecordDuration(took)
}

func (m *meter) add(k meterKey) *requestMeter {
	m.mu.Lock()
	defer m.mu.Unlock()
	if x := m.by[k]; x != nil {
		return x
	}
	s := m.scope.Tagged(map[string]string{
		"organisation": k.organisation, "service": k.service, "outcome": outcomeName(k.outcome),
	})
	x := &requestMeter{count: s.Counter("requests"), latency: s.Histogram("request_latency", latencyBuckets)}
	m.by[k] = x
	return x
}

// outcomeName returns the kebab-case name of an outcome.
func outcomeName(o schema.Outcome) string {
	s := strings.TrimPrefix(o.String(), "OUTCOME_")
	return strings.ToLower(strings.ReplaceAll(s, "_", "-"))
}

// gaugeInterval is how often the gauges are set.
const gaugeInterval = time.Second

// gauges sets the metrics that describe the present state.
func (n *Node) gauges() {
	running, queued, unavailable := 0, 0, 0
	l := *n.homes.Load()
	for _, h := range l {
		_, r, q := h.State()
		running, queued = running+r, queued+q
		if h.Unavailable() {
			unavailable++
		}
	}
	for name, v := range map[string]int{
		"homes": len(l), "requests_in_flight": running, "requests_queued": queued,
		"upstreams_unavailable": unavailable, "instances_live": len(n.peers.Live()),
		"own_pauses": n.peers.Pauses(), "rows_not_in_force": len(n.dir.Problems()),
	} {
		n.scope.Gauge(name).Update(float64(v))
	}
	ready := 0.0
	if n.ready() {
		ready = 1
	}
	n.scope.Gauge("ready").Update(ready)
	for o, v := range n.dir.ConfigVersions() {
		n.scope.Tagged(map[string]string{"organisation": o}).Gauge("config_version").Update(float64(v))
	}
	for state, v := range n.homeStates() {
		n.scope.Tagged(map[string]string{"state": state}).Gauge("homes_by_state").Update(float64(v))
	}
}

// states lists the states of homes, so that the gauge of a state that no home
// is in any more falls to 0.
var states = []string{
	"superseded", "retired", "draining", "waiting-for-predecessor", "unreachable", "unconfirmed", "granting", "serving",
}

// homeStates returns the number of homes in each state.
func (n *Node) homeStates() map[string]int {
	m := make(map[string]int, len(states))
	for _, s := range states {
		m[s] = 0
	}
	for _, h := range *n.homes.Load() {
		l, _, _ := h.State()
		m[homeState(l)]++
	}
	return m
}
