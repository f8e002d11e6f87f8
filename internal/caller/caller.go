// Package caller sends requests to instances as a client account does, and
// reports their outcome and the instances and upstream that handled them.
package caller

import (
	"cmp"
	"context"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// OrderIDAuto as the OrderID of a Config requests a new order id.
const OrderIDAuto = "auto"

// ErrInvalid marks an error in a Config.
var ErrInvalid = errors.New("invalid call")

// Config describes a request. The tags define the flags of standin call.
type Config struct {
	// URLs are the addresses of instances; each attempt uses the next one.
	URLs         []string `long:"url" value-name:"URL" required:"true" description:"HTTP address of an instance; if repeated, each attempt uses the next one"`
	Organisation string   `long:"organisation" value-name:"NAME" required:"true" description:"organisation"`
	Service      string   `long:"service" value-name:"NAME" required:"true" description:"service of the organisation"`
	// Path is sent to the upstream; it may include a query.
	Path   string `long:"path" value-name:"PATH" default:"/" description:"path at the upstream"`
	Method string `long:"method" value-name:"NAME" default:"GET" description:"HTTP method"`
	Key    string `long:"key" value-name:"KEY" description:"key of the request"`
	Body   string `long:"body" value-name:"TEXT" description:"body of the request"`
	// OrderID is sent unchanged; OrderIDAuto is replaced by a new UUID version 7.
	OrderID string `long:"order-id" value-name:"auto|ID" description:"order id; auto creates a new one"`
	// Attempt is not sent if 0. With OrderIDAuto it is at least 1.
	Attempt uint32 `long:"attempt" value-name:"NUMBER" description:"number of earlier attempts that may have run, plus 1"`
	// Timeout is sent to the instance; if 0, the timeout of the service applies.
	Timeout time.Duration `long:"timeout" value-name:"DURATION" description:"time limit of one attempt, stated to the instance"`
	// RetryFor is the time during which a request is retried if it was not run,
	// or if it is idempotent and its outcome is unknown.
	RetryFor time.Duration `long:"retry-for" value-name:"DURATION" description:"time during which the request is sent again if it was not run, or if it failed and is idempotent"`
	// Idempotent is implied by the methods GET and HEAD.
	Idempotent bool `long:"idempotent" description:"the service is idempotent; implied by GET and HEAD"`
	// Credential of the client account.
	Credential string `no-flag:"true"`
}

const (
	// retryInterval is the time between attempts.
	retryInterval = 10 * time.Millisecond
	// timeoutMargin is how much longer than Config.Timeout an attempt may take
	// before it counts as unanswered.
	timeoutMargin = time.Second
	// defaultAttemptLimit bounds an attempt without a timeout. It exceeds the
	// max-timeout of the example configurations.
	defaultAttemptLimit = 11 * time.Second
)

// check returns an error that matches ErrInvalid if c is incomplete or invalid.
func (c *Config) check() error {
	for _, s := range c.URLs {
		u, err := url.Parse(s)
		if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			return errors.Mark(errors.Newf("%q is not an http or https URL", s), ErrInvalid)
		}
	}
	if len(c.URLs) == 0 || c.Organisation == "" || c.Service == "" || c.Timeout < 0 || c.RetryFor < 0 {
		return errors.Mark(errors.New("no URL, organisation or service, or a negative duration"), ErrInvalid)
	}
	return nil
}

// setDefaults sets the defaults of zero values, normalises the method and the
// path, and replaces OrderIDAuto by a new order id.
func (c *Config) setDefaults() error {
	c.Method = strings.ToUpper(cmp.Or(c.Method, http.MethodGet))
	c.Path = "/" + strings.TrimPrefix(c.Path, "/")
	c.Idempotent = c.Idempotent || c.Method == http.MethodGet || c.Method == http.MethodHead
	if c.OrderID != OrderIDAuto {
		return nil
	}
	u, err := uuid.NewV7()
	c.OrderID, c.Attempt = u.String(), max(c.Attempt, 1)
	return errors.Wrap(err, "order id")
}

// Do sends the request, retries it within c.RetryFor where that is safe, and
// returns the result of the last attempt. An error means that nothing was sent.
func Do(x context.Context, c Config) (Result, error) {
	if err := errors.CombineErrors(c.check(), c.setDefaults()); err != nil {
		return Result{}, err
	}
	// The transport uses no proxy: instances are reached by their address.
	// Without keep-alives, net/http never resends a request by itself.
	t := &http.Transport{DisableKeepAlives: true}
	h := &http.Client{Transport: t}
	start := time.Now()
	for n := 1; ; n++ {
		r, err := c.try(x, h, c.URLs[(n-1)%len(c.URLs)])
		if err != nil {
			return Result{}, err
		}
		r.Attempts, r.ElapsedMs, r.EndedMs = n, milliseconds(time.Since(start)), time.Now().UnixMilli()
		if x.Err() != nil || time.Since(start) >= c.RetryFor || !c.mayRetry(r) {
			return r, nil
		}
		if r.Outcome != NotRun && c.Attempt > 0 {
			c.Attempt++
		}
		time.Sleep(retryInterval)
	}
}

// mayRetry reports whether another attempt is safe and can succeed.
func (c *Config) mayRetry(r Result) bool {
	switch r.Status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound, http.StatusRequestEntityTooLarge:
		return false
	}
	return r.Outcome == NotRun || r.Outcome == Unknown && c.Idempotent
}

// try sends the request once.
func (c *Config) try(x context.Context, h *http.Client, base string) (Result, error) {
	d := defaultAttemptLimit
	if c.Timeout > 0 {
		d = c.Timeout + timeoutMargin
	}
	x, stop := context.WithTimeout(x, d)
	defer stop()
	q, err := c.request(x, base)
	if err != nil {
		return Result{}, err
	}
	t := time.Now()
	p, err := h.Do(q)
	r := c.result(p, err)
	r.LatencyMs = milliseconds(time.Since(t))
	return r, nil
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
