// Package caller sends requests to instances as a client account does, and
// reports what the answers say about the path that they took.
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

// OrderIDAuto asks for a new order id.
const OrderIDAuto = "auto"

// ErrInvalid marks an error in a Config.
var ErrInvalid = errors.New("invalid call")

// Config describes a request. The tags name the flags of cmd/standin.
type Config struct {
	// URLs are those of instances; each attempt uses the next one.
	URLs         []string `long:"url" value-name:"URL" required:"true" description:"HTTP address of an instance; if repeated, each attempt uses the next one"`
	Organisation string   `long:"organisation" value-name:"NAME" required:"true" description:"organisation"`
	Service      string   `long:"service" value-name:"NAME" required:"true" description:"service of the organisation"`
	// Path is sent to the upstream; it may carry a query.
	Path   string `long:"path" value-name:"PATH" default:"/" description:"path at the upstream"`
	Method string `long:"method" value-name:"NAME" default:"GET" description:"HTTP method"`
	Key    string `long:"key" value-name:"KEY" description:"key of the request"`
	Body   string `long:"body" value-name:"TEXT" description:"body of the request"`
	// OrderID is sent as it is, OrderIDAuto is replaced by a new UUID version 7.
	OrderID string `long:"order-id" value-name:"auto|ID" description:"order id; auto creates a new one"`
	// Attempt is not sent if 0. It is 1 for a new order id.
	Attempt uint32 `long:"attempt" value-name:"NUMBER" description:"number of earlier attempts that may have run, plus 1"`
	// Timeout is sent to the instance; the service's own applies if 0.
	Timeout time.Duration `long:"timeout" value-name:"DURATION" description:"time limit of one attempt, stated to the instance"`
	// RetryFor is the time during which a request that was not run, or an
	// idempotent one that failed, is sent again.
	RetryFor time.Duration `long:"retry-for" value-name:"DURATION" description:"time during which the request is sent again if it was not run, or if it failed and is idempotent"`
	// Idempotent is implied by the methods GET and HEAD.
	Idempotent bool `long:"idempotent" description:"the service is idempotent; implied by GET and HEAD"`
	// Credential of the client account.
	Credential string `no-flag:"true"`
}

const (
	// retryInterval is the time between attempts.
	retryInterval = 10 * time.Millisecond
	// grace is how much longer than the stated time limit an attempt may take
	// before it counts as unanswered.
	grace = time.Second
	// defaultLimit bounds an attempt without a stated limit. It exceeds the
	// max-timeout of the sample configurations.
	defaultLimit = 11 * time.Second
)

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

// fill sets what the zero values stand for.
func (c *Config) fill() error {
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

// Do sends the request until it is answered or may not be sent again, and
// reports the last attempt. An error means that nothing was sent.
func Do(x context.Context, c Config) (Result, error) {
	if err := errors.CombineErrors(c.check(), c.fill()); err != nil {
		return Result{}, err
	}
	// Instances are reached by their address, never through a proxy.
	// On a connection of its own, net/http never repeats a request by itself.
	t := &http.Transport{DisableKeepAlives: true}
	h := &http.Client{Transport: t}
	start := time.Now()
	for n := 1; ; n++ {
		r, err := c.try(x, h, c.URLs[(n-1)%len(c.URLs)])
		if err != nil {
			return Result{}, err
		}
		r.Attempts, r.ElapsedMs, r.EndedMs = n, milliseconds(time.Since(start)), time.Now().UnixMilli()
		if x.Err() != nil || time.Since(start) >= c.RetryFor || !c.mayRepeat(r) {
			return r, nil
		}
		if r.Outcome != NotRun && c.Attempt > 0 {
			c.Attempt++
		}
		time.Sleep(retryInterval)
	}
}

// mayRepeat reports whether a further attempt is safe and can help.
func (c *Config) mayRepeat(r Result) bool {
	switch r.Status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound, http.StatusRequestEntityTooLarge:
		return false
	}
	return r.Outcome == NotRun || r.Outcome == Unknown && c.Idempotent
}

// try sends the request once.
func (c *Config) try(x context.Context, h *http.Client, base string) (Result, error) {
	d := defaultLimit
	if c.Timeout > 0 {
		d = c.Timeout + grace
	}
	x, stop := context.WithTimeout(x, d)
	defer stop()
	q, err := c.request(x, base)
	if err != nil {
		return Result{}, err
	}
	t := time.Now()
	p, err := h.Do(q)
	r := c.read(p, err)
	r.LatencyMs = milliseconds(time.Since(t))
	return r, nil
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
