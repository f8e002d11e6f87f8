// Package depot owns the memory for the bodies of requests and responses: it admits each
// body before it is read, and bounds all of them together.
//
// Bodies of requests lie outside the heap of Go. Their memory is resident only as far as
// they have arrived, and is given back when they are closed, not at some later garbage
// collection.
package depot

import (
	"io"
	"sync"
	"sync/atomic"

	"dandelionrock.example/dandelionrock/internal/plan/shed"
	"github.com/cockroachdb/errors"
)

// Errors of Read.
var (
	// ErrFull reports that there is no memory for a body at present.
	ErrFull = errors.New("no memory for the body")
	// ErrTooLong reports that a body is longer than permitted.
	ErrTooLong = errors.New("body is too long")
)

const (
	// SmallBody is the length in bytes up to which a body lies in the heap and counts as
	// held for its connection, so that large bodies don't keep small ones out.
	SmallBody = 64 << 10
	// DefaultMaxBody bounds the body of a request in bytes if the configuration doesn't.
	DefaultMaxBody = 64 << 20
	// MaxResponse bounds the body of a response in bytes.
	MaxResponse = 16 << 20
	// requestShare is the share of the memory for the bodies of requests. The Go runtime
	// is told to keep to 0.6; the program itself takes some 15 MiB.
	requestShare = 0.28
	// aloneShare is the share of the memory for a body that is the only large one, while
	// little is held. What it takes beyond requestShare is lent by what may be held and by
	// the Go runtime.
	aloneShare = 0.45
	// responseShare is the share of the memory for the large bodies of responses that are
	// being read. They lie in the heap.
	responseShare = 0.125
	// defaultMemory is the memory of the process in bytes if none is set.
	defaultMemory = 256 << 20
	// step is the number of bytes that are reserved at once for a body of unknown length.
	step = 1 << 20
	// firstRead is the size in bytes of the first buffer for a body of unknown length.
	firstRead = 512
)

// Depot is the memory for all bodies of an instance. Use New.
type Depot struct {
	mu sync.Mutex
	// memory is that of the process in bytes, and descriptors the number of files that it
	// may have open.
	memory      int64
	descriptors int
	// limit bounds used, except that limit may have been lowered since. Both are in bytes.
	limit, used int64
	// lent is the part of used beyond limit, for the body alone; both are zero values if
	// there is no such body.
	lent  int64
	alone *Body
	// onLent is called when lent or memory has changed.
	onLent func(n int64)
	// accounts holds the parts of used by client account, none of them 0.
	accounts map[Account]int64
	// responseLimit bounds responses, the bytes for the responses that are being read.
	responseLimit, responses atomic.Int64
	held                     held
}

// New returns a Depot without bodies.
func New() *Depot {
	d := &Depot{accounts: map[Account]int64{}, onLent: func(int64) {}}
	d.held.ledger, d.held.tabs = shed.New(0), map[shed.ID]*Tab{}
	d.SetMemory(defaultMemory)
	return d
}

// SetMemory sets the memory of the process in bytes.
func (d *Depot) SetMemory(n int64) {
	d.responseLimit.Store(int64(float64(n) * responseShare))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.memory, d.limit = n, limitOf(n)
	d.held.setLimit(n, d.lent)
	d.held.setMaxOpen(MaxConnections(n, d.descriptors))
	d.onLent(d.lent)
}

// OnLent has f called with the number of bytes of the memory for other uses that is lent to
// the body of a request, whenever that number or the memory has changed.
func (d *Depot) OnLent(f func(n int64)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.onLent = f
}

// Capacity returns the length in bytes of the longest body that is ever admitted by a
// process that has the given memory in bytes.
func Capacity(memory int64) int64 { return int64(float64(memory) * aloneShare) }

// sharedCapacity returns the length in bytes of the longest body that is admitted beside
// others, given the limit of all.
func sharedCapacity(limit int64) int64 { return limit - limit/mediumReserve }

// MaxBody returns the length in bytes of the longest body that clients may send, given
// the bound in the configuration, or 0 if there is none.
func MaxBody(configured int64) int64 {
	if configured <= 0 {
		return DefaultMaxBody
	}
	return configured
}

// limitOf returns the bytes for the large bodies of requests.
func limitOf(memory int64) int64 { return int64(float64(memory) * requestShare) }

// Used returns the bytes that are reserved for the large bodies of requests.
func (d *Depot) Used() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.used
}

// take reserves n more bytes for a body. If there is no room it takes back what the body
// has, so that of several bodies that don't fit together all but one fail, and not all of
// them.
func (d *Depot) take(b *Body, n int64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch a := d.accounts[b.account] - b.reserved; {
	case admits(d.limit+d.lent, d.used, a, b.reserved, n):
	case (d.alone == b || d.alone == nil && d.used == b.reserved) && b.reserved+n <= Capacity(d.memory):
		lent := max(b.reserved+n-sharedCapacity(d.limit), 0)
		if !d.held.isCalm(d.memory, lent) {
			d.remove(b)
			return ErrFull
		}
		d.alone = b
		d.lend(lent)
	default:
		d.remove(b)
		return ErrFull
	}
	d.add(b.account, n)
	b.reserved += n
	return nil
}

// give gives back what a body has reserved.
func (d *Depot) give(b *Body) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.remove(b)
}

// remove is give for a caller that holds mu.
func (d *Depot) remove(b *Body) {
	d.add(b.account, -b.reserved)
	b.reserved = 0
	if d.alone == b {
		d.alone = nil
		d.lend(0)
	}
}

// lend sets lent. The caller holds mu.
func (d *Depot) lend(n int64) {
	if n == d.lent {
		return
	}
	d.lent = n
	d.held.setLimit(d.memory, n)
	d.onLent(n)
}

// add changes the bytes of an account. The caller holds mu.
func (d *Depot) add(a Account, n int64) {
	d.used += n
	d.accounts[a] += n
	if d.accounts[a] == 0 {
		delete(d.accounts, a)
	}
}

// ReadResponse reads the body of a response and calls progress with the number of bytes
// of each read. It fails with ErrTooLong if the body exceeds MaxResponse, or the memory
// for all responses that are being read or are held.
func (d *Depot) ReadResponse(r io.Reader, progress func(n int)) ([]byte, error) {
	var reserved int64
	defer func() {
		d.responses.Add(-reserved)
		d.Hold(-reserved)
	}()
	b := make([]byte, 0, firstRead)
	for {
		if len(b) == cap(b) {
			n := int64(2 * cap(b))
			if n > SmallBody {
				// The old and the new buffer exist at the same time.
				more := n + int64(cap(b)) - reserved
				reserved += more
				within := d.held.hold(shed.Others, more)
				if d.responses.Add(more) > d.responseLimit.Load() || len(b) >= MaxResponse || !within {
					return nil, ErrTooLong
				}
			}
			b = append(make([]byte, 0, n), b...)
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		progress(n)
		switch {
		case err == io.EOF:
			return b, nil
		case err != nil:
			return nil, err
		}
	}
}
