// Package entry handles the HTTP requests of clients: it chooses a target or a
// group of targets for each and sends it to their home, which executes it.
package entry

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/gate/depot"
	"dandelionrock.example/dandelionrock/internal/gate/group"
	"dandelionrock.example/dandelionrock/internal/gate/hangup"
	"dandelionrock.example/dandelionrock/internal/gate/match"
	"dandelionrock.example/dandelionrock/internal/gate/meter"
	"dandelionrock.example/dandelionrock/internal/gate/warden"
	"dandelionrock.example/dandelionrock/internal/header"
	"dandelionrock.example/dandelionrock/internal/plan/budget"
	"dandelionrock.example/dandelionrock/internal/plan/hazard"
	"dandelionrock.example/dandelionrock/internal/plan/keys"
	"dandelionrock.example/dandelionrock/internal/plan/place"
	"dandelionrock.example/dandelionrock/internal/plan/realm"
	"dandelionrock.example/dandelionrock/internal/plan/slack"
	"dandelionrock.example/dandelionrock/internal/plan/stop"
	"dandelionrock.example/dandelionrock/internal/relay"
	"dandelionrock.example/dandelionrock/internal/state/alive"
	"dandelionrock.example/dandelionrock/internal/state/view"
	"dandelionrock.example/dandelionrock/peer"
	"dandelionrock.example/dandelionrock/platform"
	"dandelionrock.example/dandelionrock/schema"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

const (
	// defaultDeadline is the deadline of a request whose client states none.
	defaultDeadline = 5 * time.Second
	// defaultObjective is the latency objective of a route that states none.
	defaultObjective = time.Second
	// aheadMemory is the memory of an instance for each request that is executed
	// ahead of its turn.
	aheadMemory = 1 << 20
	// startTime is the time in which a started instance reads its first
	// configuration, if the store is available.
	startTime = time.Second
	// retryAfterStart is the Retry-After of an instance that has just started: the
	// time of a read of the store from another region. retryAfterNoStore applies
	// later; many outages of the store last about a second.
	retryAfterStart   = 250 * time.Millisecond
	retryAfterNoStore = time.Second
	// retryAfterOutdated is the Retry-After if the configuration may be outdated.
	retryAfterOutdated = 500 * time.Millisecond
	// outdatedMargin is how much earlier than SetConfigApply says a configuration counts
	// as outdated: a reader pauses for so long between two reads of it.
	outdatedMargin = 200 * time.Millisecond
	// maxConfigurationAge is more than the age of a copy of the configuration while reads of
	// it end, which wait for a change for three seconds.
	maxConfigurationAge = 4 * time.Second
)

// Options are the dependencies of an Entry.
type Options struct {
	Self   peer.Instance
	Views  group.Views
	Homes  *group.Homes
	Pool   *relay.Pool
	Alive  *alive.Set
	Owners *keys.Owners
	Warden *warden.Warden
	Bodies *depot.Depot
	Log    zerolog.Logger
	Meter  *meter.Meter
	// Leaving reports whether the instance is shutting down.
	Leaving func() bool
	// Stop returns the schedule by which the instance is shutting down, or nil.
	Stop func() *stop.Schedule
	// Age and ConfigurationAge return the ages of the local copies of the targets' table
	// and of the configuration.
	Age, ConfigurationAge func() time.Duration
}

// Entry handles the requests of clients. Use New.
type Entry struct {
	Options
	started clock.Time
	// regions maps failure domains to their regions.
	regions  atomic.Pointer[map[string]string]
	maxAhead atomic.Int64
	// configApply is set by SetConfigApply, in nanoseconds.
	configApply atomic.Int64
	loads       place.Loads
	limits      limits
	lanes       lanes
	calls       atomic.Uint64
	wg          sync.WaitGroup
	// ending ends when the requests in progress are to be ended.
	ending context.Context
	end    context.CancelFunc

	mu      sync.Mutex
	bound   budget.Bound
	budgets map[string]*budget.Budget
	// splitCounts counts the requests of each route with several services, to
	// split them by weight.
	splitCounts map[string]uint64
	// counts holds the counts to report to the keepers, by service.
	counts map[string]*counts
	// missingSince holds when an owner of keys was first found missing from the
	// view, by runID.
	missingSince map[string]clock.Time
	// deadlines holds the deadlines that clients usually state, by route.
	deadlines map[string]*slack.Route
	// calling holds the home of each call in progress, by its number.
	calling map[uint64]peer.Instance
	// times holds how long answers take, by route.
	times map[string]*stop.Times
}

// New returns an Entry.
func New(o Options) *Entry {
	e := &Entry{
		Options: o, started: clock.Boot(), budgets: map[string]*budget.Budget{}, splitCounts: map[string]uint64{}, counts: map[string]*counts{},
		deadlines: map[string]*slack.Route{}, times: map[string]*stop.Times{}, calling: map[uint64]peer.Instance{}, missingSince: map[string]clock.Time{},
	}
	e.ending, e.end = context.WithCancel(context.Background())
	e.SetRegions(nil)
	return e
}

