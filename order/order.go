// Package order implements a record of order ids and replies, so that a repeated
// order gets the reply of the first run instead of being run again.
//
// The record is kept in memory: it has a limited size and ends with its home. An
// id that may have been evicted, or recorded by an earlier home, is Unknown and
// must not run.
package order

import (
	"container/list"
	"context"
	"sync"
	"time"

	"dandelionrock.example/dandelionrock/internal/value/preset"
	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// Kind tells how to handle a request.
type Kind int

const (
	// Unknown means that the request may have run before; it must not run.
	Unknown Kind = iota
	// New means that the request has not run. The caller must run it and then
	// call Finish.
	New
	// Join means that the same request is running; Decision.Wait returns its
	// reply.
	Join
	// Replay means that the request has run; Decision.Reply is its reply.
	Replay
	// Mismatch means that the id belongs to a different request; it must not
	// run.
	Mismatch
	// Full means that the record is full of running requests; the request must
	// not run now.
	Full
)

// String returns the name of k in kebab case.
func (k Kind) String() string {
	return [...]string{"unknown", "new", "join", "replay", "mismatch", "full"}[k]
}

// entryBytes is the estimated memory of an entry without its strings and reply.
const entryBytes = 256

// maxAccounts is the number of accounts at which those without finished entries
// are deleted. They then share Record.maxEvicted.
const maxAccounts = 1024

// Options configures a Record. Zero values select the defaults.
type Options struct {
	// TermStart is the wall clock time at which the term of the home began. Ids
	// that were not created after it may have been recorded by an earlier home.
	TermStart time.Time
	// Skew is the maximum difference between the clocks of callers and homes.
	// Default 1 s.
	Skew time.Duration
	// Count is the maximum number of recorded ids, Bytes the maximum memory in
	// bytes. Default 100,000 and 32 MiB.
	Count, Bytes int
}

// Request describes a request with an order id.
type Request struct {
	// Account is the client account. Ids of different accounts are unrelated.
	Account string
	// ID is the order id. A UUID of version 7 also states when it was created.
	ID string
	// Attempt is the number of earlier attempts that may have run, plus 1, as
	// stated by the caller; 0 if it stated none.
	Attempt uint32
	// Fingerprint is a hash of the request. Repetitions of a request have the
	// same one.
	Fingerprint uint64
	// Since is the wall clock time at which the home became responsible for the
	// key. It has no effect unless it is after TermStart: ids that were not
	// created after it may have been recorded by the home of the former owner.
	Since time.Time
}

// Fingerprint returns a hash of the parts of a request that must be equal in a
// repetition.
func Fingerprint(method, path, key string, body []byte) uint64 {
	d := xxhash.New()
	for _, s := range [...]string{method, path, key} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return d.Sum64()
}

// Decision is the result of Begin.
type Decision[R any] struct {
	Kind Kind
	// Reply is the recorded reply if Kind is Replay.
	Reply R
	entry *entry[R]
}

// Wait waits for the reply to the running request. It may only be called if Kind
// is Join. If the reply says that the request was not run, the joined request
// was not run either. The error is that of c.
func (d Decision[R]) Wait(c context.Context) (R, error) {
	select {
	case <-d.entry.ready:
		return d.entry.reply, nil
	case <-c.Done():
		var z R
		return z, c.Err()
	}
}

// Record holds the order ids of one home, with the replies to requests that have
// run. R is the type of replies. A Record is safe for concurrent use. Use
// NewRecord to create one.
type Record[R any] struct {
	options Options
	size    func(R) int
	// ignoreEvictions makes isNew ignore evicted ids. Tests set it to check that
	// they detect a second run.
	ignoreEvictions bool

	mu       sync.Mutex
	entries  map[id]*entry[R]
	accounts map[string]*account
	// maxEvicted is account.maxEvicted for all accounts that are not in accounts.
	maxEvicted int64
	// bytes is the memory of all entries.
	bytes int
}

// id is an order id in its canonical form, with its client account.
type id struct{ account, id string }

// entry is the state of an order that is running or has run.
type entry[R any] struct {
	id          id
	fingerprint uint64
	// created is the creation time stated by the id in Unix milliseconds, 0 if
	// it states none.
	created int64
	// joined is set once Begin has returned Join for a repeated request.
	joined bool
	// ready is closed once reply is set.
	ready chan struct{}
	reply R
	// bytes is the memory of the entry, including the reply.
	bytes int
	// finishedElement is the element in account.finished, nil while the request
	// runs.
	finishedElement *list.Element
}

// account holds the finished entries of a client account, oldest first. Evicting
// from the largest account keeps an account with many orders from displacing the
// entries of others.
type account struct {
	finished list.List
	// bytes is the memory of the finished entries.
	bytes int
	// maxEvicted is the latest creation time of an evicted id, in Unix
	// milliseconds. An id that is not newer may have been recorded before.
	maxEvicted int64
}

// NewRecord returns an empty Record. The function size returns the memory of a
// reply in bytes.
func NewRecord[R any](o Options, size func(R) int) *Record[R] {
	preset.Positive(&o.Skew, time.Second)
	preset.Positive(&o.Count, 100_000)
	preset.Positive(&o.Bytes, 32<<20)
	return &Record[R]{options: o, size: size, entries: map[id]*entry[R]{}, accounts: map[string]*account{}}
}

// parse returns the canonical form of an order id and its creation time in Unix
// milliseconds. The time is 0 if the id is not a UUID of version 7.
func parse(s string) (string, int64) {
	u, err := uuid.Parse(s)
	if err != nil {
		return s, 0
	}
	if u.Version() != 7 || u.Variant() != uuid.RFC4122 {
		return u.String(), 0
	}
	sec, nsec := u.Time().UnixTime()
	return u.String(), sec*1000 + nsec/1e6
}

// Begin decides how to handle a request. If the decision is New, it records the
// request as running. The argument now is the wall clock time.
func (r *Record[R]) Begin(now time.Time, q Request) Decision[R] {
	s, created := parse(q.ID)
	k := id{q.Account, s}
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[k]; e != nil {
		return e.decideRepeat(q)
	}
	if !r.isNew(now, q, created) {
		return Decision[R]{Kind: Unknown}
	}
	e := &entry[R]{id: k, fingerprint: q.Fingerprint, created: created, ready: make(chan struct{})}
	e.bytes = entryBytes + len(k.account) + len(k.id)
	if !r.makeRoom(1, e.bytes) {
		return Decision[R]{Kind: Full}
	}
	r.entries[k] = e
	r.bytes += e.bytes
	return Decision[R]{Kind: New}
}

// decideRepeat decides how to handle a request whose id is recorded.
func (e *entry[R]) decideRepeat(q Request) Decision[R] {
	switch {
	case e.fingerprint != q.Fingerprint:
		return Decision[R]{Kind: Mismatch}
	case e.finishedElement == nil:
		e.joined = true
		return Decision[R]{Kind: Join, entry: e}
	default:
		return Decision[R]{Kind: Replay, Reply: e.reply}
	}
}

// isNew reports whether a request whose id is not recorded has certainly not run
// before.
func (r *Record[R]) isNew(now time.Time, q Request, created int64) bool {
	if created > 0 && created <= r.maxEvictedOf(q.Account) && !r.ignoreEvictions {
		return false
	}
	if q.Attempt == 1 {
		return true
	}
	// An id with a creation time in the future may be of any age.
	skew, since := r.options.Skew, r.options.TermStart
	if q.Since.After(since) {
		since = q.Since
	}
	return created > since.Add(skew).UnixMilli() && created <= now.Add(skew).UnixMilli()
}

// maxEvictedOf returns maxEvicted for the given account name.
func (r *Record[R]) maxEvictedOf(name string) int64 {
	if a := r.accounts[name]; a != nil {
		return a.maxEvicted
	}
	return r.maxEvicted
}

// Finish records the reply to a request for which Begin returned New and passes
// it to the requests that joined it. If ran is false, no upstream has run the
// request: its id is deleted, so that a repeated request may run.
func (r *Record[R]) Finish(q Request, reply R, ran bool) {
	s, _ := parse(q.ID)
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[id{q.Account, s}]
	if e == nil || e.finishedElement != nil {
		return
	}
	e.reply = reply
	close(e.ready)
	if !ran {
		delete(r.entries, e.id)
		r.bytes -= e.bytes
		return
	}
	n := r.size(reply)
	e.bytes += n
	r.bytes += n
	a := r.account(q.Account)
	e.finishedElement = a.finished.PushBack(e)
	a.bytes += e.bytes
	r.makeRoom(0, 0)
}

// Joined reports whether a repeated request has joined this one. Cancelling the
// first request should then not end the run.
func (r *Record[R]) Joined(q Request) bool {
	s, _ := parse(q.ID)
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[id{q.Account, s}]
	return e != nil && e.joined
}
