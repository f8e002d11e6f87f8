package depot

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of Shelf.
var (
	// errMissing reports a body that was dropped or is not complete.
	errMissing = errors.New("body is missing")
	errPiece   = errors.New("piece is outside of the body")
)

// Key identifies a request by its entry and the number that the entry gave it.
type Key struct {
	Entry string
	Call  uint64
}

// Shelf holds the bodies of requests that other instances send here in pieces, ahead of
// the requests. Use NewShelf.
type Shelf struct {
	depot *Depot
	mu    sync.Mutex
	parts map[Key]*part
}

// part is a body that arrives.
type part struct {
	mu sync.Mutex
	// body is nil once it was taken or dropped.
	body *Body
	// missing is the number of bytes that have not arrived.
	missing int64
	expiry  *time.Timer
}

// NewShelf returns a Shelf whose bodies take their memory from d.
func NewShelf(d *Depot) *Shelf { return &Shelf{depot: d, parts: map[Key]*part{}} }

// Put adds a piece to a body of a client account that has the given length. The first piece admits the whole body;
// it fails with ErrFull if there is no memory for it. A body that isn't taken after left
// is dropped.
func (s *Shelf) Put(k Key, a Account, length, offset int64, data []byte, left time.Duration) error {
	p, err := s.part(k, a, length, left)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.body == nil {
		return errMissing
	}
	b := p.body.data
	if offset < 0 || offset > int64(len(b)) || int64(len(data)) > int64(len(b))-offset {
		return errPiece
	}
	copy(b[offset:], data)
	p.missing -= int64(len(data))
	return nil
}

// part returns the part of a request, and begins it if there is none.
func (s *Shelf) part(k Key, a Account, length int64, left time.Duration) (*part, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.parts[k]; p != nil {
		return p, nil
	}
	if length <= 0 || left <= 0 {
		return nil, errMissing
	}
	b := &Body{depot: s.depot, account: a}
	if err := b.allocate(length); err != nil {
		return nil, errors.CombineErrors(err, b.Close())
	}
	p := &part{body: b, missing: length}
	p.expiry = time.AfterFunc(left, func() { _ = s.Drop(k) })
	s.parts[k] = p
	return p, nil
}

// Take returns the body of a request, which must have the given length. The caller must
// close it.
func (s *Shelf) Take(k Key, length int64) (*Body, error) {
	b, missing := s.remove(k)
	if b == nil || missing != 0 || int64(len(b.data)) != length {
		return nil, errors.CombineErrors(errMissing, b.Close())
	}
	return b, nil
}

// Drop gives the memory of a body back that will not be taken.
func (s *Shelf) Drop(k Key) error {
	b, _ := s.remove(k)
	return b.Close()
}

// remove takes the part of a request out of the shelf and returns its body, or nil, and
// the number of bytes that have not arrived.
func (s *Shelf) remove(k Key) (*Body, int64) {
	s.mu.Lock()
	p := s.parts[k]
	delete(s.parts, k)
	s.mu.Unlock()
	if p == nil {
		return nil, 0
	}
	p.expiry.Stop()
	// A piece may be being copied.
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.body
	p.body = nil
	return b, p.missing
}
