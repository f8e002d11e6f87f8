package stub

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// PlatformFaults are the faults to inject into a Platform. A fault with a count
// affects that many of the next calls, or all if the count is negative.
type PlatformFaults struct {
	// Outage closes the connection of each table call before the call takes
	// effect.
	Outage bool `json:"outage"`
	// Throttle refuses each table call with ThrottlingException.
	Throttle bool `json:"throttle"`
	// SlowMs delays each table call before it takes effect.
	SlowMs int `json:"slow-ms"`
	// LoseAnswers is the number of writes that take effect and get no response.
	LoseAnswers int `json:"lose-answers"`
	// LoseRequests is the number of writes that take no effect and get no
	// response.
	LoseRequests int `json:"lose-requests"`
	// LateWrites is the number of writes that get no response and are attempted
	// after LateMs.
	LateWrites int `json:"late-writes"`
	LateMs     int `json:"late-ms"`
	// ForgetTokens ignores the ClientRequestToken of each write, so that a retry
	// counts as a new write.
	ForgetTokens bool `json:"forget-tokens"`
	// LagMs is the age of the list of instances that is returned.
	LagMs int `json:"lag-ms"`
	// ListOutage closes the connection of each call for the list of instances.
	ListOutage bool `json:"list-outage"`
}

// UpstreamFaults are the faults to inject into an Upstream. A fault with a count
// affects that many of the next calls, or all if the count is negative.
type UpstreamFaults struct {
	// Outage closes the connection of each call without a response, except for
	// /runs and /faults. Nothing is executed.
	Outage bool `json:"outage"`
	// SlowMs is added to the service time.
	SlowMs int `json:"slow-ms"`
	// SlowGrantsMs delays each grant before it is handled.
	SlowGrantsMs int `json:"slow-grants-ms"`
	// FreezeMs stops all traffic and execution for this time, once.
	FreezeMs int `json:"freeze-ms,omitempty"`
	// Restart drops the grants, closes the connections of all calls and starts
	// cold with a new boot id, once. The counts of runs are kept.
	Restart bool `json:"restart,omitempty"`
	// IgnoreFences executes requests without a check of their token.
	IgnoreFences bool `json:"ignore-fences"`
	// Drain reports draining in replies to grants, and refuses requests after
	// UpstreamConfig.DrainTime.
	Drain bool `json:"drain"`
	// Shed refuses each request as if the upstream were overloaded.
	Shed bool `json:"shed"`
	// LoseRequests is the number of requests that are not executed and get no
	// response.
	LoseRequests int `json:"lose-requests"`
	// LoseAnswers is the number of requests that are executed and get no
	// response.
	LoseAnswers int `json:"lose-answers"`
	// LateRuns is the number of requests that get no response and are attempted
	// after LateMs. Their token is checked at that time.
	LateRuns int `json:"late-runs"`
	LateMs   int `json:"late-ms"`
	// LoseGrantAnswers is the number of grants that are applied and get no
	// response.
	LoseGrantAnswers int `json:"lose-grant-answers"`
	// CutAnswers is the number of responses that end in the middle of the body.
	CutAnswers int `json:"cut-answers"`
	// WrongRequestIDs is the number of responses with a request id other than
	// that of the request.
	WrongRequestIDs int `json:"wrong-request-ids"`
	// SwapAnswers is the number of responses that are exchanged with that of
	// another request, if one ends soon after.
	SwapAnswers int `json:"swap-answers"`
	// DelayAnswersMs is the upper bound of a random delay of each response, which
	// brings responses out of order.
	DelayAnswersMs int `json:"delay-answers-ms"`
	// ReportLoad is the load that is reported instead of the measured one.
	ReportLoad *float64 `json:"report-load"`
	// LoadLagMs is the least time between changes of the reported load.
	LoadLagMs int `json:"load-lag-ms"`
	// ReportHealth is the status that is reported instead of "fine".
	ReportHealth string `json:"report-health"`
}

// faults holds the current faults of a stand-in.
type faults[F any] struct {
	mu      sync.Mutex
	current F
	// onChange is called with each new value. It resets the faults that act
	// once, and returns a function that applies them, or nil.
	onChange func(f *F) func()
}

func (s *faults[F]) get() F {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// set replaces the faults. It returns the result of onChange, which the caller must
// call if it is not nil.
func (s *faults[F]) set(f F) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.onChange(&f)
	s.current = f
	return x
}

// consume reports whether the fault whose count p selects affects the current call,
// and decrements the count if it is positive.
func (s *faults[F]) consume(p func(*F) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := p(&s.current)
	if *n > 0 {
		*n--
		return true
	}
	return *n < 0
}

// serve handles /faults: GET returns the faults, POST changes those that its JSON
// object names, DELETE ends all. A freeze or restart begins before the response is
// sent. It does not affect the connection of the call, which is closed after the
// response.
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
			return errorReply(http.StatusBadRequest, errors.Wrap(err, "faults"))
		}
		x = s.set(f)
	case http.MethodDelete:
		x = s.set(f)
	default:
		return errorReply(http.StatusMethodNotAllowed, errors.New("use GET, POST or DELETE"))
	}
	p := jsonReply(http.StatusOK, s.get())
	if x != nil {
		exemptConn(r)
		p.header.Set("Connection", "close")
		x()
	}
	return p
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
