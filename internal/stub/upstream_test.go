package stub

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"google.golang.org/protobuf/encoding/protojson"

	"dandelionrock.example/dandelionrock/config"
	"dandelionrock.example/dandelionrock/schema"
)

// client keeps no idle connections, whose goroutines goleak would report.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// ttl is the TTL of the grants of testHome.
const ttl = 600 * time.Millisecond

// testHome acts as the home of an upstream in one term.
type testHome struct {
	*testing.T
	*Upstream
	seq uint64
	// last is the last reply to a grant; nil before the greeting.
	last *schema.GrantReply
}

// startHome starts an upstream that is granted shard 7 in epoch 3.
func startHome(t *testing.T, c UpstreamConfig) *testHome {
	t.Helper()
	c.Name, c.Address = "quotes-1", "127.0.0.1:0"
	if c.Fencing == "" {
		c.Fencing = config.FencingChecked
	}
	u, err := NewUpstream(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := u.Close(); err != nil {
			t.Error(err)
		}
	})
	h := &testHome{T: t, Upstream: u}
	h.obtainGrant()
	return h
}

// obtainGrant sends a greeting and a grant, and expects that both are accepted.
func (h *testHome) obtainGrant() {
	h.last = nil
	for range 2 {
		if err := h.renew(); err != nil || !h.last.GetAccepted() {
			h.Fatalf("grant: %v, %v", h.last, err)
		}
	}
}

// renew sends a greeting if there is no previous reply, otherwise a grant.
func (h *testHome) renew() error {
	h.seq++
	m := &schema.GrantRequest{Upstream: "quotes-1", Term: 1, Sequence: h.seq}
	if h.last != nil {
		m.BootId, m.ReadingUs, m.TtlUs = h.last.GetBootId(), h.last.GetReadingUs(), ttl.Microseconds()
		m.Shards = []*schema.GrantedShard{{Shard: 7, Epoch: 3}}
	}
	b, _ := protojson.Marshal(m)
	a, err := client.Post(h.URL()+"/grant", "application/json", strings.NewReader(string(b)))
	if err != nil {
		return err
	}
	defer a.Body.Close()
	if b, err = io.ReadAll(a.Body); err != nil {
		return err
	}
	h.last = &schema.GrantReply{}
	return protojson.Unmarshal(b, h.last)
}

// result is the response to a request, or its error.
type result struct {
	status  int
	refused string
	id      string
	answer  Answer
	err     error
}

// send sends a request of shard 7, with id as its request id.
func (h *testHome) send(id string, epoch int, timeout string) (r result) {
	q, _ := http.NewRequestWithContext(h.Context(), http.MethodPost, h.URL()+"/translate", strings.NewReader("menu"))
	q.Header.Set(headerKey, "key-1")
	q.Header.Set(headerTerm, "1")
	q.Header.Set(headerShard, "7")
	q.Header.Set(headerEpoch, strconv.Itoa(epoch))
	q.Header.Set(headerRequestID, id)
	q.Header.Set(headerOrderID, "order-"+id)
	if timeout != "" {
		q.Header.Set(headerTimeout, timeout)
	}
	a, err := client.Do(q)
	if err != nil {
		return result{err: err}
	}
	defer a.Body.Close()
	r = result{status: a.StatusCode, refused: a.Header.Get(headerRefused), id: a.Header.Get(headerRequestID)}
	b, err := io.ReadAll(a.Body)
	if r.err = err; err == nil {
		r.err = json.Unmarshal(b, &r.answer)
	}
	return r
}

// startRequest sends request 1 and returns once it is executing.
func (h *testHome) startRequest() <-chan result {
	c := make(chan result, 1)
	go func() { c <- h.send("1", 3, "") }()
	for h.Runs().Executing == 0 {
		time.Sleep(time.Millisecond)
	}
	return c
}

