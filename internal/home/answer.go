package home

import (
	"context"
	"io"
	"net/http"

	"dandelionrock.example/dandelionrock/internal/header"
	"dandelionrock.example/dandelionrock/schema"
	"github.com/cockroachdb/errors"
)

// readBody reads the body of an answer whole. Otherwise it returns the reason
// why the answer can't be passed on.
func (u *Upstream) readBody(a *http.Response, method string) ([]byte, string) {
	n, most := a.ContentLength, u.options.MaxAnswer
	switch {
	case a.StatusCode < 200:
		return nil, reasonInterrupted
	case method == http.MethodHead || a.StatusCode == http.StatusNoContent || a.StatusCode == http.StatusNotModified:
		return nil, ""
	case n > most:
		return nil, reasonOversized
	case n < 0 && len(a.TransferEncoding) == 0:
		// The end of the connection ends the body, so that a truncated one
		// can't be told from a whole one.
		return nil, reasonTruncated
	}
	if n < 0 {
		return readChunked(a.Body, most)
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(a.Body, b); err != nil {
		return nil, reasonTruncated
	}
	// The transport reuses the connection once it has seen the end.
	if _, err := a.Body.Read(make([]byte, 1)); err != io.EOF {
		return nil, reasonTruncated
	}
	return b, ""
}

func readChunked(r io.Reader, most int64) ([]byte, string) {
	b, err := io.ReadAll(io.LimitReader(r, most+1))
	switch {
	case err != nil:
		return nil, reasonTruncated
	case int64(len(b)) > most:
		return nil, reasonOversized
	}
	return b, ""
}

// failed returns the outcome of a request without an answer; the connection is
// sealed.
func (x *exchange) failed(c context.Context, err error) *schema.ForwardReply {
	var d *dialError
	switch written := x.mayBeWritten(); {
	case written && errors.Is(c.Err(), context.DeadlineExceeded):
		return unknown(reasonDeadline)
	case written && c.Err() != nil:
		return unknown(reasonCancelled)
	case written:
		return unknown(reasonInterrupted)
	case x.refused:
		return notRun(reasonNotAllowed, true)
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

// refusal returns the outcome of a request that the upstream refused.
func refusal(v string) *schema.ForwardReply {
	switch v {
	case header.StaleGrant, header.Draining:
		return notRun(v, true)
	case header.Shed:
		return notRun(v, false)
	}
	return unknown(reasonRefusal)
}

func notRun(reason string, retry bool) *schema.ForwardReply {
	return &schema.ForwardReply{Outcome: schema.Outcome_OUTCOME_NOT_RUN, Reason: reason, Retry: retry}
}

func unknown(reason string) *schema.ForwardReply {
	return &schema.ForwardReply{Outcome: schema.Outcome_OUTCOME_UNKNOWN, Reason: reason}
}
