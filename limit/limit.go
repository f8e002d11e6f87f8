// Package limit implements limits for client accounts: a rate limit, a limit on
// requests in flight and a retry budget.
package limit

import (
	"sync"
	"time"

	"dandelionrock.example/dandelionrock/internal/value/preset"
	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

var (
	// ErrRate is returned by Begin if the client account exceeds its rate.
	ErrRate = errors.New("rate limit exceeded")
	// ErrConcurrency is returned by Begin if the client account has too many
	// requests in flight.
	ErrConcurrency = errors.New("concurrency limit exceeded")
	// ErrAccounts is returned by Begin for a new client account if the limiter
	// is full and all its accounts have requests in flight.
	ErrAccounts = errors.New("too many client accounts")
)

// Options configures a Limiter. Zero values select the defaults.
type Options struct {
	// Accounts is the maximum number of client accounts in memory. Default 4096.
	Accounts int
	// RetryRatio is the number of retries that each request adds to the retry
	// budget of its account. Default 0.2.
	RetryRatio float64
	// RetryFloor is the number of retries per second that are added to the
	// budget independently of requests. Default 1.
	RetryFloor float64
	// RetryBurst is the maximum retry budget and also the initial one.
	// Default 10.
	RetryBurst float64
}

// Limits are the limits of one client account. Zero values mean no limit.
type Limits struct {
	// Rate is the limit in requests per second. A burst may have as many
	// requests as are allowed in one second, at least 1.
	Rate float64
	// Concurrency is the maximum number of requests in flight.
	Concurrency int
}

// Limiter enforces the limits of client accounts. K is the type of the keys that
// identify them. If there are too many accounts, it evicts those that are idle
// for the longest time. A Limiter is safe for concurrent use. Use New to create
// one.
type Limiter[K comparable] struct {
	options Options

	mu       sync.RWMutex
	accounts map[K]*Account
}

// Account is the state of one client account in a Limiter. It is returned by
// Begin.
type Account struct {
	options *Options

	mu       sync.Mutex
	limits   Limits
	rate     *rate.Limiter
	inFlight int
	// budget is the number of retries that are allowed now, at most RetryBurst.
	budget float64
	// updatedAt is the time up to which budget includes RetryFloor. Eviction uses
	// it as the time of the last use.
	updatedAt time.Time
	// evicted is set when the account is removed from the limiter: Begin must
	// then look it up again.
	evicted bool
}

// New returns a Limiter without accounts.
func New[K comparable](o Options) *Limiter[K] {
	preset.Positive(&o.Accounts, 4096)
	preset.Positive(&o.RetryRatio, 0.2)
	preset.Positive(&o.RetryFloor, 1)
	preset.Positive(&o.RetryBurst, 10)
	return &Limiter[K]{options: o, accounts: map[K]*Account{}}
}

// Begin admits a request of the account key under the limits s and counts it as
// in flight. The caller must call Account.End when the request has ended. The
// error is ErrRate, ErrConcurrency or ErrAccounts.
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

// add returns the state of an account. If there is none, it creates one and
// evicts another account if the limiter is full.
func (l *Limiter[K]) add(now time.Time, key K) (*Account, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.accounts[key]; a != nil {
		return a, nil
	}
	if len(l.accounts) >= l.options.Accounts && !l.evict() {
		return nil, ErrAccounts
	}
	a := &Account{options: &l.options, budget: l.options.RetryBurst, updatedAt: now}
	l.accounts[key] = a
	return a, nil
}

// evict removes the least recently used of the accounts without requests in
// flight. It reports whether there was one. The caller holds mu.
func (l *Limiter[K]) evict() bool {
	var key K
	var oldest *Account
	for k, a := range l.accounts {
		a.mu.Lock()
		if a.inFlight == 0 && (oldest == nil || a.updatedAt.Before(oldest.updatedAt)) {
			key, oldest = k, a
		}
		a.mu.Unlock()
	}
	if oldest == nil {
		return false
	}
	oldest.mu.Lock()
	defer oldest.mu.Unlock()
	if oldest.inFlight > 0 {
		return false
	}
	oldest.evicted = true
	delete(l.accounts, key)
	return true
}

// begin admits a request. It returns false and no error if the account has been
// evicted.
func (a *Account) begin(now time.Time, s Limits) (bool, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.evicted {
		return false, nil
	}
	a.setLimits(s)
	a.refill(now)
	if s.Concurrency > 0 && a.inFlight >= s.Concurrency {
		return false, ErrConcurrency
	}
	if a.rate != nil && !a.rate.AllowN(now, 1) {
		return false, ErrRate
	}
	a.inFlight++
	a.budget = min(a.budget+a.options.RetryRatio, a.options.RetryBurst)
	return true, nil
}

// setLimits replaces the limits. The rate limiter keeps its state unless the
// rate has changed.
func (a *Account) setLimits(s Limits) {
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

// refill adds the retries that RetryFloor allows since the last call.
func (a *Account) refill(now time.Time) {
	if d := now.Sub(a.updatedAt); d > 0 {
		a.budget = min(a.budget+d.Seconds()*a.options.RetryFloor, a.options.RetryBurst)
		a.updatedAt = now
	}
}

// End records that a request has ended.
func (a *Account) End() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inFlight--
}

// Retry takes one retry from the budget of the account key. It returns false if
// the budget is used up or the account is not known; an account with a request
// in flight is always known.
func (l *Limiter[K]) Retry(now time.Time, key K) bool {
	l.mu.RLock()
	a := l.accounts[key]
	l.mu.RUnlock()
	return a != nil && a.Retry(now)
}

// Retry takes one retry from the budget. It returns false if the budget is used
// up.
func (a *Account) Retry(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refill(now)
	if a.budget < 1 {
		return false
	}
	a.budget--
	return true
}