// Guards against a run without a valid grant, a run that is counted twice or not at
// all, and a fault that has another effect than documented.
func TestUpstreamFaults(t *testing.T) {
	for _, x := range []struct {
		faults  string
		epoch   int
		timeout string
		status  int // 0 for a broken connection
		refused string
		runs    uint64
	}{
		{`{}`, 3, "", 200, "", 1},
		{`{}`, 3, "1s", 200, "", 1},
		{`{}`, 3, "5ms", 504, "", 0},
		{`{}`, 3, "soon", 400, "", 0},
		{`{}`, 2, "", 409, refusedStale, 0},
		{`{}`, 4, "", 409, refusedStale, 0},
		{`{"ignore-fences":true}`, 2, "", 200, "", 1},
		{`{"outage":true}`, 3, "", 0, "", 0},
		{`{"shed":true}`, 3, "", 503, refusedShed, 0},
		{`{"drain":true}`, 3, "", 503, refusedDraining, 0},
		{`{"lose-requests":1}`, 3, "", 0, "", 0},
		{`{"lose-answers":1}`, 3, "", 0, "", 1},
		{`{"late-runs":1,"late-ms":0}`, 3, "", 0, "", 1},
		{`{"late-runs":1,"late-ms":900}`, 3, "", 0, "", 0}, // the grant expires meanwhile
		{`{"cut-answers":1}`, 3, "", 0, "", 1},
		{`{"wrong-request-ids":1}`, 3, "", 200, "", 1},
		{`{"swap-answers":-1}`, 3, "", 200, "", 1},
		{`{"delay-answers-ms":20}`, 3, "", 200, "", 1},
		{`{"slow-ms":900}`, 3, "", 409, refusedStale, 0}, // the grant expires meanwhile
		{`{"freeze-ms":900}`, 3, "", 409, refusedStale, 0},
		{`{"restart":true}`, 3, "", 409, refusedStale, 0},
	} {
		t.Run(x.faults+x.refused+x.timeout, func(t *testing.T) {
			t.Parallel()
			h := startHome(t, UpstreamConfig{ServiceTime: Duration(20 * time.Millisecond)})
			changeFaults(t, h.URL(), http.MethodPost, x.faults)
			r := h.send("1", x.epoch, x.timeout)
			if x.status == 0 && r.err == nil || x.status != 0 && (r.status != x.status || r.refused != x.refused) {
				t.Errorf("result %+v, want status %d, refused %q", r, x.status, x.refused)
			}
			if id := strings.Contains(x.faults, "wrong"); x.status != 0 && (r.id == "1") == id {
				t.Errorf("request id %q, want 1 unless the fault changes it", r.id)
			}
			if a := r.answer; x.status == 200 && (a.RequestID != "1" || a.Key != "key-1" || a.OrderID != "order-1" || a.BodyBytes != 4) {
				t.Errorf("answer %+v", a)
			}
			if strings.Contains(x.faults, "late") {
				time.Sleep(time.Second)
			}
			if n := h.Runs(); n.Orders["order-1"] != x.runs || n.Keys["key-1"] != x.runs || n.Total != x.runs {
				t.Errorf("runs %+v, want %d", n, x.runs)
			}
		})
	}
}

// Guards against a restart that begins only after the response to the call that
// caused it: the next request would reach the upstream before or during the restart.
func TestFaultsBeginBeforeResponse(t *testing.T) {
	h := startHome(t, UpstreamConfig{})
	for range 200 {
		h.obtainGrant()
		b := h.last.GetBootId()
		changeFaults(t, h.URL(), http.MethodPost, `{"restart":true}`)
		if err := h.renew(); err != nil || h.last.GetBootId() == b {
			t.Fatalf("grant after a restart: %v, %v", h.last, err)
		}
	}
}