// SetRegions sets the regions of the failure domains.
func (e *Entry) SetRegions(r map[string]string) { e.regions.Store(&r) }

// Region returns the region of a failure domain, or "" if it is not known.
func (e *Entry) Region(domain string) string { return (*e.regions.Load())[domain] }

// SetBound sets the bound of the retry budgets.
func (e *Entry) SetBound(b budget.Bound) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.bound = b
}

// SetConfigApply sets the time after its confirmation within which a configuration comes
// into force.
func (e *Entry) SetConfigApply(d time.Duration) { e.configApply.Store(int64(d)) }

// Close waits for the background calls to homes.
func (e *Entry) Close() error {
	e.wg.Wait()
	return nil
}

// ServeHTTP handles one request of a client.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header()["Date"] = nil
	v := e.Views.View()
	route, f := e.route(v, r)
	if route == nil {
		if hasBody(r) {
			endConnection(w)
		}
		e.refuse(w, r, f.status, f.reason, f.retryAfter)
		return
	}
	begin := hangup.Arrived(r.Context())
	body, ok := e.readBody(w, r, begin, route, v.Desired.Limits.MaxBody)
	if !ok {
		return
	}
	defer body.Close()
	q, reason := e.newRequest(begin, v, route, r, body.Bytes())
	if reason != "" {
		e.refuse(w, r, http.StatusBadRequest, reason, 0)
		return
	}
	c, stop := context.WithDeadline(r.Context(), time.Now().Add(q.end.Sub(clock.Boot())))
	defer stop()
	defer context.AfterFunc(e.ending, stop)()
	q.serve(c)
	if r.Context().Err() != nil && !errors.Is(context.Cause(r.Context()), hangup.ErrGiveWay) {
		// If the handler returned, net/http would send an empty response with
		// status 200.
		q.logCut(q.progress())
		panic(http.ErrAbortHandler)
	}
	hangup.OnLost(r.Context(), func() { q.logCut(progressReady) })
	e.announceEnd(w, r)
	q.respond(w)
}

// refusal is the response to a request that was not run.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
}

// route returns the route of a request, or nil and why the request is refused.
func (e *Entry) route(v *view.View, r *http.Request) (*platform.Route, refusal) {
	if v.Desired == nil {
		return nil, refusal{http.StatusServiceUnavailable, "no-configuration", e.configurationRetryAfter()}
	}
	t := match.Route(v.Desired.Routes, r.Host, uri(r))
	switch {
	case t == nil && e.mayBeOutdated():
		return nil, refusal{http.StatusServiceUnavailable, "configuration-outdated", retryAfterOutdated}
	case t == nil:
		return nil, refusal{http.StatusNotFound, "no-route", 0}
	}
	return t, refusal{}
}

// EndsConnections implements hangup.Policy.
func (e *Entry) EndsConnections() bool { return e.Leaving() }

// announceEnd tells the client that its connection ends with the response, if the
// instance is shutting down and no request has arrived behind this one.
func (e *Entry) announceEnd(w http.ResponseWriter, r *http.Request) {
	if e.Leaving() && !hangup.Followed(r.Context()) {
		w.Header().Set("Connection", "close")
	}
}

// mayBeOutdated reports whether a newer configuration may be in force, so that a route
// that is missing here may exist. The reads of the targets count as well, since a reader
// hears of a new configuration at once, unless its read of the configuration hangs.
func (e *Entry) mayBeOutdated() bool {
	age := e.ConfigurationAge()
	return age > maxConfigurationAge || min(e.Age(), age) > time.Duration(e.configApply.Load())-outdatedMargin
}

// MayRunAhead implements hangup.Policy.
func (e *Entry) MayRunAhead(r *http.Request) bool {
	d := e.Views.View().Desired
	if d == nil || e.Leaving() {
		return false
	}
	t := match.Route(d.Routes, r.Host, uri(r))
	return t != nil && t.Idempotent
}

// MaxAhead implements hangup.Policy.
func (e *Entry) MaxAhead() int { return int(e.maxAhead.Load()) }

// SetMemory sets the memory of the instance in bytes, which bounds the requests that
// are executed ahead of their turn.
func (e *Entry) SetMemory(n int64) { e.maxAhead.Store(n / aheadMemory) }

// configurationRetryAfter returns the Retry-After of an instance without a
// configuration. An instance that has just started reads it within a few round
// trips; if it is still missing later, the store must be unavailable.
func (e *Entry) configurationRetryAfter() time.Duration {
	if clock.Boot().Sub(e.started) < startTime {
		return retryAfterStart
	}
	return retryAfterNoStore
}

