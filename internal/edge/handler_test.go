package edge

import (
	"bufio"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/config"
	"dandelionrock.example/dandelionrock/limit"
	"dandelionrock.example/dandelionrock/schema"
)

type directory map[string]*config.Organisation

func (d directory) Organisation(name string) *config.Organisation { return d[name] }

type forwarder func(c context.Context, r *schema.ForwardRequest) *schema.ForwardReply

func (f forwarder) Forward(c context.Context, r *schema.ForwardRequest) *schema.ForwardReply {
	return f(c, r)
}

// guild returns a directory with one organisation.
func guild() directory {
	return directory{"guild": {
		Name: "guild",
		Services: []*config.Service{
			{Name: "orders", Timeout: time.Second, MaxTimeout: 2 * time.Second, MaxBody: 16},
			{Name: "quotes", Timeout: time.Second, MaxTimeout: 2 * time.Second, MaxBody: 16, Idempotent: true},
		},
		Accounts: []*config.Account{
			{Name: "web", CredentialSHA256: sha256.Sum256([]byte("secret")), Services: []string{"orders"}, Weight: 1},
			{Name: "slow", CredentialSHA256: sha256.Sum256([]byte("token")), Services: []string{"orders"}, Weight: 1, Rate: 0.01},
		},
	}}
}

// start serves requests for the organisation guild, forwards them to f and
// returns the address of the server.
func start(t testing.TB, f forwarder) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := NewHandler(Options{Instance: "i1", Directory: guild(), Forwarder: f, Limiter: limit.New[AccountKey](limit.Options{})})
	s := NewServer(l, h)
	s.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(204) })
	go s.Start(context.Background())
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		_ = s.Stop(context.Background())
		h.Close()
	})
	return l.Addr().String()
}

// send writes a raw request to a new connection and returns the answer and its
// body.
func send(t *testing.T, address, text string) (*http.Response, string) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = io.WriteString(c, strings.ReplaceAll(text, "\n", "\r\n"))
	method, _, _ := strings.Cut(text, " ")
	r, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		t.Fatalf("%q: %v", text, err)
	}
	b, _ := io.ReadAll(r.Body)
	return r, string(b)
}

// answer returns an answered outcome with the body of the request and with
// headers that the handler must not pass on.
func answer(_ context.Context, r *schema.ForwardRequest) *schema.ForwardReply {
	return &schema.ForwardReply{Outcome: schema.Outcome_OUTCOME_ANSWERED, Status: 201, Body: r.Body, Upstream: "u1", Epoch: 3, Home: "i2", Headers: []*schema.HeaderField{
		{Name: "X-A", Value: "b"}, {Name: "Connection", Value: "x"}, {Name: "dandelionrock-outcome", Value: "forged"}, {Name: "Content-Length", Value: "99"},
	}}
}

const credential = "Host: x\nAuthorization: Bearer secret\n"