// Guards against a grant that is in force after it has waited in the buffers of a
// frozen upstream for longer than its TTL. Also guards against a request that was
// executing before the freeze and takes effect after it.
func TestFreeze(t *testing.T) {
	h := startHome(t, UpstreamConfig{ServiceTime: Duration(200 * time.Millisecond)})
	c := h.startRequest()
	n := time.Now()
	h.SetFaults(UpstreamFaults{FreezeMs: 800})
	if err := h.renew(); err != nil || time.Since(n) < 790*time.Millisecond {
		t.Errorf("response to the grant after %v, %v", time.Since(n), err)
	}
	for _, r := range []result{<-c, h.send("2", 3, "")} {
		if r.refused != refusedStale {
			t.Errorf("result %+v, want refusal as stale", r)
		}
	}
	if err := h.renew(); err != nil {
		t.Error(err)
	}
	if r := h.send("3", 3, ""); r.status != 200 {
		t.Errorf("result %+v after a new grant", r)
	}
}

// Guards against a restarted upstream that keeps its grants, its term or its boot id,
// or completes a request from before the restart.
func TestRestart(t *testing.T) {
	h := startHome(t, UpstreamConfig{ServiceTime: Duration(200 * time.Millisecond)})
	i := h.last.GetBootId()
	c := h.startRequest()
	h.SetFaults(UpstreamFaults{Restart: true})
	if r := <-c; r.err == nil || h.Runs().Total != 0 {
		t.Errorf("request survived the restart: %+v", r)
	}
	h.obtainGrant()
	if h.last.GetBootId() == i {
		t.Error("boot id did not change")
	}
}

// Guards against more concurrent executions than slots, and against a request that
// is neither executed nor refused.
func TestSlots(t *testing.T) {
	h := startHome(t, UpstreamConfig{Fencing: config.FencingNone, ServiceTime: Duration(20 * time.Millisecond), Queue: 3})
	var g sync.WaitGroup
	for i := range 20 {
		g.Go(func() { h.send(strconv.Itoa(i), 0, "") })
	}
	g.Wait()
	r := h.Runs()
	if r.MaxExecuting != 2 || r.Total < 5 || r.Total+r.Refused[refusedShed] != 20 {
		t.Errorf("%+v", r)
	}
	for i, n := range r.Orders {
		if n != 1 {
			t.Errorf("order %s ran %d times", i, n)
		}
	}
}

// Guards against a cancelled request that counts as a run.
func TestCancelledRequest(t *testing.T) {
	h := startHome(t, UpstreamConfig{Fencing: config.FencingNone, ServiceTime: Duration(time.Minute)})
	q, cancel := context.WithCancel(t.Context())
	defer cancel()
	x, err := http.NewRequestWithContext(q, http.MethodGet, h.URL()+"/", nil)
	if err != nil {
		t.Fatal(err)
	}
	failed := make(chan error, 1)
	go func() {
		_, err := client.Do(x)
		failed <- err
	}()
	await := func(state string, reached func(Runs) bool) {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); !reached(h.Runs()); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("not %s: %+v", state, h.Runs())
			}
		}
	}
	await("executing", func(r Runs) bool { return r.Executing == 1 })
	cancel()
	if err := <-failed; !errors.Is(err, context.Canceled) {
		t.Errorf("%v, want the cancellation", err)
	}
	await("cancelled", func(r Runs) bool { return r.Cancelled == 1 && r.Executing == 0 })
	if r := h.Runs(); r.Total != 0 {
		t.Errorf("cancelled request: %+v", r)
	}
}

// Guards against a fault SwapAnswers that exchanges nothing: tests that use it would
// then not show whether a caller can get the response to another request.
func TestSwap(t *testing.T) {
	h := startHome(t, UpstreamConfig{Fencing: config.FencingNone})
	h.SetFaults(UpstreamFaults{SwapAnswers: 2})
	c := make(chan result, 1)
	go func() { c <- h.send("1", 0, "") }()
	b, a := h.send("2", 0, ""), <-c
	if a.id != "2" || b.id != "1" || a.answer.RequestID != "2" {
		t.Errorf("request 1 got %+v, 2 got %+v", a, b)
	}
}

