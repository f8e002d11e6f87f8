package caller

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"

	"dandelionrock.example/dandelionrock/internal/header"
	"github.com/cockroachdb/errors"
)

// Outcome tells whether the request was executed.
type Outcome string

const (
	// Answered means that the answer of the upstream was received completely.
	Answered Outcome = header.Answered
	// NotRun means that the request was not executed.
	NotRun Outcome = header.NotRun
	// Unknown means that the request may have been executed.
	Unknown Outcome = header.Unknown
)

// Reasons that the caller determines, as opposed to those in answers.
const (
	// reasonNoConnection means that no connection was established, so that
	// nothing was sent.
	reasonNoConnection = "no-connection"
	// reasonNoAnswer means that the answer is missing or truncated.
	reasonNoAnswer = "no-answer"
	// reasonNoOutcome means that the answer doesn't state a known outcome.
	reasonNoOutcome = "no-outcome"
)

// Result describes how a request ended and which instances and upstream handled
// it. Fields that the answer doesn't state are zero.
type Result struct {
	Organisation string  `json:"organisation"`
	Service      string  `json:"service"`
	Key          string  `json:"key"`
	OrderID      string  `json:"order-id,omitempty"`
	Outcome      Outcome `json:"outcome"`
	Reason       string  `json:"reason,omitempty"`
	Status       int     `json:"status"`
	Entry        string  `json:"entry"`
	Home         string  `json:"home"`
	Upstream     string  `json:"upstream"`
	Epoch        uint64  `json:"epoch"`
	RequestID    string  `json:"request-id"`
	// LatencyMs is the duration of the last attempt and ElapsedMs the time since
	// the start of the first one; EndedMs is the Unix time of the end. All are in
	// milliseconds.
	LatencyMs float64 `json:"latency-ms"`
	ElapsedMs float64 `json:"elapsed-ms"`
	EndedMs   int64   `json:"ended-ms"`
	Attempts  int     `json:"attempts"`
}

// result returns the result of an attempt from its answer or error.
func (c *Config) result(p *http.Response, err error) Result {
	r := Result{Organisation: c.Organisation, Service: c.Service, Key: c.Key, OrderID: c.OrderID}
	if err != nil {
		r.Outcome, r.Reason = Unknown, reasonNoAnswer
		if e := (*net.OpError)(nil); errors.As(err, &e) && e.Op == "dial" {
			r.Outcome, r.Reason = NotRun, reasonNoConnection
		}
		return r
	}
	defer p.Body.Close()
	r.readHeaders(p)
	if _, err = io.Copy(io.Discard, p.Body); err != nil && r.Outcome == Answered {
		r.Outcome, r.Reason = Unknown, reasonNoAnswer
	}
	return r
}

// readHeaders sets the fields that the status and headers of the answer state.
func (r *Result) readHeaders(p *http.Response) {
	h := p.Header
	r.Status, r.Outcome, r.Reason = p.StatusCode, Outcome(h.Get(header.Outcome)), h.Get(header.Reason)
	switch r.Outcome {
	case Answered, NotRun, Unknown:
	default:
		r.Outcome, r.Reason = Unknown, reasonNoOutcome
	}
	r.Entry, r.Home, r.Upstream = h.Get(header.Entry), h.Get(header.Home), h.Get(header.Upstream)
	r.RequestID = h.Get(header.RequestID)
	// A missing or invalid epoch is reported as 0.
	r.Epoch, _ = strconv.ParseUint(h.Get(header.Epoch), 10, 64)
}

// JSON returns the result as one line.
func (r Result) JSON() string {
	b, err := json.Marshal(r)
	if err != nil {
		panic("caller: " + err.Error()) // all fields can be encoded
	}
	return string(b)
}

// Text returns the result as one line with aligned columns.
func (r Result) Text() string {
	s := fmt.Sprintf("%-11s %-8s %-14s %-8s %3d  entry %-14s home %-14s upstream %-11s epoch %-3d %8.1f ms  attempts %d",
		r.Organisation, r.Service, r.Key, r.Outcome, r.Status, orDash(r.Entry), orDash(r.Home), orDash(r.Upstream), r.Epoch, r.LatencyMs, r.Attempts)
	if r.Reason != "" {
		s += "  reason " + r.Reason
	}
	return strings.TrimRight(s, " ")
}

func orDash(s string) string { return cmp.Or(s, "-") }