// Guards against invalid requests that are forwarded, or refused with the wrong
// status or reason.
func TestRefusals(t *testing.T) {
	forwarded := false
	a := start(t, func(c context.Context, r *schema.ForwardRequest) *schema.ForwardReply {
		forwarded = true
		return answer(c, r)
	})
	for _, tc := range []struct {
		text   string
		status int
		reason string
	}{
		{"GET /other/orders/a HTTP/1.1\n" + credential + "\n", 404, "unknown-organisation"},
		{"GET /guild/other/a HTTP/1.1\n" + credential + "\n", 404, "unknown-service"},
		{"GET /guild/quotes/a HTTP/1.1\n" + credential + "\n", 403, "service-not-allowed"},
		{"GET /guild/orders/a HTTP/1.1\nHost: x\n\n", 401, "unauthorised"},
		{"GET /guild/orders/a HTTP/1.1\nHost: x\nAuthorization: Bearer other\n\n", 401, "unauthorised"},
		{"GET /guild/orders/a HTTP/1.1\nHost: x\nAuthorization: Bearer \n\n", 401, "unauthorised"},
		{"GET /guild/orders/a HTTP/1.1\n" + credential + "\n", 400, "no-key"},
		{"GET /guild/orders/a HTTP/1.1\n" + credential + "dandelionrock-key: " + strings.Repeat("k", 2000) + "\n\n", 400, "bad-key"},
		{"GET /guild/orders/a HTTP/1.1\n" + credential + "dandelionrock-key: k\nX-A: \xff\n\n", 400, "bad-header"},
		{"GET /guild/orders/a HTTP/1.1\n" + credential + "dandelionrock-key: k\ndandelionrock-timeout: 5\n\n", 400, "bad-timeout"},
		{"GET /guild/orders/a HTTP/1.1\n" + credential + "dandelionrock-key: k\ndandelionrock-attempt: 0\n\n", 400, "bad-attempt"},
		{"POST /guild/orders/a HTTP/1.1\n" + credential + "dandelionrock-key: k\nContent-Length: 17\n\n12345678901234567", 413, "too-large"},
		{"POST /guild/orders/a HTTP/1.1\n" + credential + "dandelionrock-key: k\nTransfer-Encoding: chunked\n\n11\n12345678901234567\n0\n\n", 413, "too-large"},
		{"POST /guild/orders/a HTTP/1.1\n" + credential + "dandelionrock-key: k\ndandelionrock-timeout: 50ms\nContent-Length: 9\n\nslow", 504, "deadline"},
		{"POST /guild/orders/a HTTP/1.1\n" + credential + "dandelionrock-key: k\nTransfer-Encoding: chunked\n\nxyz\n", 400, "bad-body"},
	} {
		r, b := send(t, a, tc.text)
		if r.StatusCode != tc.status || r.Header.Get("dandelionrock-reason") != tc.reason || r.Header.Get("dandelionrock-outcome") != "not-run" || strings.Count(b, "\n") != 1 {
			t.Errorf("%.80q: %d %v %q, want %d %s", tc.text, r.StatusCode, r.Header, b, tc.status, tc.reason)
		}
	}
	if forwarded {
		t.Error("a refused request was forwarded")
	}
}

// Guards against headers that are lost, forged by the upstream or passed on
// although they concern only the router or one connection, and against paths that
// are changed.
func TestPassedOn(t *testing.T) {
	var got *schema.ForwardRequest
	a := start(t, func(c context.Context, r *schema.ForwardRequest) *schema.ForwardReply {
		got = r
		return answer(c, r)
	})
	r, b := send(t, a, "POST /guild/orders//a/../b%2F?c=d HTTP/1.1\n"+credential+`dandelionrock-key: k
dandelionrock-order-id: o
dandelionrock-attempt: 2
dandelionrock-term: 99
X-Caller: 1
X-Named: 1
Connection: x-named
Content-Length: 4

body`)
	if r.StatusCode != 201 || b != "body" || r.ContentLength != 4 {
		t.Errorf("answer has status %d, %d bytes, body %q", r.StatusCode, r.ContentLength, b)
	}
	for k, v := range map[string]string{
		"Outcome": "answered", "Upstream": "u1", "Epoch": "3", "Home": "i2", "Entry": "i1", "Request-Id": got.RequestId, "Reason": "",
	} {
		if w := strings.Join(r.Header.Values("dandelionrock-"+k), ","); w != v {
			t.Errorf("header %s is %q, want %q", k, w, v)
		}
	}
	if r.Header.Get("X-A") != "b" || r.Header.Get("Connection") != "" || r.Header.Get("Content-Type") != "" {
		t.Errorf("answer has headers %v", r.Header)
	}
	if got.Path != "//a/../b%2F?c=d" || got.Key != "k" || got.OrderId != "o" || got.Attempt != 2 || got.Idempotent || got.ClientAccount != "web" {
		t.Errorf("forwarded %v", got)
	}
	if len(got.Headers) != 1 || got.Headers[0].Name != "X-Caller" {
		t.Errorf("forwarded headers %v, want X-Caller", got.Headers)
	}
	r, _ = send(t, a, "HEAD /guild/orders?x HTTP/1.1\n"+credential+"dandelionrock-order-id: o\n\n")
	if got.Path != "/?x" || got.Key != "o" || !got.Idempotent || r.ContentLength != 99 {
		t.Errorf("forwarded %v, length %d", got, r.ContentLength)
	}
}

// Guards against operator paths that are handled as requests of callers, and
// against paths of neither kind that are not refused.
func TestOperatorPaths(t *testing.T) {
	a := start(t, answer)
	for path, want := range map[string]int{"/healthz": 204, "/debug/vars": 404, "/operate/none": 404, "/guild": 400, "/": 400, "/guild/": 400} {
		if r, _ := send(t, a, "GET "+path+" HTTP/1.1\nHost: x\n\n"); r.StatusCode != want {
			t.Errorf("%s: %d, want %d", path, r.StatusCode, want)
		}
	}
}