// Guards against an upstream that drains and does not report it to its home, or
// reports it by its health. Also guards against faults of the reported load, of the
// health and of grants that have no effect.
func TestReports(t *testing.T) {
	h := startHome(t, UpstreamConfig{DrainTime: Duration(time.Second), ServiceTime: Duration(100 * time.Millisecond)})
	changeFaults(t, h.URL(), http.MethodPost, `{"drain":true,"report-load":0.25}`)
	if err := h.renew(); err != nil || !h.last.GetDraining() || h.last.GetLoad() != 0.25 {
		t.Errorf("grant: %v, %v", h.last, err)
	}
	for path, want := range map[string]string{"/health": `{"status":"fine"}`, "/load": `"load":0.25`, "/runs": `"total":0`} {
		if s := get(t, h.URL()+path); !strings.Contains(s, want) {
			t.Errorf("%s: %s, want %s", path, s, want)
		}
	}
	h.SetFaults(UpstreamFaults{LoseGrantAnswers: 1, LoadLagMs: 10_000, ReportHealth: "failing"})
	if err := h.renew(); err == nil {
		t.Error("got a response to the grant, want none")
	}
	if s := get(t, h.URL()+"/health"); !strings.Contains(s, "failing") {
		t.Error(s)
	}
	l := reportedLoad(t, h.URL())
	h.send("1", 3, "")
	if s := reportedLoad(t, h.URL()); s != l {
		t.Errorf("load %s, want %s as before", s, l)
	}
	h.SetFaults(UpstreamFaults{SlowGrantsMs: 50})
	if s := reportedLoad(t, h.URL()); s == l {
		t.Errorf("load %s did not change", s)
	}
	n := time.Now()
	if err := h.renew(); err != nil || time.Since(n) < 50*time.Millisecond {
		t.Errorf("response to the slow grant after %v, %v", time.Since(n), err)
	}
}

// reportedLoad returns the member "load" of /load alone, since the number of
// connections in the same object doesn't lag.
func reportedLoad(t *testing.T, url string) string {
	t.Helper()
	var m map[string]json.RawMessage
	if err := json.Unmarshal([]byte(get(t, url+"/load")), &m); err != nil {
		t.Fatal(err)
	}
	return string(m["load"])
}

func get(t *testing.T, url string) string {
	t.Helper()
	a, err := client.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// Guards against upstreams that differ from their configuration in the file, and
// against an upstream that can't be controlled while it is frozen.
func TestGroup(t *testing.T) {
	f := filepath.Join(t.TempDir(), "guild.toml")
	if err := os.WriteFile(f, []byte(`organisation = "guild"
[[services]]
name = "quotes"
[[services.upstreams]]
name = "quotes-1"
address = "127.0.0.1:0"
fencing = "none"
delay = "20ms"
[[services.upstreams]]
name = "quotes-2"
address = "127.0.0.1:0"
fencing = "checked"
slots = 3
`), 0o600); err != nil {
		t.Fatal(err)
	}
	l, err := ReadUpstreams(f, UpstreamConfig{Slots: 1, Connections: 1})
	if err != nil || len(l) != 2 || l[0].Slots != 1 || l[1].Slots != 3 || l[0].Fencing != config.FencingNone {
		t.Fatalf("%+v, %v", l, err)
	}
	g, err := NewGroup("127.0.0.1:0", l)
	if err != nil {
		t.Fatal(err)
	}
	h := &testHome{T: t, Upstream: g.Upstreams()[0]}
	n := time.Now()
	if r := h.send("1", 0, ""); r.status != 200 || time.Since(n) < 40*time.Millisecond {
		t.Errorf("result %+v after %v, want a response after twice the latency", r, time.Since(n))
	}
	u := "http://" + g.ControlAddress()
	changeFaults(t, u+"/upstreams/quotes-2", http.MethodPost, `{"freeze-ms":60000}`)
	if s := get(t, u+"/upstreams/quotes-2/health"); !strings.Contains(s, "fine") {
		t.Error(s)
	}
	if s := get(t, u+"/runs"); !strings.Contains(s, `"orders":{"order-1":1}`) {
		t.Error(s)
	}
	if err := g.Close(); err != nil {
		t.Error(err)
	}
}
