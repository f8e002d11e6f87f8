package subcmd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"dandelionrock.example/dandelionrock/internal/gate/fleet"
	"github.com/sebdah/goldie/v2"
)

// Guards against a report that hides an instance which runs with other settings or
// did not answer, and against an exit code 0 in that case.
func TestFleet(t *testing.T) {
	same := func(id string) fleet.Instance {
		return fleet.Instance{ID: id, Region: id[:1], FailureDomain: id[:2], RunningMs: 93000, Ready: true, Settings: "3f9a01c2b7d4", SettingsAgeMs: 2100, Configuration: 17}
	}
	edited := func(id string, edit func(*fleet.Instance)) fleet.Instance {
		i := same(id)
		edit(&i)
		return i
	}
	differing := []fleet.Instance{
		same("b1-1"), same("a1-1"), same("a2-1"),
		edited("c1-1", func(i *fleet.Instance) { i.Settings, i.SettingsAgeMs = "77e0c1aa0b52", 64000 }),
		edited("c2-1", func(i *fleet.Instance) { i.Waiting = []string{"region", "max-hold"} }),
		edited("d1-1", func(i *fleet.Instance) { i.Fault, i.Configuration = `field "drain": "x" is not a valid duration`, 13 }),
		edited("d2-1", func(i *fleet.Instance) { i.Leaving, i.Ready = true, false }),
		{ID: "e1-1", FailureDomain: "e1", Error: "context deadline exceeded"},
	}
	for _, c := range []struct {
		name, args string
		instances  []fleet.Instance
	}{
		{"fleet", "fleet --instance URL", differing},
		{"fleet-json", "fleet --instance URL --json", differing[2:4]},
		{"fleet-agreeing", "fleet --instance URL", differing[:3]},
		{"fleet-bad-url", "fleet --instance 127.0.0.1", nil},
		{"fleet-other-server", "fleet --instance URL/other", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := http.NewServeMux()
			m.HandleFunc(fleet.Path, func(w http.ResponseWriter, _ *http.Request) {
				_ = json.NewEncoder(w).Encode(fleet.Compare(c.instances))
			})
			s := httptest.NewServer(m)
			defer s.Close()
			var out bytes.Buffer
			p := Program{Out: &out, Err: &out}
			n := p.Run(context.Background(), strings.Fields(strings.ReplaceAll(c.args, "URL", s.URL)))
			r := fmt.Sprintf("$ dandelionrock %s\n%sexit code %d\n", c.args, out.String(), n)
			goldie.New(t).Assert(t, c.name, []byte(strings.ReplaceAll(r, s.URL, "http://instance")))
		})
	}
}
