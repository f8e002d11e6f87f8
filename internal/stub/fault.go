package stub

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// PlatformFaults are the faults of a Platform. A counter says how many of the
// next calls are affected; a negative one affects all.
type PlatformFaults struct {
	// Outage closes each table call's connection before the call takes effect.
	Outage bool `json:"outage"`
	// Throttle refuses each table call with ThrottlingException.
	Throttle bool `json:"throttle"`
	// SlowMs delays each table call before it takes effect.
	SlowMs int `json:"slow-ms"`
	// LoseAnswers counts writes that take effect without an answer.
	LoseAnswers int `json:"lose-answers"`
	// LoseRequests counts writes that take no effect and get no answer.
	LoseRequests int `json:"lose-requests"`
	// LateWrites counts writes without an answer that are tried after LateMs.
	LateWrites int `json:"late-writes"`
	LateMs     int `json:"late-ms"`
	// ForgetTokens treats each write as new whatever its token.
	ForgetTokens bool `json:"forget-tokens"`
	// LagMs is the age of the list of instances.
	LagMs int `json:"lag-ms"`
	// ListOutage closes the connection of each call for the list of instances.
	ListOutage bool `json:"list-outage"`
}

// UpstreamFaults are the faults of an Upstream. A counter says how many of the
// next calls are affected; a negative one affects all.
type UpstreamFaults struct {
	// Outage closes each connection without an answer; nothing runs.
	Outage bool `json:"outage"`
	// SlowMs is added to the service time.
	SlowMs int `json:"slow-ms"`
	// SlowGrantsMs delays each grant before it is handled.
	SlowGrantsMs int `json:"slow-grants-ms"`
	// FreezeMs stops all traffic and execution for a time, once.
	FreezeMs int `json:"freeze-ms,omitempty"`
	// Restart forgets grants, breaks all calls off and starts cold with a new
	// boot id, once. The counts of runs stay.
	Restart bool `json:"restart,omitempty"`
	// IgnoreFences executes requests whatever their token.
	IgnoreFences bool `json:"ignore-fences"`
	// Drain says draining in grant replies, and refuses requests later.
	Drain bool `json:"drain"`
	// Shed refuses each request as overloaded.
	Shed bool `json:"shed"`
	// LoseRequests counts requests that neither run nor get an answer.
	LoseRequests int `json:"lose-requests"`
	// LoseAnswers counts requests that run without an answer.
	LoseAnswers int `json:"lose-answers"`
	// LateRuns counts requests without an answer that are tried after LateMs,
	// subject to the fence at that time.
	LateRuns int `json:"late-runs"`
	LateMs   int `json:"late-ms"`
	// LoseGrantAnswers counts grants that are applied without an answer.
	LoseGrantAnswers int `json:"lose-grant-answers"`
	// CutAnswers counts answers that break off in the middle.
	CutAnswers int `json:"cut-answers"`
	// WrongRequestIDs counts answers that echo another request id.
	WrongRequestIDs int `json:"wrong-request-ids"`
	// SwapAnswers counts answers that are exchanged with that of another
	// request, if one ends soon after.
	SwapAnswers int `json:"swap-answers"`
	// DelayAnswersMs delays each answer by up to this time at random, so that
	// answers come out of order.
	DelayAnswersMs int `json:"delay-answers-ms"`
	// ReportLoad is the load reported in place of the true one.
	ReportLoad *float64 `json:"report-load"`
	// LoadLagMs is the interval at which the reported load changes.
	LoadLagMs int `json:"load-lag-ms"`
	// ReportHealth is the status reported in place of "fine".
	ReportHealth string `json:"report-health"`
}

// faults holds the faults of a stand-in.
type faults[F any] struct {
	mu      sync.Mutex
	current F
	// changed is called with each new value. It clears what acts only once,
	// and returns a function that does it, or nil.
	changed func(f *F) func()
}

func (s *faults[F]) get() F {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// set replaces the faults and returns what remains to be done, or nil.
func (s *faults[F]) set(f F) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.changed(&f)
	s.current = f
	return x
}

// take uses up one of the counter that p selects, and reports whether it was
// set.
func (s *faults[F]) take(p func(*F) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := p(&s.current)
	if *n > 0 {
		*n--
		return true
	}
	return *n < 0
}

// serve handles /faults: GET returns the faults, POST changes those that its
// object names, DELETE ends all. A freeze or restart has begun when the answer
// arrives; the connection of the call is spared, and ends with the answer.
func (s *faults[F]) serve(r *http.Request) *reply {
	var f F
	var x func()
	switch r.Method {
	case http.MethodGet:
	case http.MethodPost:
		f = s.get()
		d := json.NewDecoder(r.Body)
		d.DisallowUnknownFields()
		if err := d.Decode(&f); err != nil {
			return fail(http.StatusBadRequest, errors.Wrap(err, "faults"))
		}
		x = s.set(f)
	case http.MethodDelete:
		x = s.set(f)
	default:
		return fail(http.StatusMethodNotAllowed, errors.New("use GET, POST or DELETE"))
	}
	p := answer(http.StatusOK, s.get())
	if x != nil {
		spare(r)
		p.header.Set("Connection", "close")
		x()
	}
	return p
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
