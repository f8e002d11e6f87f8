package meter

import "maps"

// Outcomes of requests that a target has answered: within their latency objective, or later.
const (
	Answered = "answered"
	Late     = "late"
)

// Totals counts the requests of clients for a service since the start of the instance.
type Totals struct {
	// Answered and Late count by outcome, and Unserved by the reason of the failure.
	Answered, Late uint64
	Unserved       map[string]uint64
	// Returned counts those that were not a client's first try.
	Returned uint64
}

// Totals returns the totals by service; "" stands for requests that were refused before
// their service was known.
func (m *Meter) Totals() map[string]Totals {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]Totals{}
	for s, t := range m.totals {
		c := *t
		c.Unserved = maps.Clone(t.Unserved)
		out[s] = c
	}
	return out
}

// totalsOf returns the totals of a service; the caller holds mu.
func (m *Meter) totalsOf(service string) *Totals {
	t := m.totals[service]
	if t == nil {
		t = &Totals{Unserved: map[string]uint64{}}
		m.totals[service] = t
	}
	return t
}

func (m *Meter) countRequest(service, outcome string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch t := m.totalsOf(service); outcome {
	case Answered:
		t.Answered++
	case Late:
		t.Late++
	default:
		t.Unserved[outcome]++
	}
}

func (m *Meter) countReturned(service string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.totalsOf(service).Returned++
}
