package entry

import (
	"dandelionrock.example/dandelionrock/internal/gate/group"
	"dandelionrock.example/dandelionrock/schema"
)

// counts holds the request counts of a keyed service, by key and by target, since
// the last report to its keeper.
type counts struct {
	keys    map[uint32]uint32
	targets map[string]*schema.TargetCount
}

// countsOf returns the counts of a service; the caller holds mu.
func (e *Entry) countsOf(service string) *counts {
	c := e.counts[service]
	if c == nil {
		c = &counts{map[uint32]uint32{}, map[string]*schema.TargetCount{}}
		e.counts[service] = c
	}
	return c
}

// count counts a request for a key.
func (e *Entry) count(service string, key uint32) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.countsOf(service).keys[key]++
}

// countTarget counts the result of a request at a target, unless the home refused
// the request.
func (e *Entry) countTarget(k group.ID, a *schema.SendReply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.countsOf(k.Service).targets
	t := m[k.Target]
	if t == nil {
		t = &schema.TargetCount{Target: k.Target}
		m[k.Target] = t
	}
	if a.Load != nil {
		t.ServiceMs, t.Limit = a.Load.ServiceMs, nil
		for _, l := range a.Load.Limits {
			t.Limit = &l.Rate
		}
	}
	switch a.Outcome {
	case schema.SendOutcome_SEND_OUTCOME_REFUSED:
	case schema.SendOutcome_SEND_OUTCOME_ANSWERED:
		t.Sent++
	default:
		t.Sent++
		t.Failed++
	}
}

// TakeCounts returns the counts of a service since the last call, and resets
// them.
func (e *Entry) TakeCounts(service string) *schema.KeyLoadRequest {
	e.mu.Lock()
	c := e.countsOf(service)
	delete(e.counts, service)
	e.mu.Unlock()
	q := &schema.KeyLoadRequest{Service: service, InstanceId: e.Self.ID}
	for k, n := range c.keys {
		q.Keys = append(q.Keys, &schema.KeyCount{Key: k, Count: n})
	}
	for _, t := range c.targets {
		q.Targets = append(q.Targets, t)
	}
	return q
}
