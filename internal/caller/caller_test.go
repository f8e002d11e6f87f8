package caller

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/internal/header"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sebdah/goldie/v2"
)

// instance answers the calls in turn with its steps; the last one repeats.
type instance struct {
	steps []http.HandlerFunc

	mu   sync.Mutex
	seen []*http.Request
}

func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	i.mu.Lock()
	n := min(len(i.seen), len(i.steps)-1)
	i.seen = append(i.seen, r.Clone(context.Background()))
	i.mu.Unlock()
	i.steps[n](w, r)
}

// requests returns those seen so far.
func (i *instance) requests() []*http.Request {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.seen
}

func outcome(status int, o Outcome, reason string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		h := w.Header()
		for k, v := range map[string]string{
			header.Outcome: string(o), header.Reason: reason, header.Entry: "hobart-a-1", header.Home: "hobart-b-1",
			header.Upstream: "quote-07", header.Epoch: "3", header.RequestID: "5e1f",
		} {
			h.Set(k, v)
		}
		w.WriteHeader(status)
	}
}

func broken(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func truncated(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Length", "10")
	outcome(http.StatusOK, Answered, "")(w, r)
	panic(http.ErrAbortHandler)
}

var (
	answered   = outcome(http.StatusOK, Answered, "")
	overloaded = outcome(http.StatusServiceUnavailable, NotRun, "overloaded")
	lost       = outcome(http.StatusBadGateway, Unknown, "no-answer")
	bad        = outcome(http.StatusBadRequest, NotRun, "no-key")
)

// Guards against attempts that could run an order twice, and against giving up
// where a further attempt is safe.
func TestAttempts(t *testing.T) {
	for _, c := range []struct {
		name    string
		method  string
		steps   []http.HandlerFunc
		want    Outcome
		reason  string
		calls   int
		attempt string
	}{
		{"answered", "POST", []http.HandlerFunc{answered}, Answered, "", 1, "1"},
		{"not run", "POST", []http.HandlerFunc{overloaded, overloaded, answered}, Answered, "", 3, "1"},
		{"bad request", "GET", []http.HandlerFunc{bad, answered}, NotRun, "no-key", 1, "1"},
		{"unknown order", "POST", []http.HandlerFunc{lost, answered}, Unknown, "no-answer", 1, "1"},
		{"unknown lookup", "GET", []http.HandlerFunc{lost, answered}, Answered, "", 2, "2"},
		{"broken order", "POST", []http.HandlerFunc{broken, answered}, Unknown, reasonNoAnswer, 1, "1"},
		{"broken lookup", "GET", []http.HandlerFunc{broken, answered}, Answered, "", 2, "2"},
		{"truncated order", "POST", []http.HandlerFunc{truncated, answered}, Unknown, reasonNoAnswer, 1, "1"},
		{"truncated lookup", "GET", []http.HandlerFunc{truncated, answered}, Answered, "", 2, "2"},
		{"no outcome", "POST", []http.HandlerFunc{outcome(200, "", "")}, Unknown, reasonNoOutcome, 1, "1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			i := &instance{steps: c.steps}
			s := httptest.NewServer(i)
			defer s.Close()
			r, err := Do(context.Background(), Config{
				URLs: []string{s.URL}, Organisation: "guild", Service: "orders", Method: c.method, Key: "menu-1",
				OrderID: OrderIDAuto, RetryFor: time.Minute,
			})
			if err != nil || r.Outcome != c.want || r.Reason != c.reason {
				t.Fatalf("got %+v, %v; want %s %s", r, err, c.want, c.reason)
			}
			q := i.requests()
			if len(q) != c.calls || r.Attempts != c.calls {
				t.Errorf("got %d calls and %d attempts, want %d", len(q), r.Attempts, c.calls)
			}
			if a := q[len(q)-1].Header.Get(header.Attempt); a != c.attempt {
				t.Errorf("last attempt is %s, want %s", a, c.attempt)
			}
		})
	}
}

