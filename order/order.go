// Package order records the order ids that a home has seen, so that a repeated
// order is answered from the first run instead of being run again.
//
// The record is bounded and is lost with its home. An id that may have been
// forgotten is Unknown: it is never run a second time.
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

// Kind tells what to do with a request.
type Kind int

const (
	// Unknown means that the request may have run before; it must not run.
	Unknown Kind = iota
	// New means that the request must run now, and Finish be called.
	New
	// Join means that the same request runs; Decision.Wait returns its reply.
	Join
	// Replay means that the request has run; Decision.Reply is its reply.
	Replay
	// Mismatch means that the id belongs to a different request; it must not
	// run.
	Mismatch
	// Full means that too many requests run; it must not run now.
	Full
)

// String returns the name of k in kebab case.
func (k Kind) String() string {
	return [...]string{"unknown", "new", "join", "replay", "mismatch", "full"}[k]
}

// entryBytes is the memory of an entry beside its strings and its reply.
const entryBytes = 256

// maxAccounts bounds the accounts whose floors are kept separately.
const maxAccounts = 1024

// Options configures a Record. Zero values select the defaults.
type Options struct {
	// TermStart is the wall clock time at which the term of the home began. Ids that
	// are not younger may have been recorded by an earlier home.
	TermStart time.Time
	// Skew bounds the difference between the clocks of callers and homes.
	// Default 1 s.
	Skew time.Duration
	// Count bounds the ids, Bytes the memory. Default 100,000 and 32 MiB.
	Count, Bytes int
}

// Request identifies a request with an order id.
type Request struct {
	// Account is the client account. Ids of different accounts are unrelated.
	Account string
	ID      string
	// Attempt is the number stated by the caller, 0 if it stated none.
	Attempt uint32
	// Fingerprint tells whether a repeated request is the same.
	Fingerprint uint64
	// Since is when the home became responsible for the key, if that was after
	// the begin of its term: ids that are not younger may have been recorded by
	// the home of the owner before.
	Since time.Time
}

// Fingerprint returns a hash of the parts that make up a request.
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
	// Reply is set for Replay.
	Reply R
	entry *entry[R]
}

// Wait returns the reply of the run that was joined, or the error of c. If the
// reply says not-run, the joined request was not run either.
func (d Decision[R]) Wait(c context.Context) (R, error) {
	select {
	case <-d.entry.done:
		return d.entry.reply, nil
	case <-c.Done():
		var z R
		return z, c.Err()
	}
}

// Record holds the ids of one home. Use NewRecord.
type Record[R any] struct {
	options Options
	size    func(R) int
	// ignoreFloor is the fault that tests inject.
	ignoreFloor bool

	mu       sync.Mutex
	entries  map[id]*entry[R]
	accounts map[string]*account
	// floor applies to accounts that are not in accounts.
	floor int64
	bytes int
}

type id struct{ account, id string }

type entry[R any] struct {
	id          id
	fingerprint uint64
	// stamp is the time in the id in Unix milliseconds, 0 without one.
	stamp  int64
	joined bool
	// done is closed once reply is set.
	done  chan struct{}
	reply R
	bytes int
	// element is the place among the finished entries, nil while it runs.
	element *list.Element
}

// account holds the finished entries of a client account, oldest first. Each
// account gives up its own, so that one can't make others forget.
type account struct {
	finished list.List
	bytes    int
	// floor is the latest stamp that was forgotten: ids at or below it may have
	// been recorded.
	floor int64
}

// NewRecord returns an empty record. Size returns the memory of a reply.
func NewRecord[R any](o Options, size func(R) int) *Record[R] {
	preset.Positive(&o.Skew, time.Second)
	preset.Positive(&o.Count, 100_000)
	preset.Positive(&o.Bytes, 32<<20)
	return &Record[R]{options: o, size: size, entries: map[id]*entry[R]{}, accounts: map[string]*account{}}
}

// parse returns the canonical form of an order id and the time in it, in Unix
// milliseconds, or 0 if it is not a UUID of version 7.
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

// Begin decides about a request. Now is wall clock time.
func (r *Record[R]) Begin(now time.Time, q Request) Decision[R] {
	s, stamp := parse(q.ID)
	k := id{q.Account, s}
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[k]; e != nil {
		return e.repeat(q)
	}
	if !r.isNew(now, q, stamp) {
		return Decision[R]{Kind: Unknown}
	}
	e := &entry[R]{id: k, fingerprint: q.Fingerprint, stamp: stamp, done: make(chan struct{})}
	e.bytes = entryBytes + len(k.account) + len(k.id)
	if !r.makeRoom(1, e.bytes) {
		return Decision[R]{Kind: Full}
	}
	r.entries[k] = e
	r.bytes += e.bytes
	return Decision[R]{Kind: New}
}

// repeat decides about a request whose id is recorded.
func (e *entry[R]) repeat(q Request) Decision[R] {
	switch {
	case e.fingerprint != q.Fingerprint:
		return Decision[R]{Kind: Mismatch}
	case e.element == nil:
		e.joined = true
		return Decision[R]{Kind: Join, entry: e}
	default:
		return Decision[R]{Kind: Replay, Reply: e.reply}
	}
}

// isNew reports whether an id that is not recorded can't have run.
func (r *Record[R]) isNew(now time.Time, q Request, stamp int64) bool {
	if stamp > 0 && stamp <= r.floorOf(q.Account) && !r.ignoreFloor {
		return false
	}
	if q.Attempt == 1 {
		return true
	}
	// A time in the future says nothing about the age of the id.
	skew, since := r.options.Skew, r.options.TermStart
	if q.Since.After(since) {
		since = q.Since
	}
	return stamp > since.Add(skew).UnixMilli() && stamp <= now.Add(skew).UnixMilli()
}

func (r *Record[R]) floorOf(name string) int64 {
	if a := r.accounts[name]; a != nil {
		return a.floor
	}
	return r.floor
}

// Finish ends the run of a request that was New. With ran false the id is
// forgotten, because no upstream has run the request: a repeat may run.
func (r *Record[R]) Finish(q Request, reply R, ran bool) {
	s, _ := parse(q.ID)
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[id{q.Account, s}]
	if e == nil || e.element != nil {
		return
	}
	e.reply = reply
	close(e.done)
	if !ran {
		delete(r.entries, e.id)
		r.bytes -= e.bytes
		return
	}
	n := r.size(reply)
	e.bytes += n
	r.bytes += n
	a := r.account(q.Account)
	e.element = a.finished.PushBack(e)
	a.bytes += e.bytes
	r.makeRoom(0, 0)
}

// Joined reports whether a request that runs is awaited by a repeated one, so
// that the cancellation of the first should not end it.
func (r *Record[R]) Joined(q Request) bool {
	s, _ := parse(q.ID)
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[id{q.Account, s}]
	return e != nil && e.joined
}
