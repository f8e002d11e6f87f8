package admin

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/config"
	"dandelionrock.example/dandelionrock/event"
	"github.com/cockroachdb/errors"
	"github.com/sebdah/goldie/v2"
)

// fakeInstance returns a fixed error, which may be nil, and counts the submits.
type fakeInstance struct {
	err     error
	submits int
}

func (f *fakeInstance) Submit(_ context.Context, _ *config.Organisation, _ []byte, basedOn uint64) (uint64, error) {
	f.submits++
	return basedOn + 1, f.err
}

func (f *fakeInstance) Config(_ context.Context, organisation string) (Config, error) {
	return Config{Version: 7, Text: organisation + " <text>"}, f.err
}

func (f *fakeInstance) Status() Status {
	return Status{InstanceID: "hobart-a-1", Ready: true, ConfigVersions: map[string]uint64{"guild": 7}}
}

func (f *fakeInstance) Events() ([]event.Event, uint64) {
	return []event.Event{
		{Clock: 1 << 40, InstanceID: "hobart-a-1", Kind: "instance-suspect", Subject: "hobart-b-1"},
		{Clock: 1<<40 + 1, InstanceID: "hobart-a-1", Kind: "home-started", Subject: "home/guild/quotes/quote-01"},
		{Clock: 1<<40 + 2, InstanceID: "hobart-a-1", Kind: "rebalance-proposed", Subject: "cooperative/stock"},
		{Clock: 1<<40 + 3, InstanceID: "hobart-a-1", Kind: "config-accepted", Subject: "config/cooperative"},
	}, 3
}

func operators() []*config.Operator {
	return []*config.Operator{
		{Organisation: "guild", CredentialSHA256: sha256.Sum256([]byte("a"))},
		{Organisation: "cooperative", CredentialSHA256: sha256.Sum256([]byte("b"))},
	}
}

