package router

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/gate/fleet"
	"dandelionrock.example/dandelionrock/internal/plan/pool"
	"dandelionrock.example/dandelionrock/internal/plan/quota"
	"dandelionrock.example/dandelionrock/peer"
	"dandelionrock.example/dandelionrock/schema"
)

const (
	// fleetTimeout bounds the collection of a report, so that an operator has it
	// within a second.
	fleetTimeout = 800 * time.Millisecond
	// fleetCalls bounds the instances that are asked at a time.
	fleetCalls = 64
)

// State tells what this instance runs with.
func (g *gate) State(_ *schema.StateRequest, a *schema.StateReply) (err error) {
	defer g.n.guard.Recover("state", &err)
	n := g.n
	n.mu.Lock()
	t := n.tuning.State(clock.Boot())
	n.mu.Unlock()
	a.InstanceId, a.Incarnation, a.RunningMs = n.self.ID, n.self.Incarnation, time.Since(n.started).Milliseconds()
	a.Ready, a.Leaving = n.takesClients(), n.leaving.Load()
	a.Settings, a.SettingsAgeMs, a.Waiting, a.Fault = t.Digest, t.Age.Milliseconds(), t.Waiting, t.Fault
	if d := n.syncer.View().Desired; d != nil {
		a.Configuration = d.Version
	}
	a.Services = n.serviceStates()
	return nil
}

// serviceStates returns how this instance serves the requests for each service, by name.
func (n *Instance) serviceStates() []*schema.ServiceState {
	m := map[string]*schema.ServiceState{}
	of := func(service string) *schema.ServiceState {
		if m[service] == nil {
			m[service] = &schema.ServiceState{Service: service}
		}
		return m[service]
	}
	for service, t := range n.meter.Totals() {
		s := of(service)
		s.Answered, s.Late, s.Returned = t.Answered, t.Late, t.Returned
		for _, r := range slices.Sorted(maps.Keys(t.Unserved)) {
			s.Unserved = append(s.Unserved, &schema.ReasonCount{Reason: r, Count: t.Unserved[r]})
		}
	}
	v := n.syncer.View()
	for _, g := range n.homes.States() {
		s := of(g.Group.Service)
		s.Running += uint32(g.Running)
		s.Waiting += uint32(g.Waiting)
		for _, r := range g.Reduced {
			// What a former home knows is outdated.
			if t := v.Targets[r.Target]; t != nil && t.Open() && n.entry.IsHome(g.Group, t.FailureDomain) {
				s.Reduced = append(s.Reduced, encodeReduced(r))
			}
		}
	}
	return slices.SortedFunc(maps.Values(m), func(a, b *schema.ServiceState) int { return strings.Compare(a.Service, b.Service) })
}

func encodeReduced(r pool.Reduced) *schema.ReducedTarget {
	t := &schema.ReducedTarget{Target: r.Target, Slots: uint32(r.Slots), Running: uint32(r.Running), ServiceMs: uint32(r.Mean.Milliseconds()), Reason: r.Reason}
	if r.Rate != quota.Unlimited {
		l := float64(r.Rate)
		t.Limit = &l
	}
	return t
}

// decodeServices returns the services of an instance as a report has them.
func decodeServices(instance string, services []*schema.ServiceState) []fleet.Service {
	var out []fleet.Service
	for _, s := range services {
		f := fleet.Service{Name: s.Service, Answered: s.Answered, Late: s.Late, Returned: s.Returned, Running: int(s.Running), Waiting: int(s.Waiting)}
		for _, u := range s.Unserved {
			if f.Unserved == nil {
				f.Unserved = map[string]uint64{}
			}
			f.Unserved[u.Reason] = u.Count
		}
		for _, r := range s.Reduced {
			f.Reduced = append(f.Reduced, fleet.Target{ID: r.Target, Home: instance, Slots: int(r.Slots), Running: int(r.Running), ServiceMs: int64(r.ServiceMs), Limit: r.Limit, Reason: r.Reason})
		}
		out = append(out, f)
	}
	return out
}

// metricsHandler serves the metrics, and at fleet.Path a report on all instances.
func (n *Instance) metricsHandler() http.Handler {
	m := http.NewServeMux()
	m.Handle("/", n.meter)
	m.HandleFunc("GET "+fleet.Path, n.serveFleet)
	return m
}

func (n *Instance) serveFleet(w http.ResponseWriter, r *http.Request) {
	b, err := json.Marshal(n.collectFleet(r.Context()))
	if err != nil {
		n.log.Error().Str("event", "fleet-failed").Err(err).Msg("")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b)
}

// collectFleet asks all instances of the directory for their state.
func (n *Instance) collectFleet(c context.Context) fleet.Report {
	c, stop := context.WithTimeout(c, fleetTimeout)
	defer stop()
	v := n.syncer.View()
	out := make([]fleet.Instance, len(v.Instances))
	free := make(chan struct{}, fleetCalls)
	var g sync.WaitGroup
	for k, i := range v.Instances {
		g.Go(func() {
			free <- struct{}{}
			defer func() { <-free }()
			out[k] = n.askState(c, i)
		})
	}
	g.Wait()
	if _, ok := v.Instance(n.self.ID); !ok {
		out = append(out, n.askState(c, n.self))
	}
	return fleet.Compare(out)
}

func (n *Instance) askState(c context.Context, i peer.Instance) fleet.Instance {
	f := fleet.Instance{ID: i.ID, Region: i.Region, FailureDomain: i.FailureDomain}
	var a schema.StateReply
	var err error
	if i.ID == n.self.ID {
		err = (&gate{n}).State(nil, &a)
	} else {
		err = n.pool.Call(c, i.RPCAddress, "Gate.State", &schema.StateRequest{}, &a)
	}
	switch {
	case err != nil:
		f.Error = err.Error()
	case a.InstanceId != i.ID:
		f.Error = "another instance answers at its address: " + a.InstanceId
	default:
		f.RunningMs, f.Ready, f.Leaving = a.RunningMs, a.Ready, a.Leaving
		f.Settings, f.SettingsAgeMs, f.Waiting, f.Fault, f.Configuration = a.Settings, a.SettingsAgeMs, a.Waiting, a.Fault, a.Configuration
		f.Services = decodeServices(i.ID, a.Services)
	}
	return f
}
