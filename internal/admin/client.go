package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"dandelionrock.example/dandelionrock/config"
	"dandelionrock.example/dandelionrock/event"
	"github.com/cockroachdb/errors"
)

// maxReply is the largest size in bytes of an answer other than a timeline. A
// status may list thousands of homes, and JSON escapes may make a text six times
// as long.
const maxReply = 16 << 20

// maxQuoted is the largest number of bytes of an unexpected answer that an error
// quotes.
const maxQuoted = 200

// notRunStatuses are the status codes that rule out a change, no matter whether
// the instance or a proxy sends them. Others, such as 408 from a load balancer,
// may be sent although the change was made.
var notRunStatuses = []int{
	http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound,
	http.StatusMethodNotAllowed, http.StatusRequestEntityTooLarge,
}

// Client calls the operator interface of one instance.
type Client struct {
	// URL of the instance, without a path.
	URL string
	// Credential is the operator credential. It is sent with all requests unless
	// it is empty.
	Credential string
	// HTTP sends the requests; http.DefaultClient if nil.
	HTTP *http.Client
}

// Submit submits a text that was derived from the version basedOn and returns the
// new version. An error is a *ConflictError or a *config.Error, or it matches
// ErrNotRun or ErrUnknown.
func (c *Client) Submit(x context.Context, organisation string, text []byte, basedOn uint64) (uint64, error) {
	r, err := c.request(x, http.MethodPut, configPath(organisation), text)
	if err != nil {
		return 0, errors.Mark(err, ErrNotRun)
	}
	r.Header.Set(BasedOnHeader, strconv.FormatUint(basedOn, 10))
	r.Header.Set("Content-Type", "application/toml")
	code, b, err := c.do(r)
	if err != nil {
		var o *net.OpError
		if errors.As(err, &o) && o.Op == "dial" {
			return 0, errors.Mark(err, ErrNotRun)
		}
		return 0, errors.Mark(err, ErrUnknown)
	}
	if code != http.StatusOK {
		return 0, submitError(code, b)
	}
	var v Config
	if err := json.Unmarshal(b, &v); err != nil || v.Version == 0 {
		return 0, errors.Mark(errors.Newf("answer without a version: %.*q", maxQuoted, b), ErrUnknown)
	}
	return v.Version, nil
}

// submitError returns the error for the answer to a failed submit. It matches
// ErrNotRun only if the answer states that outcome or its status code rules out
// a change.
func submitError(code int, b []byte) error {
	var f Faults
	var v Config
	switch {
	case code == http.StatusBadRequest && json.Unmarshal(b, &f) == nil && len(f.Faults) > 0:
		return &config.Error{Faults: f.Faults}
	case code == http.StatusConflict && json.Unmarshal(b, &v) == nil && v.Version > 0:
		return &ConflictError{v}
	}
	e := statusError(code, b)
	var o Failure
	if json.Unmarshal(b, &o) == nil && o.Outcome == OutcomeNotRun || slices.Contains(notRunStatuses, code) {
		return errors.Mark(e, ErrNotRun)
	}
	return errors.Mark(e, ErrUnknown)
}

// Config returns the version in force of an organisation's configuration.
func (c *Client) Config(x context.Context, organisation string) (Config, error) {
	return get[Config](x, c, configPath(organisation))
}

// Status returns the status of the instance.
func (c *Client) Status(x context.Context) (Status, error) {
	return get[Status](x, c, "/operate/status")
}

// Timeline returns the events of the instance, and the number of older events
// that were overwritten.
func (c *Client) Timeline(x context.Context) ([]event.Event, uint64, error) {
	r, err := c.request(x, http.MethodGet, "/operate/timeline", nil)
	if err != nil {
		return nil, 0, err
	}
	a, err := c.http().Do(r)
	if err != nil {
		return nil, 0, err
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(io.LimitReader(a.Body, maxQuoted))
		return nil, 0, statusError(a.StatusCode, b)
	}
	// A missing header means that no event was overwritten.
	n, _ := strconv.ParseUint(a.Header.Get(OverwrittenHeader), 10, 64)
	e, err := event.ReadJSON(a.Body)
	return e, n, err
}

func (c *Client) http() *http.Client {
	if c.HTTP == nil {
		return http.DefaultClient
	}
	return c.HTTP
}

func configPath(organisation string) string {
	return "/operate/config/" + url.PathEscape(organisation)
}

// get requests a path and decodes the JSON of the answer.
func get[T any](x context.Context, c *Client, path string) (T, error) {
	var v T
	r, err := c.request(x, http.MethodGet, path, nil)
	if err != nil {
		return v, err
	}
	code, b, err := c.do(r)
	if err != nil {
		return v, err
	}
	if code != http.StatusOK {
		return v, statusError(code, b)
	}
	return v, errors.Wrapf(json.Unmarshal(b, &v), "answer of %s", path)
}

func (c *Client) request(x context.Context, method, path string, body []byte) (*http.Request, error) {
	r, err := http.NewRequestWithContext(x, method, strings.TrimSuffix(c.URL, "/")+path, bytes.NewReader(body))
	if err == nil && c.Credential != "" {
		r.Header.Set("Authorization", "Bearer "+c.Credential)
	}
	return r, err
}

// do returns the status code and the whole body of an answer.
func (c *Client) do(r *http.Request) (int, []byte, error) {
	a, err := c.http().Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer a.Body.Close()
	b, err := io.ReadAll(io.LimitReader(a.Body, maxReply+1))
	if err == nil && len(b) > maxReply {
		err = errors.Newf("answer has more than %d bytes", maxReply)
	}
	return a.StatusCode, b, err
}

// statusError returns an error that describes an answer whose status isn't 200.
func statusError(code int, b []byte) error {
	var f Failure
	if json.Unmarshal(b, &f) == nil && f.Error != "" {
		return errors.Newf("status %d: %s", code, f.Error)
	}
	return errors.Newf("status %d: %q", code, b[:min(len(b), maxQuoted)])
}
