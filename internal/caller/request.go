package caller

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Headers of a request and of its answer.
const (
	headerKey       = "Dandelionrock-Key"
	headerOrderID   = "Dandelionrock-Order-Id"
	headerAttempt   = "Dandelionrock-Attempt"
	headerTimeout   = "Dandelionrock-Timeout"
	headerOutcome   = "Dandelionrock-Outcome"
	headerReason    = "Dandelionrock-Reason"
	headerEntry     = "Dandelionrock-Entry"
	headerHome      = "Dandelionrock-Home"
	headerUpstream  = "Dandelionrock-Upstream"
	headerEpoch     = "Dandelionrock-Epoch"
	headerRequestID = "Dandelionrock-Request-Id"
)

func (c *Config) request(x context.Context, base string) (*http.Request, error) {
	u := strings.TrimSuffix(base, "/") + "/" + c.Organisation + "/" + c.Service + c.Path
	q, err := http.NewRequestWithContext(x, c.Method, u, strings.NewReader(c.Body))
	if err != nil {
		return nil, errors.Mark(err, ErrInvalid)
	}
	if c.Credential != "" {
		q.Header.Set("Authorization", "Bearer "+c.Credential)
	}
	set(q.Header, headerKey, c.Key)
	set(q.Header, headerOrderID, c.OrderID)
	if c.Attempt > 0 {
		q.Header.Set(headerAttempt, strconv.FormatUint(uint64(c.Attempt), 10))
	}
	if c.Timeout > 0 {
		q.Header.Set(headerTimeout, c.Timeout.String())
	}
	return q, nil
}

func set(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}
