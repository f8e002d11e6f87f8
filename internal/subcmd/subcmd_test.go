package subcmd

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/config"
	"dandelionrock.example/dandelionrock/event"
	"dandelionrock.example/dandelionrock/internal/admin"
	"github.com/cockroachdb/errors"
	"github.com/sebdah/goldie/v2"
)

const guildFile = "../../examples/guild.toml"

// fakeInstance is an instance whose peers confirm a version after a number of
// status requests.
type fakeInstance struct {
	mu             sync.Mutex
	inForce        admin.Config
	err            error
	statusRequests int
	// confirmAt is the status request at which the last live peer confirms.
	confirmAt int
}

func (f *fakeInstance) Submit(_ context.Context, _ *config.Organisation, text []byte, basedOn uint64) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil {
		return 0, f.err
	}
	if basedOn != f.inForce.Version {
		return 0, &admin.ConflictError{InForce: f.inForce}
	}
	f.inForce = admin.Config{Version: basedOn + 1, Text: string(text)}
	return basedOn + 1, nil
}

func (f *fakeInstance) Config(context.Context, string) (admin.Config, error) { return f.inForce, nil }

func (f *fakeInstance) Status() admin.Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.statusRequests++
	n := f.inForce.Version
	v, old := map[string]uint64{"guild": n, "cooperative": 2}, map[string]uint64{"guild": n - min(n, 1)}
	last := old
	if f.statusRequests >= f.confirmAt {
		last = v
	}
	return admin.Status{
		InstanceID: "hobart-a-1", Incarnation: "6f1c", Region: "hobart", FailureDomain: "hobart-a", Ready: true, ConfigVersions: v,
		Peers: []admin.Peer{
			{InstanceID: "hobart-b-1", State: admin.PeerLive, ConfigVersions: v},
			{InstanceID: "burnie-a-1", State: admin.PeerLive, ConfigVersions: last},
			{InstanceID: "burnie-b-1", State: admin.PeerSuspect, ConfigVersions: old},
			{InstanceID: "launceston-a-1", State: admin.PeerLeaving},
		},
		Homes: []admin.Home{
			{Organisation: "guild", Service: "quotes", Upstream: "quote-01", Term: 12, State: "holding", Shards: 16, InFlight: 2, Queued: 130},
			{Organisation: "cooperative", Service: "dye-lots", Upstream: "dye-lot-03", Term: 1, State: "waiting"},
		},
	}
}

func (f *fakeInstance) Events() ([]event.Event, uint64) {
	w := time.UnixMilli(1767322800000)
	c := event.NewClock(func() time.Time { return w })
	a, b := event.New("hobart-a-1", 2, c), event.New("burnie-a-1", 2, c)
	for i := range 3 {
		a.Record("home-taken", "home/guild/quotes/quote-01", event.Int("term", i))
		b.Record("row-applied", "home/guild/quotes/quote-01", event.Int("version", i))
	}
	x, n := a.Events()
	y, _ := b.Events()
	return event.Merge(x, y), n
}

// invoke runs a command against f. It returns the command, its output and its
// exit code, with the address of the instance replaced.
func invoke(t *testing.T, f *fakeInstance, args string) string {
	t.Helper()
	s := httptest.NewServer(withFleet(admin.New(admin.Handler{
		Operators: []*config.Operator{{Organisation: "guild", CredentialSHA256: sha256.Sum256([]byte("a"))}},
		Submitter: f, Reporter: f, Timeline: f,
	})))
	defer s.Close()
	var out, errs bytes.Buffer
	p := Program{
		Out: &out, Err: &errs, Version: "v0.0.0",
		Getenv: func(k string) string { return map[string]string{"DANDELIONROCK_CREDENTIAL": "a\n"}[k] },
		Serve: func(_ context.Context, s *config.Settings) error {
			return errors.Newf("instance %s can't listen", s.InstanceID)
		},
	}
	n := p.Run(context.Background(), strings.Fields(strings.ReplaceAll(args, "URL", s.URL)))
	r := fmt.Sprintf("$ dandelionrock %s\n%sexit code %d\n", args, out.String(), n)
	if errs.Len() > 0 {
		r += "standard error:\n" + errs.String()
	}
	return strings.ReplaceAll(r, s.URL, "http://instance")
}

