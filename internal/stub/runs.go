package stub

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

// Runs holds the counts of an upstream's executions. They survive a restart.
type Runs struct {
	Upstream string `json:"upstream"`
	BootID   string `json:"boot-id"`
	// Total is the number of runs. Orders holds it by order id, Keys by key.
	Total  uint64            `json:"total"`
	Orders map[string]uint64 `json:"orders"`
	Keys   map[string]uint64 `json:"keys"`
	// Refused is the number of refusals by the value of the header
	// Dandelionrock-Refused.
	Refused map[string]uint64 `json:"refused"`
	// Cancelled is the number of executions that ended without effect, by
	// cancellation or deadline.
	Cancelled    uint64 `json:"cancelled"`
	Executing    int    `json:"executing"`
	MaxExecuting int    `json:"max-executing"`
	// LastStartAfterDrainMs is the longest time after the start of draining at
	// which a request was admitted; 0 if there was none.
	LastStartAfterDrainMs int64 `json:"last-start-after-drain-ms"`
}

// Run is one execution that took effect. The times of all upstreams in a process
// are from the same clock.
type Run struct {
	Upstream, Key string
	// Began is the time at which the request got a slot, Ended that at which it
	// took effect.
	Began, Ended time.Time
}

// Recorded returns the runs so far in the order in which they took effect. It
// returns none unless UpstreamConfig.RecordRuns is set.
func (u *Upstream) Recorded() []Run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.recorded)
}

// initMaps replaces the maps by empty ones.
func (r *Runs) initMaps() {
	r.Orders, r.Keys, r.Refused = map[string]uint64{}, map[string]uint64{}, map[string]uint64{}
}

// count adds one run of q.
func (r *Runs) count(q *request) {
	r.Total++
	if q.key != "" {
		r.Keys[q.key]++
	}
	if q.order != "" {
		r.Orders[q.order]++
	}
}

// add adds the counts of s. MaxExecuting and LastStartAfterDrainMs become the larger
// of both.
func (r *Runs) add(s Runs) {
	r.Total += s.Total
	r.Cancelled += s.Cancelled
	r.Executing += s.Executing
	r.MaxExecuting = max(r.MaxExecuting, s.MaxExecuting)
	r.LastStartAfterDrainMs = max(r.LastStartAfterDrainMs, s.LastStartAfterDrainMs)
	for _, m := range []struct{ to, from map[string]uint64 }{
		{r.Orders, s.Orders}, {r.Keys, s.Keys}, {r.Refused, s.Refused},
	} {
		for k, n := range m.from {
			m.to[k] += n
		}
	}
}

// Runs returns the counts so far.
func (u *Upstream) Runs() Runs {
	u.mu.Lock()
	defer u.mu.Unlock()
	r := u.runs
	r.Upstream, r.BootID = u.config.Name, u.boot.id
	r.Orders, r.Keys, r.Refused = maps.Clone(r.Orders), maps.Clone(r.Keys), maps.Clone(r.Refused)
	return r
}

// loadTimeConstant is the time constant of the average of the load.
const loadTimeConstant = 500 * time.Millisecond

// loadMeter holds the exponentially weighted moving average of a load. The zero value
// is ready for use.
type loadMeter struct {
	mu sync.Mutex
	// value is the average at the time at, level the load since then.
	value, level float64
	at           time.Time
	// published is the value that read returns until the lag has passed since
	// publishedAt.
	published   float64
	publishedAt time.Time
}

// set records that the load is level from now on.
func (m *loadMeter) set(now time.Time, level float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	m.level = level
}

// advance updates the average to now. The caller holds m.mu.
func (m *loadMeter) advance(now time.Time) {
	if d := now.Sub(m.at); d > 0 {
		m.value += (m.level - m.value) * (1 - math.Exp(-float64(d)/float64(loadTimeConstant)))
		m.at = now
	}
}

// read returns the average as it was at most lag ago.
func (m *loadMeter) read(now time.Time, lag time.Duration) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.publishedAt) >= lag {
		m.advance(now)
		m.published, m.publishedAt = m.value, now
	}
	return m.published
}
