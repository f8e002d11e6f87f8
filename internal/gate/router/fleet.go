package router

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/gate/fleet"
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
	return nil
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
	}
	return f
}