// Guards against headers that an instance doesn't understand.
func TestRequest(t *testing.T) {
	i := &instance{steps: []http.HandlerFunc{answered}}
	s := httptest.NewServer(i)
	defer s.Close()
	r, err := Do(context.Background(), Config{
		URLs: []string{s.URL + "/"}, Organisation: "guild", Service: "orders", Path: "translate?to=nl", Method: "post",
		Key: "menu-1", Body: "soup", OrderID: OrderIDAuto, Timeout: 1500 * time.Millisecond, Credential: "word",
	})
	if err != nil {
		t.Fatal(err)
	}
	q := i.requests()[0]
	u, err := uuid.Parse(q.Header.Get(header.OrderID))
	if err != nil || u.Version() != 7 || r.OrderID != u.String() {
		t.Errorf("order id is %q, %v", q.Header.Get(header.OrderID), err)
	}
	got := []string{
		q.Method, q.RequestURI, q.Header.Get("Authorization"), q.Header.Get("dandelionrock-key"),
		q.Header.Get("dandelionrock-attempt"), q.Header.Get("dandelionrock-timeout"),
	}
	want := []string{"POST", "/guild/orders/translate?to=nl", "Bearer word", "menu-1", "1", "1.5s"}
	for n := range want {
		if got[n] != want[n] {
			t.Errorf("got %q, want %q", got[n], want[n])
		}
	}
}

// Guards against a refused connection that ends the call or counts as unknown,
// as after the loss of an instance.
func TestNextURL(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gone := "http://" + l.Addr().String()
	l.Close()
	s := httptest.NewServer(answered)
	defer s.Close()
	c := Config{URLs: []string{gone, s.URL}, Organisation: "guild", Service: "orders", Method: "POST", RetryFor: time.Minute}
	r, err := Do(context.Background(), c)
	if err != nil || r.Outcome != Answered || r.Attempts != 2 {
		t.Errorf("got %+v, %v", r, err)
	}
	c.RetryFor = 0
	r, err = Do(context.Background(), c)
	if err != nil || r.Outcome != NotRun || r.Reason != reasonNoConnection || r.Attempts != 1 {
		t.Errorf("got %+v, %v", r, err)
	}
}

// Guards against an instance that doesn't answer and blocks the caller.
func TestTimeout(t *testing.T) {
	done := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-done }))
	defer s.Close()
	defer close(done)
	r, err := Do(context.Background(), Config{URLs: []string{s.URL}, Organisation: "guild", Service: "quotes", Timeout: time.Millisecond})
	if err != nil || r.Outcome != Unknown || r.Reason != reasonNoAnswer {
		t.Errorf("got %+v, %v", r, err)
	}
}

// Guards against a request to the wrong place.
func TestInvalid(t *testing.T) {
	for _, c := range []Config{
		{},
		{URLs: []string{"127.0.0.1:1"}, Organisation: "guild", Service: "quotes"},
		{URLs: []string{"http://127.0.0.1:1"}, Organisation: "guild"},
		{URLs: []string{"http://127.0.0.1:1"}, Organisation: "guild", Service: "quotes", Timeout: -1},
		{URLs: []string{"http://127.0.0.1:1"}, Organisation: "guild", Service: "quotes", Method: "A B"},
	} {
		if _, err := Do(context.Background(), c); !errors.Is(err, ErrInvalid) {
			t.Errorf("%+v: got %v", c, err)
		}
	}
}

// Guards against changes of the output that scripts read.
func TestOutput(t *testing.T) {
	r := Result{
		Organisation: "guild", Service: "quotes", Key: "oyster-soup", Outcome: Answered, Status: 200,
		Entry: "hobart-a-1", Home: "hobart-b-1", Upstream: "quote-07", Epoch: 3, RequestID: "5e1f",
		LatencyMs: 3.25, ElapsedMs: 3.25, EndedMs: 1767322800000, Attempts: 1,
	}
	n := Result{Organisation: "cooperative", Service: "dye-lots", Key: "madder-31", Outcome: NotRun, Reason: "overloaded", Status: 503, Attempts: 12}
	g := r.JSON() + "\n" + n.JSON() + "\n" + r.Text() + "\n" + n.Text() + "\n"
	goldie.New(t).Assert(t, "output", []byte(g))
	var m Result
	if err := json.Unmarshal([]byte(r.JSON()), &m); err != nil || m != r {
		t.Errorf("got %+v, %v", m, err)
	}
}