func guildText(t *testing.T) []byte {
	t.Helper()
	b, err := os.ReadFile("../../examples/guild.toml")
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Guards against answers that differ from the documented ones, a change by an
// operator of another organisation, a status or timeline that shows data of
// another organisation, and a refused text that is stored.
func TestAnswers(t *testing.T) {
	g := string(guildText(t))
	storeDown, conflict := errors.New("store is down"), &ConflictError{Config{Version: 9, Text: "newer"}}
	faults := &config.Error{Faults: []config.Fault{{File: "guild.toml", Line: 3, Cause: "shard-count changes"}}}
	var out bytes.Buffer
	for _, c := range []struct {
		name, method, path, credential, based, body string
		err                                         error
		submits                                     int
	}{
		{"accepted", "PUT", "config/guild", "Bearer a", "7", g, nil, 1},
		{"conflict", "PUT", "config/guild", "Bearer a", "7", g, conflict, 1},
		{"refused-change", "PUT", "config/guild", "Bearer a", "7", g, faults, 1},
		{"not-run", "PUT", "config/guild", "Bearer a", "7", g, errors.Mark(storeDown, ErrNotRun), 1},
		{"unknown", "PUT", "config/guild", "Bearer a", "7", g, storeDown, 1},
		{"faults", "PUT", "config/guild", "Bearer a", "7", "a = 1", nil, 0},
		{"other-text", "PUT", "config/cooperative", "Bearer b", "7", g, nil, 0},
		{"too-large", "PUT", "config/guild", "Bearer a", "7", strings.Repeat("#", int(config.MaxText)+1), nil, 0},
		{"no-base", "PUT", "config/guild", "Bearer a", "", g, nil, 0},
		{"no-credential", "PUT", "config/guild", "", "7", g, nil, 0},
		{"no-bearer", "PUT", "config/guild", "a", "7", g, nil, 0},
		{"wrong-credential", "PUT", "config/guild", "Bearer c", "7", g, nil, 0},
		{"other-organisation", "PUT", "config/guild", "Bearer b", "7", g, nil, 0},
		{"get", "GET", "config/guild", "Bearer a", "", "", nil, 0},
		{"get-other-organisation", "GET", "config/cooperative", "Bearer a", "", "", nil, 0},
		{"get-store-down", "GET", "config/guild", "Bearer a", "", "", storeDown, 0},
		{"status", "GET", "status", "Bearer a", "", "", nil, 0},
		{"status-other-organisation", "GET", "status", "Bearer b", "", "", nil, 0},
		{"status-no-credential", "GET", "status", "", "", "", nil, 0},
		{"timeline", "GET", "timeline", "Bearer a", "", "", nil, 0},
		{"timeline-other-organisation", "GET", "timeline", "Bearer b", "", "", nil, 0},
		{"timeline-wrong-credential", "GET", "timeline", "Bearer c", "", "", nil, 0},
	} {
		f := &fakeInstance{err: c.err}
		r := httptest.NewRequest(c.method, "/operate/"+c.path, strings.NewReader(c.body))
		r.Header.Set("Authorization", c.credential)
		r.Header.Set(BasedOnHeader, c.based)
		w := httptest.NewRecorder()
		New(Handler{operators(), f, f, f}).ServeHTTP(w, r)
		fmt.Fprintf(&out, "%s %d %s %s\n%s", c.name, w.Code, w.Header().Get("Content-Type"), w.Header().Get(OverwrittenHeader), w.Body)
		if f.submits != c.submits {
			t.Errorf("%s: %d submits, want %d", c.name, f.submits, c.submits)
		}
	}
	goldie.New(t).Assert(t, "answers", out.Bytes())
}

// Guards against a client that mistakes the outcome that an answer states.
func TestClientErrors(t *testing.T) {
	conflict := &ConflictError{Config{Version: 9, Text: "newer"}}
	faults := &config.Error{Faults: []config.Fault{{File: "guild.toml", Line: 3, Cause: "shard-count changes"}}}
	for _, c := range []struct {
		name       string
		err        error
		credential string
		matches    func(error) bool
	}{
		{"accepted", nil, "a", func(e error) bool { return e == nil }},
		{"conflict", conflict, "a", func(e error) bool {
			var x *ConflictError
			return errors.As(e, &x) && x.InForce == conflict.InForce
		}},
		{"faults", faults, "a", func(e error) bool {
			var x *config.Error
			return errors.As(e, &x) && x.Error() == faults.Error()
		}},
		{"not run", ErrNotRun, "a", func(e error) bool { return errors.Is(e, ErrNotRun) && !errors.Is(e, ErrUnknown) }},
		{"unknown", io.ErrUnexpectedEOF, "a", func(e error) bool { return errors.Is(e, ErrUnknown) && !errors.Is(e, ErrNotRun) }},
		{"refused", nil, "c", func(e error) bool { return errors.Is(e, ErrNotRun) }},
	} {
		f := &fakeInstance{err: c.err}
		s := httptest.NewServer(New(Handler{operators(), f, f, f}))
		x := &Client{URL: s.URL + "/", Credential: c.credential, HTTP: s.Client()}
		if _, err := x.Submit(context.Background(), "guild", guildText(t), 7); !c.matches(err) {
			t.Errorf("%s: got %v", c.name, err)
		}
		s.Close()
		if _, err := x.Submit(context.Background(), "guild", guildText(t), 7); !errors.Is(err, ErrNotRun) {
			t.Errorf("%s: without a server: got %v, want ErrNotRun", c.name, err)
		}
	}
}

// Guards against a submit that is reported as run or not run although the answer
// is late, incomplete or not from an instance.
func TestClientUnknown(t *testing.T) {
	for n, h := range map[string]http.HandlerFunc{
		"aborted":         func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"late":            func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"empty":           func(http.ResponseWriter, *http.Request) {},
		"bad gateway":     func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "gateway", http.StatusBadGateway) },
		"request timeout": func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "proxy", http.StatusRequestTimeout) },
	} {
		s := httptest.NewServer(h)
		x := &Client{URL: s.URL, HTTP: s.Client()}
		x.HTTP.Timeout = 100 * time.Millisecond
		if _, err := x.Submit(context.Background(), "guild", nil, 7); !errors.Is(err, ErrUnknown) {
			t.Errorf("%s: got %v, want ErrUnknown", n, err)
		}
		s.Close()
	}
}
