package home

import (
	"context"
	"io"
	"net/http"

	"dandelionrock.example/dandelionrock/internal/header"
	"dandelionrock.example/dandelionrock/schema"
	"github.com/cockroachdb/errors"
)

// readBody reads the complete body of an answer. If that fails, it returns the
// reason of the outcome.
func (u *Upstream) readBody(a *http.Response, method string) ([]byte, string) {
	n, maxBytes := a.ContentLength, u.options.MaxAnswer
	switch {
	case method == http.MethodHead || a.StatusCode == http.StatusNoContent || a.StatusCode == http.StatusNotModified:
		return nil, ""
	case n > maxBytes:
		return nil, reasonOversized
	case n < 0 && len(a.TransferEncoding) == 0:
		// The body ends with the connection, so that a truncated body can't be
		// distinguished from a complete one.
		return nil, reasonTruncated
	}
	if n < 0 {
		return readChunked(a.Body, maxBytes)
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(a.Body, b); err != nil {
		return nil, reasonTruncated
	}
	// The transport reuses the connection only after it has read the end of the
	// body.
	if _, err := a.Body.Read(make([]byte, 1)); err != io.EOF {
		return nil, reasonTruncated
	}
	return b, ""
}

// readChunked reads a body without a stated length.
func readChunked(r io.Reader, maxBytes int64) ([]byte, string) {
	b, err := io.ReadAll(io.LimitReader(r, maxBytes+1))
	switch {
	case err != nil:
		return nil, reasonTruncated
	case int64(len(b)) > maxBytes:
		return nil, reasonOversized
	}
	return b, ""
}

// failureOutcome returns the outcome of a request without an answer; the connection
// must have been aborted.
func (x *exchange) failureOutcome(c context.Context, err error) *schema.ForwardReply {
	var d *dialError
	switch written := x.mayBeWritten(); {
	case written && errors.Is(c.Err(), context.DeadlineExceeded):
		return unknown(reasonDeadline)
	case written && c.Err() != nil:
		return unknown(reasonCancelled)
	case written:
		return unknown(reasonInterrupted)
	case x.refused:
		return notRun(reasonAuthorityLost, true)
	case errors.Is(c.Err(), context.DeadlineExceeded):
		return notRun(reasonDeadline, false)
	case c.Err() != nil:
		return notRun(reasonCancelled, false)
	case errors.As(err, &d):
		return notRun(reasonUnreachable, true)
	case x.conn != nil:
		return notRun(reasonClosed, true)
	}
	return notRun(reasonInvalid, false)
}

// refusalOutcome returns the outcome of a request that the upstream refused; v is
// the value of header.Refused.
func refusalOutcome(v string) *schema.ForwardReply {
	switch v {
	case header.StaleGrant, header.Draining:
		return notRun(v, true)
	case header.Shed:
		return notRun(v, false)
	}
	return unknown(reasonUnknownRefusal)
}

func notRun(reason string, retry bool) *schema.ForwardReply {
	return &schema.ForwardReply{Outcome: schema.Outcome_OUTCOME_NOT_RUN, Reason: reason, Retry: retry}
}

func unknown(reason string) *schema.ForwardReply {
	return &schema.ForwardReply{Outcome: schema.Outcome_OUTCOME_UNKNOWN, Reason: reason}
}
