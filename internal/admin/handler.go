package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"dandelionrock.example/dandelionrock/config"
	"dandelionrock.example/dandelionrock/event"
	"github.com/cockroachdb/errors"
)

// Submitter stores configurations.
type Submitter interface {
	// Submit stores a checked text as the version after basedOn and returns the
	// new version. It returns a *ConflictError where another version is in
	// force, a *config.Error where the change is refused, and an error that
	// matches ErrNotRun where the text is known not to be stored. Any other
	// error is reported to the operator as an unknown outcome.
	Submit(c context.Context, o *config.Organisation, text []byte, basedOn uint64) (uint64, error)
	// Config returns the version in force, version 0 if there is none.
	Config(c context.Context, organisation string) (Config, error)
}

// Reporter describes the instance.
type Reporter interface {
	Status() Status
}

// Timeline holds the events of the instance. *event.Log implements it.
type Timeline interface {
	// Events returns the events, oldest first, and the number of older ones
	// that were overwritten.
	Events() ([]event.Event, uint64)
}

// Handler serves the paths below /operate/. All fields are required.
type Handler struct {
	// Operators lists the credentials. Each gives access to the configuration of
	// its organisation, and to what the status and timeline contain about it.
	Operators []*config.Operator
	Submitter Submitter
	Reporter  Reporter
	Timeline  Timeline
}

// New returns the HTTP handler of h.
func New(h Handler) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("PUT /operate/config/{organisation}", h.authorised(h.submit))
	m.HandleFunc("GET /operate/config/{organisation}", h.authorised(h.config))
	m.HandleFunc("GET /operate/status", h.authenticated(h.status))
	m.HandleFunc("GET /operate/timeline", h.authenticated(h.timeline))
	return m
}

// authorised returns a handler that calls next for operators of the organisation
// in the path, and answers others with status 403 or 401.
func (h Handler) authorised(next http.HandlerFunc) http.HandlerFunc {
	return h.authenticated(func(w http.ResponseWriter, r *http.Request, organisation string) {
		if organisation != r.PathValue("organisation") {
			replyFailure(w, http.StatusForbidden, OutcomeNotRun, "credential is of an operator of another organisation")
			return
		}
		next(w, r)
	})
}

// authenticated returns a handler that calls next with the organisation of the
// operator, and answers requests without a known credential with status 401.
func (h Handler) authenticated(next func(http.ResponseWriter, *http.Request, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		o := h.operator(r.Header.Get("Authorization"))
		if o == "" {
			w.Header().Set("WWW-Authenticate", "Bearer")
			replyFailure(w, http.StatusUnauthorized, OutcomeNotRun, "credential is missing or unknown")
			return
		}
		next(w, r, o)
	}
}

// operator returns the organisation whose operator has the credential of an
// Authorization header, or "" if it is unknown. It compares with every
// credential, in constant time, so that its duration doesn't tell which of them
// is similar. The settings hold no credential twice.
func (h Handler) operator(authorization string) string {
	c, ok := strings.CutPrefix(authorization, "Bearer ")
	s := sha256.Sum256([]byte(c))
	var organisation string
	for _, o := range h.Operators {
		if subtle.ConstantTimeCompare(s[:], o.CredentialSHA256[:]) == 1 && ok {
			organisation = o.Organisation
		}
	}
	return organisation
}

func (h Handler) submit(w http.ResponseWriter, r *http.Request) {
	v, err := strconv.ParseUint(r.Header.Get(BasedOnHeader), 10, 64)
	if err != nil {
		replyFailure(w, http.StatusBadRequest, OutcomeNotRun, "header "+BasedOnHeader+" is not a version")
		return
	}
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(config.MaxText)))
	if err != nil {
		code := http.StatusBadRequest
		if e := (*http.MaxBytesError)(nil); errors.As(err, &e) {
			code = http.StatusRequestEntityTooLarge
		}
		replyFailure(w, code, OutcomeNotRun, err.Error())
		return
	}
	n := r.PathValue("organisation")
	o, err := config.Parse(n+".toml", b)
	if err == nil && o.Name != n {
		f := config.Fault{File: o.File, Line: 1, Cause: "organisation is " + strconv.Quote(o.Name) + ", want " + strconv.Quote(n)}
		err = &config.Error{Faults: []config.Fault{f}}
	}
	if err == nil {
		v, err = h.Submitter.Submit(r.Context(), o, b, v)
	}
	if err != nil {
		replySubmitError(w, err)
		return
	}
	reply(w, http.StatusOK, Config{Version: v})
}

// replySubmitError answers a submit that failed.
func replySubmitError(w http.ResponseWriter, err error) {
	var f *config.Error
	var c *ConflictError
	switch {
	case errors.As(err, &f):
		reply(w, http.StatusBadRequest, Faults{f.Faults})
	case errors.As(err, &c):
		reply(w, http.StatusConflict, c.InForce)
	case errors.Is(err, ErrNotRun):
		replyFailure(w, http.StatusServiceUnavailable, OutcomeNotRun, err.Error())
	default:
		replyFailure(w, http.StatusServiceUnavailable, OutcomeUnknown, err.Error())
	}
}

func (h Handler) config(w http.ResponseWriter, r *http.Request) {
	v, err := h.Submitter.Config(r.Context(), r.PathValue("organisation"))
	if err != nil {
		replyFailure(w, http.StatusServiceUnavailable, OutcomeNotRun, err.Error())
		return
	}
	reply(w, http.StatusOK, v)
}

func (h Handler) status(w http.ResponseWriter, _ *http.Request, organisation string) {
	reply(w, http.StatusOK, h.Reporter.Status().visibleTo(organisation))
}

func (h Handler) timeline(w http.ResponseWriter, _ *http.Request, organisation string) {
	e, n := h.Timeline.Events()
	e = eventsOf(e, organisation)
	w.Header().Set("Content-Type", "application/jsonl")
	w.Header().Set(OverwrittenHeader, strconv.FormatUint(n, 10))
	// The status is already sent: after an error, the client sees a truncated body.
	_ = event.WriteJSON(w, e)
}

func replyFailure(w http.ResponseWriter, code int, o Outcome, cause string) {
	reply(w, code, Failure{Error: cause, Outcome: o})
}

func reply(w http.ResponseWriter, code int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	// If the client has disconnected, the answer is dropped.
	_, _ = w.Write(append(b, '\n'))
}
