package stub

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

// Runs counts what an upstream has executed. The counts survive a restart.
type Runs struct {
	Upstream string `json:"upstream"`
	BootID   string `json:"boot-id"`
	// Total counts the runs; Orders those by order id, Keys those by key.
	Total  uint64            `json:"total"`
	Orders map[string]uint64 `json:"orders"`
	Keys   map[string]uint64 `json:"keys"`
	// Refused counts refusals by the value of dandelionrock-refused.
	Refused map[string]uint64 `json:"refused"`
	// Cancelled counts executions that ended without effect, by cancellation
	// or deadline.
	Cancelled    uint64 `json:"cancelled"`
	Executing    int    `json:"executing"`
	MaxExecuting int    `json:"max-executing"`
	// LastStartAfterDrainMs is the latest time after the begin of draining at
	// which a request was taken; 0 if there was none.
	LastStartAfterDrainMs int64 `json:"last-start-after-drain-ms"`
}

// Run is one execution that took effect. Times of all upstreams of a process are
// of the same clock.
type Run struct {
	Upstream, Key string
	// Began is when the request had a slot, Ended when it took effect.
	Began, Ended time.Time
}

// Recorded returns the runs so far in the order of their ends; none unless
// RecordRuns is set.
func (u *Upstream) Recorded() []Run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.recorded)
}

func (r *Runs) clear() {
	r.Orders, r.Keys, r.Refused = map[string]uint64{}, map[string]uint64{}, map[string]uint64{}
}

func (r *Runs) count(q *request) {
	r.Total++
	if q.key != "" {
		r.Keys[q.key]++
	}
	if q.order != "" {
		r.Orders[q.order]++
	}
}

// add adds the counts of s.
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

// loadWindow is the time constant of the reported load.
const loadWindow = 500 * time.Millisecond

// meter averages a level over time with exponential weights. The zero value is
// ready.
type meter struct {
	mu sync.Mutex
	// value is the average at the time at; level holds since then.
	value, level float64
	at           time.Time
	// published is what read returns until the lag has passed.
	published   float64
	publishedAt time.Time
}

func (m *meter) set(now time.Time, level float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	m.level = level
}

func (m *meter) advance(now time.Time) {
	if d := now.Sub(m.at); d > 0 {
		m.value += (m.level - m.value) * (1 - math.Exp(-float64(d)/float64(loadWindow)))
		m.at = now
	}
}

// read returns the average, renewed at intervals of the lag.
func (m *meter) read(now time.Time, lag time.Duration) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.publishedAt) >= lag {
		m.advance(now)
		m.published, m.publishedAt = m.value, now
	}
	return m.published
}
