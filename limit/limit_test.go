package limit

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/internal/model"
)

func ExampleLimiter() {
	l := New[string](Options{})
	now := time.Now()
	a, err := l.Begin(now, "guild-web", Limits{Concurrency: 1})
	fmt.Println(err, a.Retry(now))
	_, err = l.Begin(now, "guild-web", Limits{Concurrency: 1})
	fmt.Println(err)
	a.End()
	// Output:
	// <nil> true
	// concurrency limit exceeded
}

// Guards against an account whose requests are still refused by the former limit
// after its limits have changed.
func TestChangedLimits(t *testing.T) {
	l, now := New[string](Options{}), time.Now()
	for i, want := range []error{nil, nil, ErrRate} {
		if _, err := l.Begin(now, "a", Limits{Rate: 2}); !errors.Is(err, want) {
			t.Errorf("request %d: %v, want %v", i, err, want)
		}
	}
	if _, err := l.Begin(now, "a", Limits{}); err != nil {
		t.Errorf("without limits: %v", err)
	}
}

// Guards against memory that grows with the number of accounts, and against the
// eviction of accounts that have requests in flight.
func TestEviction(t *testing.T) {
	l, now := New[int](Options{Accounts: 2}), time.Now()
	a, _ := l.Begin(now, 0, Limits{Concurrency: 1})
	for i := 1; i < 100; i++ {
		b, err := l.Begin(now.Add(time.Duration(i)), i, Limits{})
		if err != nil {
			t.Fatalf("account %d: %v", i, err)
		}
		if _, err := l.Begin(now, -1, Limits{}); !errors.Is(err, ErrAccounts) {
			t.Fatalf("all accounts have requests in flight: %v, want ErrAccounts", err)
		}
		b.End()
	}
	if _, err := l.Begin(now, 0, Limits{Concurrency: 1}); !errors.Is(err, ErrConcurrency) {
		t.Errorf("account with a request in flight: %v, want ErrConcurrency", err)
	}
	if a.End(); len(l.accounts) != 2 {
		t.Errorf("%d accounts in memory, want 2", len(l.accounts))
	}
}

// system is a limiter and its oracle, which counts the requests and retries of
// each account.
type system struct {
	limiter  *Limiter[int]
	now      time.Duration
	inFlight [2][]*Account
	requests [2]int
	retries  [2]int
}

var options = Options{RetryBurst: 3, RetryRatio: 0.2, RetryFloor: 0.5}

const concurrency, requestsPerSecond = 4, 20

func (s *system) begin(n int) error {
	k := n % 2
	a, err := s.limiter.Begin(time.Unix(0, 0).Add(s.now), k, Limits{Rate: requestsPerSecond, Concurrency: concurrency})
	if err == nil {
		s.inFlight[k] = append(s.inFlight[k], a)
		s.requests[k]++
	}
	maxRequests := requestsPerSecond * (1 + s.now.Seconds())
	switch full := len(s.inFlight[k]) == concurrency; {
	case errors.Is(err, ErrConcurrency) != (full && err != nil):
		return fmt.Errorf("account %d has %d in flight: %v", k, len(s.inFlight[k]), err)
	case len(s.inFlight[k]) > concurrency || float64(s.requests[k]) > maxRequests+1e-6:
		return fmt.Errorf("account %d: %d in flight, %d requests in %v", k, len(s.inFlight[k]), s.requests[k], s.now)
	case errors.Is(err, ErrRate) && s.requests[k] < requestsPerSecond:
		return fmt.Errorf("account %d refused after %d requests", k, s.requests[k])
	}
	return nil
}

func (s *system) end(n int) error {
	if f := s.inFlight[n%2]; len(f) > 0 {
		f[0].End()
		s.inFlight[n%2] = f[1:]
	}
	return nil
}

func (s *system) retry(n int) error {
	k := n % 2
	if len(s.inFlight[k]) == 0 {
		return nil
	}
	ok := s.limiter.Retry(time.Unix(0, 0).Add(s.now), k)
	if ok {
		s.retries[k]++
	}
	maxRetries := options.RetryBurst + options.RetryRatio*float64(s.requests[k]) + options.RetryFloor*s.now.Seconds()
	if float64(s.retries[k]) > maxRetries+1e-6 || !ok && s.retries[k] < int(options.RetryBurst) {
		return fmt.Errorf("account %d: retry %d is %t, want at most %.1f", k, s.retries[k], ok, maxRetries)
	}
	return nil
}

// Guards against limits that are exceeded or that refuse allowed requests, and
// against requests of one account that count against the limits of another.
func TestStateful(t *testing.T) {
	p := model.Property[*system]{
		Seed: 20261204, Runs: 300, Length: 200, MaxArgument: 99,
		New: func() *system { return &system{limiter: New[int](options)} }, Finish: func(*system) error { return nil },
	}
	p.Operations = []func(*system, int) error{
		(*system).begin, (*system).begin, (*system).end, (*system).end, (*system).retry,
		func(s *system, n int) error { s.now += time.Duration(n) * time.Millisecond; return nil },
	}
	if err := p.Check(); err != nil {
		t.Error(err)
	}
}
