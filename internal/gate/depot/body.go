package depot

import (
	"io"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Body is the body of a request. A nil Body is empty.
type Body struct {
	depot   *Depot
	tab     *Tab
	account Account
	// data holds the bytes that have arrived. It is a part of mapped, unless that is nil.
	data, mapped []byte
	// reserved is the number of bytes taken from the depot. While the body is read into
	// mapped it is at least len(data).
	reserved int64
	// held is the number of bytes that are held for the tab: the size of data while it is
	// in the heap.
	held   int64
	closed atomic.Bool
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
	b.tab.Hold(-b.held)
	b.depot.give(b)
	return errors.Wrap(err, "unmap body")
}

// Read reads a body of a client account that has the given length, or of unknown length if
// it is negative, from the connection of a tab. It fails with ErrTooLong for a body of more
// than limit bytes, and with ErrFull if there is no memory for it: if the length is known,
// before anything is read. The caller must close the body.
func (d *Depot) Read(r io.Reader, t *Tab, a Account, length, limit int64) (_ *Body, err error) {
	if length > limit {
		return nil, ErrTooLong
	}
	b := &Body{depot: d, tab: t, account: a}
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
		if err := b.admit(length); err != nil {
			return err
		}
		b.data = make([]byte, length)
	} else if err := b.allocate(length); err != nil {
		return err
	}
	_, err := io.ReadFull(r, b.data)
	return err
}

// admit counts n bytes in the heap.
func (b *Body) admit(n int64) error {
	if err := b.tab.Admit(n); err != nil {
		return err
	}
	b.held += n
	return nil
}

// allocate reserves n bytes and sets data to them.
func (b *Body) allocate(n int64) error {
	if err := b.depot.take(b, n); err != nil {
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
	if err := b.admit(firstRead); err != nil {
		return err
	}
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
			if err := b.depot.take(b, min(step, int64(len(b.mapped))-b.reserved)); err != nil {
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
		if err := b.admit(int64(n - cap(b.data))); err != nil {
			return err
		}
		b.data = append(make([]byte, 0, n), b.data...)
		return nil
	}
	if err := b.depot.take(b, step); err != nil {
		return err
	}
	// The byte more than limit tells a body that is too long.
	if err := b.mapMemory(max(limit, SmallBody) + 1); err != nil {
		return err
	}
	b.data = b.mapped[:copy(b.mapped, b.data)]
	b.tab.Hold(-b.held)
	b.held = 0
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
