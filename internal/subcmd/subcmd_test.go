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

const guild = "../../examples/guild.toml"

// fake is an instance whose peers confirm a version after some readings of
// the status.
type fake struct {
	mu       sync.Mutex
	inForce  admin.Config
	err      error
	readings int
	// confirmAt is the reading at which the last live peer confirms.
	confirmAt int
}

func (f *fake) Submit(_ context.Context, _ *config.Organisation, text []byte, basedOn uint64) (uint64, error) {
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

func (f *fake) Config(context.Context, string) (admin.Config, error) { return f.inForce, nil }

func (f *fake) Status() admin.Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readings++
	n := f.inForce.Version
	v, old := map[string]uint64{"guild": n, "cooperative": 2}, map[string]uint64{"guild": n - min(n, 1)}
	last := old
	if f.readings >= f.confirmAt {
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

func (f *fake) Events() ([]event.Event, uint64) {
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

// invoke runs a program against an instance. It returns the exit code and what
// was written, with the address of the instance replaced.
func invoke(t *testing.T, f *fake, args string) string {
	t.Helper()
	s := httptest.NewServer(admin.New(admin.Handler{
		Operators: []*config.Operator{{Organisation: "guild", CredentialSHA256: sha256.Sum256([]byte("a"))}},
		Submitter: f, Reporter: f, Timeline: f,
	}))
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

// Guards against changes of the output and exit codes that operators and
// scripts rely on.
func TestCommands(t *testing.T) {
	b, err := os.ReadFile(guild)
	if err != nil {
		t.Fatal(err)
	}
	same, newer := string(b), strings.Replace(string(b), `timeout = "2s"`, `timeout = "3s"`, 1)
	bad := errors.New("store is down")
	for _, c := range []struct {
		name, args string
		f          *fake
	}{
		{"help", "--help", &fake{}},
		{"help-submit", "submit --help", &fake{}},
		{"no-command", "", &fake{}},
		{"unknown-command", "start", &fake{}},
		{"unknown-option", "check --strict " + guild, &fake{}},
		{"extra-argument", "check " + guild + " " + guild, &fake{}},
		{"version", "version", &fake{}},
		{"serve", "serve --settings ../../examples/instance.toml", &fake{}},
		{"serve-faults", "serve --settings ../../config/testdata/settings/peer.toml", &fake{}},
		{"check", "check " + guild, &fake{}},
		{"check-settings", "check --settings ../../examples/instance.toml", &fake{}},
		{"check-faults", "check ../../config/testdata/organisation/dependency.toml", &fake{}},
		{"check-no-file", "check missing.toml", &fake{}},
		{"submit-first", "submit --instance URL " + guild, &fake{}},
		{"submit-based-on", "submit --instance URL --based-on 7 " + guild, &fake{inForce: admin.Config{Version: 7}}},
		{"submit-conflict", "submit --instance URL --based-on 7 " + guild, &fake{inForce: admin.Config{Version: 9, Text: newer}}},
		{"submit-again", "submit --instance URL --based-on 7 --wait " + guild, &fake{inForce: admin.Config{Version: 8, Text: same}}},
		{"submit-no-base", "submit --instance URL " + guild, &fake{inForce: admin.Config{Version: 9, Text: newer}}},
		{"submit-force-latest", "submit --instance URL --force-latest " + guild, &fake{inForce: admin.Config{Version: 9, Text: newer}}},
		{"submit-both-bases", "submit --instance URL --force-latest --based-on 1 " + guild, &fake{}},
		{"submit-faults", "submit --instance URL ../../config/testdata/organisation/fencing.toml", &fake{}},
		{"submit-refused", "submit --instance URL --based-on 0 " + guild, &fake{err: &config.Error{Faults: []config.Fault{{File: "guild.toml", Line: 16, Cause: "shard-count changes"}}}}},
		{"submit-not-run", "submit --instance URL --based-on 0 " + guild, &fake{err: errors.Mark(bad, admin.ErrNotRun)}},
		{"submit-unknown", "submit --instance URL --based-on 0 " + guild, &fake{err: bad}},
		{"submit-wrong-credential", "submit --instance URL --credential-file testdata/wrong-credential " + guild, &fake{}},
		{"submit-empty-credential", "submit --instance URL --credential-file " + os.DevNull + " " + guild, &fake{}},
		{"submit-other-organisation", "submit --instance URL ../../examples/cooperative.toml", &fake{}},
		{"submit-bad-url", "submit --instance 127.0.0.1:1 " + guild, &fake{}},
		{"submit-wait", "submit --instance URL --wait " + guild, &fake{confirmAt: 3}},
		{"submit-wait-limit", "submit --instance URL --wait --wait-limit 500ms " + guild, &fake{confirmAt: 1000}},
		{"submit-wait-no-status", "submit --instance URL --wait --wait-limit 1ns " + guild, &fake{}},
		{"status", "status --instance URL", &fake{}},
		{"status-no-credential", "status --instance URL --credential-file " + os.DevNull, &fake{}},
		{"status-wrong-credential", "status --instance URL --credential-file testdata/wrong-credential", &fake{}},
		{"status-json", "status --instance URL --format json", &fake{}},
		{"timeline", "timeline --instance URL --instance URL/", &fake{}},
		{"timeline-json", "timeline --instance URL --format json", &fake{}},
		{"timeline-partial", "timeline --instance URL --instance http://127.0.0.1:1", &fake{}},
	} {
		t.Run(c.name, func(t *testing.T) { goldie.New(t).Assert(t, c.name, []byte(invoke(t, c.f, c.args))) })
	}
}

// Guards against a wait that ignores an interrupt.
func TestWaitInterrupted(t *testing.T) {
	x, cancel := context.WithCancel(context.Background())
	f := &fake{confirmAt: 1000}
	s := httptest.NewServer(admin.New(admin.Handler{Submitter: f, Reporter: f, Timeline: f}))
	defer s.Close()
	time.AfterFunc(50*time.Millisecond, cancel)
	w := &submit{r: &run{context: x}, WaitLimit: time.Hour}
	f.inForce.Version = 2
	if err := w.wait(&admin.Client{URL: s.URL, HTTP: s.Client()}, "guild", 2); !errors.Is(err, context.Canceled) {
		t.Fatalf("got %v, want Canceled", err)
	}
}