// Guards against changes to the output and exit codes that operators and
// scripts rely on.
func TestCommands(t *testing.T) {
	b, err := os.ReadFile(guildFile)
	if err != nil {
		t.Fatal(err)
	}
	same, newer := string(b), strings.Replace(string(b), `timeout = "2s"`, `timeout = "3s"`, 1)
	storeDown := errors.New("store is down")
	for _, c := range []struct {
		name, args string
		f          *fakeInstance
	}{
		{"help", "--help", &fakeInstance{}},
		{"help-submit", "submit --help", &fakeInstance{}},
		{"no-command", "", &fakeInstance{}},
		{"unknown-command", "start", &fakeInstance{}},
		{"unknown-option", "check --strict " + guildFile, &fakeInstance{}},
		{"extra-argument", "check " + guildFile + " " + guildFile, &fakeInstance{}},
		{"version", "version", &fakeInstance{}},
		{"serve", "serve --settings ../../examples/instance.toml", &fakeInstance{}},
		{"serve-faults", "serve --settings ../../config/testdata/settings/peer.toml", &fakeInstance{}},
		{"check", "check " + guildFile, &fakeInstance{}},
		{"check-settings", "check --settings ../../examples/instance.toml", &fakeInstance{}},
		{"check-faults", "check ../../config/testdata/organisation/dependency.toml", &fakeInstance{}},
		{"check-gateway", "check --gateway testdata/gateway.conf", &fakeInstance{}},
		{"check-gateway-memory", "check --gateway testdata/gateway-memory.conf", &fakeInstance{}},
		{"check-gateway-faults", "check --gateway testdata/gateway-faults.conf", &fakeInstance{}},
		{"check-in-force", "check testdata/organisation-next.toml --in-force testdata/organisation.toml", &fakeInstance{}},
		{"check-in-force-equal", "check testdata/organisation.toml --in-force testdata/organisation.toml", &fakeInstance{}},
		{"check-in-force-shards", "check testdata/organisation-shards.toml --in-force testdata/organisation.toml", &fakeInstance{}},
		{"check-two-kinds", "check --gateway --configuration testdata/configuration.json", &fakeInstance{}},
		{"check-settings-in-force", "check --gateway --in-force testdata/gateway.conf testdata/gateway.conf", &fakeInstance{}},
		{"check-no-configuration", "check --targets testdata/targets.json testdata/organisation.toml", &fakeInstance{}},
		{"check-configuration", "check --configuration testdata/configuration.json", &fakeInstance{}},
		{"check-configuration-known", "check --configuration testdata/configuration.json --instance-settings testdata/gateway.conf --targets testdata/targets.json", &fakeInstance{}},
		{"check-configuration-in-force", "check --configuration testdata/configuration-next.json --in-force testdata/configuration.json", &fakeInstance{}},
		{"check-configuration-equal", "check --configuration testdata/configuration.json --in-force testdata/configuration.json", &fakeInstance{}},
		{"check-configuration-refused", "check --configuration testdata/configuration-refused.json", &fakeInstance{}},
		{"check-configuration-no-json", "check --configuration testdata/gateway.conf --in-force testdata/configuration.json", &fakeInstance{}},
		{"check-configuration-empty", "check --configuration testdata/configuration-empty.json", &fakeInstance{}},
		{"check-configuration-type", "check --configuration testdata/configuration-type.json", &fakeInstance{}},
		{"check-configuration-no-retry", "check --configuration testdata/configuration.json --instance-settings testdata/gateway-no-retry.conf", &fakeInstance{}},
		{"check-configuration-faults", "check --configuration testdata/configuration-faults.json --in-force testdata/configuration.json --instance-settings testdata/gateway.conf --targets testdata/targets.json", &fakeInstance{}},
		{"check-configuration-targets", "check --configuration testdata/configuration.json --targets testdata/targets-first.json", &fakeInstance{}},
		{"fleet", "fleet --instance URL", &fakeInstance{}},
		{"fleet-agreeing", "fleet --instance URL/agreeing", &fakeInstance{}},
		{"fleet-json", "fleet --instance URL/two --json", &fakeInstance{}},
		{"fleet-busy", "fleet --instance URL/busy", &fakeInstance{}},
		{"fleet-busy-json", "fleet --instance URL/busy --json", &fakeInstance{}},
		{"fleet-bad-url", "fleet --instance 127.0.0.1", &fakeInstance{}},
		{"fleet-other-server", "fleet --instance URL/other", &fakeInstance{}},
		{"check-no-file", "check missing.toml", &fakeInstance{}},
		{"submit-first", "submit --instance URL " + guildFile, &fakeInstance{}},
		{"submit-based-on", "submit --instance URL --based-on 7 " + guildFile, &fakeInstance{inForce: admin.Config{Version: 7}}},
		{"submit-conflict", "submit --instance URL --based-on 7 " + guildFile, &fakeInstance{inForce: admin.Config{Version: 9, Text: newer}}},
		{"submit-again", "submit --instance URL --based-on 7 --wait " + guildFile, &fakeInstance{inForce: admin.Config{Version: 8, Text: same}}},
		{"submit-no-base", "submit --instance URL " + guildFile, &fakeInstance{inForce: admin.Config{Version: 9, Text: newer}}},
		{"submit-force-latest", "submit --instance URL --force-latest " + guildFile, &fakeInstance{inForce: admin.Config{Version: 9, Text: newer}}},
		{"submit-both-bases", "submit --instance URL --force-latest --based-on 1 " + guildFile, &fakeInstance{}},
		{"submit-faults", "submit --instance URL ../../config/testdata/organisation/fencing.toml", &fakeInstance{}},
		{"submit-refused", "submit --instance URL --based-on 0 " + guildFile, &fakeInstance{err: &config.Error{Faults: []config.Fault{{File: "guild.toml", Line: 16, Cause: "shard-count changes"}}}}},
		{"submit-not-run", "submit --instance URL --based-on 0 " + guildFile, &fakeInstance{err: errors.Mark(storeDown, admin.ErrNotRun)}},
		{"submit-unknown", "submit --instance URL --based-on 0 " + guildFile, &fakeInstance{err: storeDown}},
		{"submit-wrong-credential", "submit --instance URL --credential-file testdata/wrong-credential " + guildFile, &fakeInstance{}},
		{"submit-empty-credential", "submit --instance URL --credential-file " + os.DevNull + " " + guildFile, &fakeInstance{}},
		{"submit-other-organisation", "submit --instance URL ../../examples/cooperative.toml", &fakeInstance{}},
		{"submit-bad-url", "submit --instance 127.0.0.1:1 " + guildFile, &fakeInstance{}},
		{"submit-wait", "submit --instance URL --wait " + guildFile, &fakeInstance{confirmAt: 3}},
		{"submit-wait-limit", "submit --instance URL --wait --wait-limit 500ms " + guildFile, &fakeInstance{confirmAt: 1000}},
		{"submit-wait-no-status", "submit --instance URL --wait --wait-limit 1ns " + guildFile, &fakeInstance{}},
		{"status", "status --instance URL", &fakeInstance{}},
		{"status-no-credential", "status --instance URL --credential-file " + os.DevNull, &fakeInstance{}},
		{"status-wrong-credential", "status --instance URL --credential-file testdata/wrong-credential", &fakeInstance{}},
		{"status-json", "status --instance URL --format json", &fakeInstance{}},
		{"timeline", "timeline --instance URL --instance URL/", &fakeInstance{}},
		{"timeline-json", "timeline --instance URL --format json", &fakeInstance{}},
		{"timeline-partial", "timeline --instance URL --instance http://127.0.0.1:1", &fakeInstance{}},
	} {
		t.Run(c.name, func(t *testing.T) { goldie.New(t).Assert(t, c.name, []byte(invoke(t, c.f, c.args))) })
	}
}

// Guards against a wait that goes on after its context is cancelled.
func TestWaitInterrupted(t *testing.T) {
	x, cancel := context.WithCancel(context.Background())
	f := &fakeInstance{confirmAt: 1000}
	s := httptest.NewServer(admin.New(admin.Handler{Submitter: f, Reporter: f, Timeline: f}))
	defer s.Close()
	time.AfterFunc(50*time.Millisecond, cancel)
	w := &submit{r: &run{context: x}, WaitLimit: time.Hour}
	f.inForce.Version = 2
	if err := w.wait(&admin.Client{URL: s.URL, HTTP: s.Client()}, "guild", 2); !errors.Is(err, context.Canceled) {
		t.Fatalf("got %v, want Canceled", err)
	}
}
