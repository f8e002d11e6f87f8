package relay

import (
	"bufio"
	"encoding/binary"
	"io"

	"dandelionrock.example/dandelionrock/schema"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// readBufferSize is in bytes. Frames that fit into the read buffer are decoded in
// place; larger ones are read into a separate buffer.
const readBufferSize = 64 << 10

// header holds the fields of a schema.RpcHeader that is to be written.
type header struct {
	method    string
	sequence  uint64
	errorText string
}

// reader reads frames. It is used by one goroutine.
type reader struct {
	in *bufio.Reader
	// limit is the maximum size of a frame in bytes.
	limit int
	head  schema.RpcHeader
	// body is valid until the next frame is read.
	body []byte
	// buffered is the number of bytes of the current frame that must be
	// discarded from the read buffer.
	buffered int
	// large is reused for frames that don't fit into the read buffer.
	large []byte
	// hold is told of changes of the size of large.
	hold func(n int64)
}

func newReader(r io.Reader, o Options) *reader {
	return &reader{in: bufio.NewReaderSize(r, readBufferSize), limit: o.MaxFrame, hold: o.Hold}
}

// next reads a frame into head and body. It must not be called again after an error.
func (r *reader) next() error {
	r.discard()
	err := r.read()
	if err != nil {
		r.setLarge(nil)
	}
	return err
}

// setLarge replaces large.
func (r *reader) setLarge(b []byte) {
	r.hold(int64(cap(b) - cap(r.large)))
	r.large = b
}

func (r *reader) read() error {
	h, err := r.in.Peek(prefixSize)
	if err != nil {
		if len(h) > 0 && errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		return err
	}
	n := int(binary.BigEndian.Uint32(h)) + 4
	m := int(binary.BigEndian.Uint16(h[4:])) + prefixSize
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
	return errors.Wrap(proto.Unmarshal(f[prefixSize:m], &r.head), "decode header")
}

// load returns the next frame, which has n bytes.
func (r *reader) load(n int) ([]byte, error) {
	if n <= readBufferSize {
		f, err := r.in.Peek(n)
		if err != nil {
			return nil, io.ErrUnexpectedEOF
		}
		r.buffered = n
		return f, nil
	}
	if cap(r.large) < n {
		r.setLarge(make([]byte, n))
	}
	if _, err := io.ReadFull(r.in, r.large[:n]); err != nil {
		return nil, io.ErrUnexpectedEOF
	}
	return r.large[:n], nil
}

// discard removes the current frame from the read buffer.
func (r *reader) discard() {
	_, _ = r.in.Discard(r.buffered)
	r.buffered, r.body = 0, nil
	if cap(r.large) > maxReusedBuffer {
		r.setLarge(nil)
	}
}

// decode decodes the body of the current frame into m.
func (r *reader) decode(m proto.Message) error {
	return errors.Wrap(proto.Unmarshal(r.body, m), "decode message")
}