// Guards against outcomes that are written with the wrong status, and against a
// caller that gets no outcome by its deadline because the Forwarder is late.
func TestOutcomes(t *testing.T) {
	var reply *schema.ForwardReply
	release := make(chan struct{})
	a := start(t, func(context.Context, *schema.ForwardRequest) *schema.ForwardReply {
		if reply == nil {
			<-release
		}
		return reply
	})
	for _, tc := range []struct {
		reply   *schema.ForwardReply
		status  int
		outcome string
	}{
		{&schema.ForwardReply{Outcome: schema.Outcome_OUTCOME_NOT_RUN, Reason: "draining"}, 503, "not-run"},
		{&schema.ForwardReply{Outcome: schema.Outcome_OUTCOME_NOT_RUN, Reason: "deadline"}, 504, "not-run"},
		{&schema.ForwardReply{Outcome: schema.Outcome_OUTCOME_NOT_RUN, Reason: "mismatch", Status: 409}, 409, "not-run"},
		{&schema.ForwardReply{Outcome: schema.Outcome_OUTCOME_UNKNOWN, Reason: "interrupted"}, 502, "unknown"},
		{&schema.ForwardReply{}, 502, "unknown"},
		{&schema.ForwardReply{Outcome: schema.Outcome_OUTCOME_ANSWERED, Status: 7}, 502, "unknown"},
		{&schema.ForwardReply{Outcome: schema.Outcome_OUTCOME_ANSWERED, Status: 101}, 502, "unknown"},
		{&schema.ForwardReply{Outcome: schema.Outcome_OUTCOME_ANSWERED, Status: 600}, 502, "unknown"},
		{&schema.ForwardReply{Outcome: schema.Outcome_OUTCOME_ANSWERED, Status: 599}, 599, "answered"},
		{&schema.ForwardReply{Outcome: schema.Outcome_OUTCOME_ANSWERED, Status: 204}, 204, "answered"},
		{nil, 502, "unknown"},
	} {
		reply = tc.reply
		begin := time.Now()
		r, _ := send(t, a, "POST /guild/orders/a HTTP/1.1\n"+credential+"dandelionrock-key: k\ndandelionrock-timeout: 100ms\nContent-Length: 0\n\n")
		if r.StatusCode != tc.status || r.Header.Get("dandelionrock-outcome") != tc.outcome || time.Since(begin) > time.Second {
			t.Errorf("%v: %d %v after %v", tc.reply, r.StatusCode, r.Header, time.Since(begin))
		}
	}
	close(release)
}

// Guards against accounts that exceed their limits, and against requests that
// continue after the caller has closed its connection.
func TestLimitsAndCancellation(t *testing.T) {
	cancelled := make(chan struct{})
	a := start(t, func(c context.Context, r *schema.ForwardRequest) *schema.ForwardReply {
		if r.Method == "PUT" {
			<-c.Done()
			close(cancelled)
		}
		return answer(c, r)
	})
	limited := "GET /guild/orders/a HTTP/1.1\nHost: x\nAuthorization: bearer token\ndandelionrock-key: k\n\n"
	for i, want := range []int{201, 429} {
		if r, _ := send(t, a, limited); r.StatusCode != want {
			t.Errorf("request %d: %d, want %d", i, r.StatusCode, want)
		}
	}
	c, _ := net.Dial("tcp", a)
	begin := time.Now()
	fmt.Fprint(c, "PUT /guild/orders/a HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\ndandelionrock-key: k\r\nContent-Length: 1\r\n\r\nx")
	time.Sleep(20 * time.Millisecond)
	c.Close()
	if <-cancelled; time.Since(begin) > 900*time.Millisecond {
		t.Error("the request was not cancelled before its deadline")
	}
}

func BenchmarkHandler(b *testing.B) {
	a := start(b, answer)
	k := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	defer k.CloseIdleConnections()
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			q, _ := http.NewRequest("GET", "http://"+a+"/guild/orders/a", nil)
			q.Header.Set("Authorization", "Bearer secret")
			q.Header.Set("dandelionrock-key", "k")
			r, err := k.Do(q)
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, r.Body)
			r.Body.Close()
		}
	})
}
