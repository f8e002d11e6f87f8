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

// instance is a handler that answers the nth request with the nth of its
// handlers; the last one also answers all further requests.
type instance struct {
	handlers []http.HandlerFunc

	mu       sync.Mutex
	received []*http.Request
}

func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	i.mu.Lock()
	n := min(len(i.received), len(i.handlers)-1)
	i.received = append(i.received, r.Clone(context.Background()))
	i.mu.Unlock()
	i.handlers[n](w, r)
}

// requests returns the requests received so far.
func (i *instance) requests() []*http.Request {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.received
}

// respond returns a handler that answers as an instance does, with the given
// status, outcome and reason.
func respond(status int, o Outcome, reason string) http.HandlerFunc {
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

// aborted closes the connection without an answer.
func aborted(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// truncated sets the headers of an answer and aborts before its body.
func truncated(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Length", "10")
	respond(http.StatusOK, Answered, "")(w, r)
	panic(http.ErrAbortHandler)
}

var (
	answered   = respond(http.StatusOK, Answered, "")
	overloaded = respond(http.StatusServiceUnavailable, NotRun, "overloaded")
	noAnswer   = respond(http.StatusBadGateway, Unknown, "no-answer")
	badRequest = respond(http.StatusBadRequest, NotRun, "no-key")
)

// Guards against retries that could run an order twice, and against giving up
// where a retry is safe.
func TestAttempts(t *testing.T) {
	for _, c := range []struct {
		name     string
		method   string
		handlers []http.HandlerFunc
		want     Outcome
		reason   string
		calls    int
		attempt  string
	}{
		{"answered", "POST", []http.HandlerFunc{answered}, Answered, "", 1, "1"},
		{"not run", "POST", []http.HandlerFunc{overloaded, overloaded, answered}, Answered, "", 3, "1"},
		{"bad request", "GET", []http.HandlerFunc{badRequest, answered}, NotRun, "no-key", 1, "1"},
		{"unknown order", "POST", []http.HandlerFunc{noAnswer, answered}, Unknown, "no-answer", 1, "1"},
		{"unknown lookup", "GET", []http.HandlerFunc{noAnswer, answered}, Answered, "", 2, "2"},
		{"aborted order", "POST", []http.HandlerFunc{aborted, answered}, Unknown, reasonNoAnswer, 1, "1"},
		{"aborted lookup", "GET", []http.HandlerFunc{aborted, answered}, Answered, "", 2, "2"},
		{"truncated order", "POST", []http.HandlerFunc{truncated, answered}, Unknown, reasonNoAnswer, 1, "1"},
		{"truncated lookup", "GET", []http.HandlerFunc{truncated, answered}, Answered, "", 2, "2"},
		{"no outcome", "POST", []http.HandlerFunc{respond(200, "", "")}, Unknown, reasonNoOutcome, 1, "1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			i := &instance{handlers: c.handlers}
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

// Guards against a request whose path or headers an instance doesn't understand.
func TestRequest(t *testing.T) {
	i := &instance{handlers: []http.HandlerFunc{answered}}
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

// Guards against a refused connection, as after the failure of an instance,
// that prevents an attempt at the next URL or yields an unknown outcome.
func TestNextURL(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := "http://" + l.Addr().String()
	l.Close()
	s := httptest.NewServer(answered)
	defer s.Close()
	c := Config{URLs: []string{closed, s.URL}, Organisation: "guild", Service: "orders", Method: "POST", RetryFor: time.Minute}
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

// Guards against a caller that is blocked by an instance that doesn't answer.
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

// Guards against sending a request whose Config is incomplete or invalid.
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

// Guards against changes to the output that scripts parse.
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
