package caller

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"dandelionrock.example/dandelionrock/internal/header"
	"github.com/cockroachdb/errors"
)

// request returns the HTTP request for the instance at the URL base.
func (c *Config) request(x context.Context, base string) (*http.Request, error) {
	u := strings.TrimSuffix(base, "/") + "/" + c.Organisation + "/" + c.Service + c.Path
	q, err := http.NewRequestWithContext(x, c.Method, u, strings.NewReader(c.Body))
	if err != nil {
		return nil, errors.Mark(err, ErrInvalid)
	}
	if c.Credential != "" {
		q.Header.Set("Authorization", "Bearer "+c.Credential)
	}
	setNonEmpty(q.Header, header.Key, c.Key)
	setNonEmpty(q.Header, header.OrderID, c.OrderID)
	if c.Attempt > 0 {
		q.Header.Set(header.Attempt, strconv.FormatUint(uint64(c.Attempt), 10))
	}
	if c.Timeout > 0 {
		q.Header.Set(header.Timeout, c.Timeout.String())
	}
	return q, nil
}

func setNonEmpty(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}
