// Package limit bounds what a client account may send through one instance:
// its rate, its requests in flight and its retries.
package limit

import (
	"sync"
	"time"

	"dandelionrock.example/dandelionrock/internal/value/preset"
	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

var (
	// ErrRate reports that the client account exceeds its rate.
	ErrRate = errors.New("rate limit exceeded")
	// ErrConcurrency reports that the client account has too many requests in
	// flight.
	ErrConcurrency = errors.New("concurrency limit exceeded")
	// ErrAccounts reports that too many client accounts have requests in
	// flight.
	ErrAccounts = errors.New("too many client accounts")
)

// Options configures a Limiter. Zero values select the defaults.
type Options struct {
	// Accounts bounds the client accounts that are remembered. Default 4096.
	Accounts int
	// RetryRatio is the fraction of requests that may be followed by a retry.
	// Default 0.2.
	RetryRatio float64
	// RetryFloor is the number of retries per second that an account may make
	// in any case. Default 1.
	RetryFloor float64
	// RetryBurst bounds the retries saved up; it is also the initial budget.
	// Default 10.
	RetryBurst float64
}

// Limits are the limits of one client account; 0 means no limit.
type Limits struct {
	// Rate is in requests per second; bursts last up to one second.
	Rate        float64
	Concurrency int
}

// Limiter keeps the state of client accounts, identified by K. Use New.
type Limiter[K comparable] struct {
	options Options

	mu       sync.RWMutex
	accounts map[K]*Account
}

// Account is the state of one client account.
type Account struct {
	options *Options

	mu     sync.Mutex
	limits Limits
	rate   *rate.Limiter
	flying int
	// budget is the number of retries that may be made, at most RetryBurst.
	budget float64
	// used is the time of the last update.
	used time.Time
	// evicted accounts take no request.
	evicted bool
}

// New returns a limiter.
func New[K comparable](o Options) *Limiter[K] {
	preset.Positive(&o.Accounts, 4096)
	preset.Positive(&o.RetryRatio, 0.2)
	preset.Positive(&o.RetryFloor, 1)
	preset.Positive(&o.RetryBurst, 10)
	return &Limiter[K]{options: o, accounts: map[K]*Account{}}
}

// Begin counts a request in; the caller ends it with Account.End. The error is
// ErrRate, ErrConcurrency or ErrAccounts.
func (l *Limiter[K]) Begin(now time.Time, key K, s Limits) (*Account, error) {
	for {
		l.mu.RLock()
		a := l.accounts[key]
		l.mu.RUnlock()
		if a == nil {
			var err error
			if a, err = l.add(now, key); err != nil {
				return nil, err
			}
		}
		if ok, err := a.begin(now, s); ok || err != nil {
			return a, err
		}
	}
}

// add creates the state of an account and makes room for it.
func (l *Limiter[K]) add(now time.Time, key K) (*Account, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.accounts[key]; a != nil {
		return a, nil
	}
	if len(l.accounts) >= l.options.Accounts && !l.evict() {
		return nil, ErrAccounts
	}
	a := &Account{options: &l.options, budget: l.options.RetryBurst, used: now}
	l.accounts[key] = a
	return a, nil
}

// evict drops the idle account that was not used for the longest time.
func (l *Limiter[K]) evict() bool {
	var key K
	var old *Account
	for k, a := range l.accounts {
		a.mu.Lock()
		if a.flying == 0 && (old == nil || a.used.Before(old.used)) {
			key, old = k, a
		}
		a.mu.Unlock()
	}
	if old == nil {
		return false
	}
	old.mu.Lock()
	defer old.mu.Unlock()
	if old.flying > 0 {
		return false
	}
	old.evicted = true
	delete(l.accounts, key)
	return true
}

// begin reports false if the account was evicted in the meantime.
func (a *Account) begin(now time.Time, s Limits) (bool, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.evicted {
		return false, nil
	}
	a.adopt(s)
	a.accrue(now)
	if s.Concurrency > 0 && a.flying >= s.Concurrency {
		return false, ErrConcurrency
	}
	if a.rate != nil && !a.rate.AllowN(now, 1) {
		return false, ErrRate
	}
	a.flying++
	a.budget = min(a.budget+a.options.RetryRatio, a.options.RetryBurst)
	return true, nil
}

// adopt takes over changed limits.
func (a *Account) adopt(s Limits) {
	if s == a.limits {
		return
	}
	if a.limits.Rate != s.Rate {
		a.rate = nil
		if s.Rate > 0 {
			a.rate = rate.NewLimiter(rate.Limit(s.Rate), max(1, int(s.Rate)))
		}
	}
	a.limits = s
}

// accrue adds the retries of the floor.
func (a *Account) accrue(now time.Time) {
	if d := now.Sub(a.used); d > 0 {
		a.budget = min(a.budget+d.Seconds()*a.options.RetryFloor, a.options.RetryBurst)
		a.used = now
	}
}

// End counts a request out.
func (a *Account) End() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.flying--
}

// Retry takes one retry from the budget of an account that has a request in
// flight, or reports false if there is none.
func (l *Limiter[K]) Retry(now time.Time, key K) bool {
	l.mu.RLock()
	a := l.accounts[key]
	l.mu.RUnlock()
	return a != nil && a.Retry(now)
}

// Retry takes one retry from the budget, or reports false if there is none.
func (a *Account) Retry(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.accrue(now)
	if a.budget < 1 {
		return false
	}
	a.budget--
	return true
}
