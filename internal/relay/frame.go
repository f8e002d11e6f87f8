package relay

import (
	"bufio"
	"encoding/binary"
	"io"

	"dandelionrock.example/dandelionrock/schema"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// readBuffer is the size of the read buffer. Frames that fit are decoded in
// place; larger ones are read into a separate buffer.
const readBuffer = 64 << 10

// header is the content of a schema.RpcHeader to be written.
type header struct {
	method   string
	sequence uint64
	fault    string
}

// reader reads frames. It is used by one goroutine.
type reader struct {
	in    *bufio.Reader
	limit int
	head  schema.RpcHeader
	// body is valid until the next frame is read.
	body []byte
	// held is the number of bytes of the current frame that are still in the
	// read buffer.
	held  int
	large []byte
}

func newReader(r io.Reader, limit int) *reader {
	return &reader{in: bufio.NewReaderSize(r, readBuffer), limit: limit}
}

// next reads a frame into head and body.
func (r *reader) next() error {
	r.release()
	h, err := r.in.Peek(frameHead)
	if err != nil {
		if len(h) > 0 && errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		return err
	}
	n := int(binary.BigEndian.Uint32(h)) + 4
	m := int(binary.BigEndian.Uint16(h[4:])) + frameHead
	if n > r.limit {
		return errTooLarge
	}
	if m > n {
		return errors.New("malformed frame")
	}
	f, err := r.load(n)
	if err != nil {
		return err
	}
	r.body = f[m:]
	return errors.Wrap(proto.Unmarshal(f[frameHead:m], &r.head), "decode header")
}

// load returns the n bytes of a frame.
func (r *reader) load(n int) ([]byte, error) {
	if n <= readBuffer {
		f, err := r.in.Peek(n)
		if err != nil {
			return nil, io.ErrUnexpectedEOF
		}
		r.held = n
		return f, nil
	}
	if cap(r.large) < n {
		r.large = make([]byte, n)
	}
	if _, err := io.ReadFull(r.in, r.large[:n]); err != nil {
		return nil, io.ErrUnexpectedEOF
	}
	return r.large[:n], nil
}

// release gives up the current frame.
func (r *reader) release() {
	_, _ = r.in.Discard(r.held)
	r.held, r.body = 0, nil
	if cap(r.large) > keepBuffer {
		r.large = nil
	}
}

// decode reads the body of the current frame into m.
func (r *reader) decode(m proto.Message) error {
	return errors.Wrap(proto.Unmarshal(r.body, m), "decode message")
}
