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
	"syscall"

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
	// SmallBody is the length in bytes up to which a body is always admitted, so that
	// large bodies don't keep small ones out. Connections have buffers of this size.
	SmallBody = 64 << 10
	// DefaultMaxBody bounds the body of a request in bytes if the configuration doesn't.
	DefaultMaxBody = 64 << 20
	// MaxResponse bounds the body of a response in bytes.
	MaxResponse = 16 << 20
	// requestShare is the share of the memory for the bodies of requests. The Go runtime
	// is told to keep to 0.6; the program itself takes some 15 MiB.
	requestShare = 0.28
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
	// limit bounds used, except that limit may have been lowered since. Both are in bytes.
	limit, used int64
	// accounts holds the parts of used by client account, none of them 0.
	accounts map[Account]int64
	// responseLimit bounds responses, the bytes for the responses that are being read.
	responseLimit, responses atomic.Int64
	held                     held
}

// New returns a Depot without bodies.
func New() *Depot {
	d := &Depot{accounts: map[Account]int64{}}
	d.held.ledger, d.held.tabs = shed.New(0), map[shed.ID]*Tab{}
	d.SetMemory(defaultMemory)
	return d
}

// SetMemory sets the memory of the process in bytes.
func (d *Depot) SetMemory(n int64) {
	d.responseLimit.Store(int64(float64(n) * responseShare))
	d.held.setLimit(int64(float64(n) * heldShare))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limit = limitOf(n)
}

// Capacity returns the length in bytes of the longest body that is ever admitted by a
// process that has the given memory in bytes.
func Capacity(memory int64) int64 {
	n := limitOf(memory)
	return n - n/mediumReserve
}

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

// take reserves n bytes for a body that holds some. If there is no room it takes these
// back at once, so that of several bodies that don't fit together all but one fail, and
// not all of them.
func (d *Depot) take(a Account, n, held int64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !admits(d.limit, d.used, d.accounts[a]-held, held, n) {
		d.add(a, -held)
		return ErrFull
	}
	d.add(a, n)
	return nil
}

func (d *Depot) give(a Account, n int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.add(a, -n)
}

// add changes the bytes of an account. The caller holds mu.
func (d *Depot) add(a Account, n int64) {
	d.used += n
	d.accounts[a] += n
	if d.accounts[a] == 0 {
		delete(d.accounts, a)
	}
}

// Body is the body of a request. A nil Body is empty.
type Body struct {
	depot   *Depot
	account Account
	// data holds the bytes that have arrived. It is a part of mapped, unless that is nil.
	data, mapped []byte
	// reserved is the number of bytes taken from the depot. While the body is read into
	// mapped it is at least len(data).
	reserved int64
	closed   atomic.Bool
}

// Bytes returns the body. It must not be used after Close.
func (b *Body) Bytes() []byte {
	if b == nil {
		return nil
	}
	return b.data
}

// Close gives the memory of the body back. Later calls have no effect.
func (b *Body) Close() error {
	if b == nil || b.closed.Swap(true) {
		return nil
	}
	var err error
	if b.mapped != nil {
		err = syscall.Munmap(b.mapped)
		b.data, b.mapped = nil, nil
	}
	b.depot.give(b.account, b.reserved)
	return errors.Wrap(err, "unmap body")
}

// Read reads a body of a client account that has the given length, or of unknown length if
// it is negative. It fails with ErrTooLong for a body of more than limit bytes, and with
// ErrFull if there is no memory for it: if the length is known, before anything is read.
// The caller must close the body.
func (d *Depot) Read(r io.Reader, a Account, length, limit int64) (_ *Body, err error) {
	if length > limit {
		return nil, ErrTooLong
	}
	b := &Body{depot: d, account: a}
	whole := false
	defer func() {
		// The reader may have panicked.
		if !whole {
			err = errors.CombineErrors(err, b.Close())
		}
	}()
	if length >= 0 {
		err = b.readFull(r, length)
	} else {
		err = b.readAll(r, limit)
	}
	if err != nil {
		return nil, err
	}
	whole = true
	return b, nil
}

// readFull reads a body of known length.
func (b *Body) readFull(r io.Reader, length int64) error {
	if length <= SmallBody {
		b.data = make([]byte, length)
	} else if err := b.allocate(length); err != nil {
		return err
	}
	_, err := io.ReadFull(r, b.data)
	return err
}

// allocate reserves n bytes and sets data to them.
func (b *Body) allocate(n int64) error {
	if err := b.reserve(n); err != nil {
		return err
	}
	if err := b.mapMemory(n); err != nil {
		return err
	}
	b.data = b.mapped
	return nil
}

// readAll reads a body of unknown length: a small one into the heap, and a larger one
// into a mapping in which any permitted body fits.
func (b *Body) readAll(r io.Reader, limit int64) error {
	b.data = make([]byte, 0, firstRead)
	for {
		if len(b.data) == cap(b.data) {
			if err := b.grow(limit); err != nil {
				return err
			}
		}
		// Memory that is not reserved must not become resident.
		end := cap(b.data)
		if b.mapped != nil {
			end = min(end, int(b.reserved))
		}
		n, err := r.Read(b.data[len(b.data):end])
		b.data = b.data[:len(b.data)+n]
		switch {
		case int64(len(b.data)) > limit:
			return ErrTooLong
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
		if b.mapped != nil && len(b.data) == int(b.reserved) {
			if err := b.reserve(step); err != nil {
				return err
			}
		}
	}
}

// grow makes room in a buffer that is full.
func (b *Body) grow(limit int64) error {
	if b.mapped != nil {
		return ErrTooLong
	}
	if n := 2 * cap(b.data); n <= SmallBody {
		b.data = append(make([]byte, 0, n), b.data...)
		return nil
	}
	if err := b.reserve(step); err != nil {
		return err
	}
	// The byte more than limit tells a body that is too long.
	if err := b.mapMemory(max(limit, SmallBody) + 1); err != nil {
		return err
	}
	b.data = b.mapped[:copy(b.mapped, b.data)]
	return nil
}

func (b *Body) reserve(n int64) error {
	if err := b.depot.take(b.account, n, b.reserved); err != nil {
		b.reserved = 0
		return err
	}
	b.reserved += n
	return nil
}

// mapMemory sets mapped to n bytes outside the heap, none of which is resident yet.
func (b *Body) mapMemory(n int64) error {
	m, err := syscall.Mmap(-1, 0, int(n), syscall.PROT_READ|syscall.PROT_WRITE, syscall.MAP_ANON|syscall.MAP_PRIVATE|syscall.MAP_NORESERVE)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "map body"), ErrFull)
	}
	b.mapped = m
	// A huge page would be resident before it is reserved. Kernels without them don't
	// know the advice.
	_ = syscall.Madvise(m, syscall.MADV_NOHUGEPAGE)
	return nil
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
