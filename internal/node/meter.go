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

// meter caches the metrics of requests, so that the request path needs no lookup
// by tags.
type meter struct {
	scope tally.Scope
	mu    sync.RWMutex
	byKey map[meterKey]*requestMeter
}

type meterKey struct {
	organisation, service string
	outcome               schema.Outcome
}

type requestMeter struct {
	count   tally.Counter
	latency tally.Histogram
}

func newMeter(s tally.Scope) *meter { return &meter{scope: s, byKey: make(map[meterKey]*requestMeter)} }

// request records the outcome and the latency of a caller's request.
func (m *meter) request(organisation, service string, o schema.Outcome, took time.Duration) {
	k := meterKey{organisation, service, o}
	m.mu.RLock()
	x := m.byKey[k]
	m.mu.RUnlock()
	if x == nil {
		x = m.add(k)
	}
	x.count.Inc(1)
	x.latency.RecordDuration(took)
}

// add returns the metrics of a key and creates them if necessary.
func (m *meter) add(k meterKey) *requestMeter {
	m.mu.Lock()
	defer m.mu.Unlock()
	if x := m.byKey[k]; x != nil {
		return x
	}
	s := m.scope.Tagged(map[string]string{
		"organisation": k.organisation, "service": k.service, "outcome": outcomeName(k.outcome),
	})
	x := &requestMeter{count: s.Counter("requests"), latency: s.Histogram("request_latency", latencyBuckets)}
	m.byKey[k] = x
	return x
}

// outcomeName returns the kebab-case name of an outcome.
func outcomeName(o schema.Outcome) string {
	s := strings.TrimPrefix(o.String(), "OUTCOME_")
	return strings.ToLower(strings.ReplaceAll(s, "_", "-"))
}

// gaugeInterval is how often the gauges are updated.
const gaugeInterval = time.Second

// updateGauges sets the gauges that describe the current state.
func (n *Node) updateGauges() {
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

// homeStateNames lists all results of homeState, so that the gauge of a state
// that no home is in is set to 0.
var homeStateNames = []string{
	"superseded", "retired", "draining", "waiting-for-predecessor", "unreachable", "unconfirmed", "granting", "serving",
}

// homeStates returns the number of homes in each state.
func (n *Node) homeStates() map[string]int {
	m := make(map[string]int, len(homeStateNames))
	for _, s := range homeStateNames {
		m[s] = 0
	}
	for _, h := range *n.homes.Load() {
		l, _, _ := h.State()
		m[homeState(l)]++
	}
	return m
}
