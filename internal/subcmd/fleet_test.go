package subcmd

import (
	"encoding/json"
	"net/http"

	"dandelionrock.example/dandelionrock/internal/gate/fleet"
)

// fleetInstances returns instances of which the first three agree and the others
// deviate each in another way.
func fleetInstances() []fleet.Instance {
	var is []fleet.Instance
	for _, id := range []string{"b1-1", "a1-1", "a2-1", "c1-1", "c2-1", "d1-1", "d2-1"} {
		is = append(is, fleet.Instance{ID: id, Region: id[:1], FailureDomain: id[:2], RunningMs: 93000, Ready: true, Settings: "3f9a01c2b7d4", SettingsAgeMs: 2100, Configuration: 17})
	}
	is[3].Settings, is[3].SettingsAgeMs = "77e0c1aa0b52", 64000
	is[4].Waiting = []string{"region", "max-hold"}
	is[5].Fault, is[5].Configuration = `field "drain": "x" is not a valid duration`, 13
	is[6].Leaving, is[6].Ready = true, false
	return append(is, fleet.Instance{ID: "e1-1", FailureDomain: "e1", Error: "context deadline exceeded"})
}

// busyInstances returns instances that agree and serve requests.
func busyInstances() []fleet.Instance {
	is, limit := fleetInstances()[:2], 4.6
	is[0].Services = []fleet.Service{
		{Unserved: map[string]uint64{"no-route": 2}},
		{Name: "orders", Answered: 900, Late: 12, Returned: 7, Running: 4, Unserved: map[string]uint64{"full": 3}},
		{Name: "quotes", Answered: 4100, Late: 80, Returned: 200, Unserved: map[string]uint64{"full": 31, "no-owner": 4}, Running: 9, Waiting: 5, Reduced: []fleet.Target{
			{ID: "i-7f3a", Home: "b1-1", Slots: 6, Running: 3, ServiceMs: 699, Reason: "slow-spell"},
			{ID: "i-01bb", Home: "b1-1", Slots: 6, Limit: &limit, Reason: "cold"},
		}},
	}
	is[1].Services = []fleet.Service{{Name: "quotes", Answered: 3900, Late: 20, Returned: 100, Unserved: map[string]uint64{"full": 9, "target-limit": 50}, Running: 12, Waiting: 1, Reduced: []fleet.Target{
		{ID: "i-2c10", Home: "a1-1", Slots: 6, Running: 1, ServiceMs: 310, Limit: &limit, Reason: "target-limit"},
	}}}
	return is
}

// withFleet returns a handler that also serves reports on the instances, and below
// /agreeing/ on those that agree.
func withFleet(h http.Handler) http.Handler {
	m := http.NewServeMux()
	m.Handle("/", h)
	for path, is := range map[string][]fleet.Instance{"": fleetInstances(), "/agreeing": fleetInstances()[:3], "/two": fleetInstances()[2:4], "/busy": busyInstances()} {
		m.HandleFunc(path+fleet.Path, func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(fleet.Compare(is)) })
	}
	return m
}