// statedDeadline returns the deadline that a client states, or else the usual one.
func statedDeadline(r *http.Request) (time.Duration, error) {
	s := r.Header.Get(platform.HeaderDeadline)
	if s == "" {
		return defaultDeadline, nil
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err == nil && n < 0 {
		err = strconv.ErrRange
	}
	return time.Duration(n) * time.Millisecond, err
}

// newRequest returns the request to execute, or the reason why it is invalid.
func (e *Entry) newRequest(begin clock.Time, v *view.View, t *platform.Route, r *http.Request, body []byte) (*request, string) {
	q := &request{entry: e, route: t, config: v.Desired.Version, begin: begin, queued: clock.Boot().Sub(begin), attempt: r.Header.Get(platform.HeaderAttempt), account: account(r)}
	deadline, err := statedDeadline(r)
	if err != nil {
		return nil, "bad-deadline"
	}
	q.end = begin.Add(min(deadline, t.Timeout))
	q.service = v.Desired.Services[e.pickService(t)]
	q.realm = realm.Of(t.Homes)
	if q.service.Keyed {
		n, err := strconv.ParseUint(r.Header.Get(platform.HeaderKey), 10, 16)
		if err != nil {
			return nil, "bad-key"
		}
		q.key = uint32(n)
		e.count(q.service.Name, q.key)
	}
	o, elapsed := e.objective(begin, t, deadline, hangup.Reused(r.Context()))
	q.objective, q.returned = begin.Add(o), elapsed > 0
	fields, _ := header.Fields(r.Header, false)
	if a := r.Header.Get("Authorization"); a != "" {
		fields = append(fields, &schema.HeaderField{Name: "Authorization", Value: a})
	}
	q.message = schema.SendRequest{
		Entry: e.Self.ID, Service: q.service.Name, Method: r.Method, Uri: uri(r), Host: r.Host, Headers: withoutHomeHeaders(fields), Body: body,
		AttemptId: q.attempt, Priority: int32(t.Priority), Idempotent: t.Idempotent, Identity: identity(q.service.Name, r, body),
	}
	return q, ""
}

// identity returns what comes again with each attempt of a request: its path, key and
// body, and what identifies its caller.
func identity(service string, r *http.Request, body []byte) []byte {
	id := hazard.IDOf(body, service, r.Method, r.Host, uri(r), r.Header.Get(platform.HeaderKey), r.Header.Get("Authorization"), r.Header.Get("Cookie"))
	return id[:]
}

// withoutHomeHeaders removes the headers that the home sets itself. It reuses
// the slice.
func withoutHomeHeaders(fields []*schema.HeaderField) []*schema.HeaderField {
	out := fields[:0]
	for _, f := range fields {
		switch f.Name {
		case platform.HeaderAttempt, platform.HeaderDeadline, platform.HeaderTarget:
		default:
			out = append(out, f)
		}
	}
	return out
}

// objective returns the time that is left of the route's latency objective, which
// counts from the client's first attempt, and the time since that attempt. reused
// tells that the connection has served an earlier request.
func (e *Entry) objective(now clock.Time, t *platform.Route, deadline time.Duration, reused bool) (left, elapsed time.Duration) {
	o := t.Objective
	if o <= 0 {
		o = defaultObjective
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.deadlines[t.Name]
	if a == nil {
		a = &slack.Route{}
		e.deadlines[t.Name] = a
	}
	elapsed = a.Elapsed(now, deadline, reused)
	return o - elapsed, elapsed
}

// goldenRatio is the conjugate of the golden ratio. The fractional parts of its
// multiples are spread evenly over the unit interval.
const goldenRatio = 0.6180339887498949

// pickService chooses a service of a route in proportion to the weights.
func (e *Entry) pickService(t *platform.Route) string {
	if len(t.Split) == 1 {
		return t.Split[0].Service
	}
	e.mu.Lock()
	e.splitCounts[t.Name]++
	n := e.splitCounts[t.Name]
	e.mu.Unlock()
	total := 0
	for _, p := range t.Split {
		total += p.Weight
	}
	_, f := math.Modf(float64(n) * goldenRatio)
	f *= float64(total)
	for _, p := range t.Split {
		if f -= float64(p.Weight); f < 0 {
			return p.Service
		}
	}
	return t.Split[0].Service
}

// refuse responds to a request that was not run. It sets no Retry-After if
// retryAfter is 0.
func (e *Entry) refuse(w http.ResponseWriter, r *http.Request, status int, reason string, retryAfter time.Duration) {
	e.announceEnd(w, r)
	e.Meter.Request("", reason, 0)
	var version uint64
	if d := e.Views.View().Desired; d != nil {
		version = d.Version
	}
	e.Log.Info().Str("event", "request-refused").Str("request", r.Header.Get(platform.HeaderAttempt)).Str("host", r.Host).
		Str("reason", reason).Int("status", status).Uint64("config", version).Dur("store-age", e.Age()).Dur("config-age", e.ConfigurationAge()).Msg("")
	respond(w, status, r.Header.Get(platform.HeaderAttempt), reason, retryAfter)
}

// respond writes a response without a body that is not one of a target.
func respond(w http.ResponseWriter, status int, attempt, reason string, retryAfter time.Duration) {
	h := w.Header()
	header.Set(h, platform.HeaderAttempt, attempt, header.Reason, reason)
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Length", "0")
	w.WriteHeader(status)
}
