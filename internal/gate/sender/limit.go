package sender

import (
	"io"
	"net"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// ErrTooLong reports that a target sent more bytes than a response may have. It
// comes with ErrNoResponse.
var ErrTooLong = errors.New("response is too long")

const (
	// maxHead bounds the head of a response, with the interim ones before it, in
	// bytes, and the framing of its body beyond the length of the body.
	maxHead = 64 << 10
	// maxBody bounds the body of a response in bytes.
	maxBody = 16 << 20
	// smallBody is the part of a body in bytes that needs no room in the memory for
	// bodies, so that targets that send without end don't harm usual responses.
	smallBody = 64 << 10
	// bodyShare is the memory of the process divided by that for large bodies.
	bodyShare = 8
	// defaultMemory is the memory of the process in bytes if none is set.
	defaultMemory = 256 << 20
)

// limited is a connection from which a bounded number of bytes is read.
type limited struct {
	net.Conn
	// left is the number of bytes that may still be read.
	left int64
}

// Read reads at most the bytes that are left, and fails if there are none.
func (l *limited) Read(b []byte) (int, error) {
	if l.left <= 0 {
		return 0, ErrTooLong
	}
	n, err := l.Conn.Read(b[:min(int64(len(b)), l.left)])
	l.left -= int64(n)
	return n, err
}

// bodies is the memory for the bodies of all responses that are being read, beyond
// the first smallBody bytes of each.
type bodies struct{ limit, used atomic.Int64 }

// read reads a body and calls progress with the number of bytes of each read. It
// fails if the body exceeds maxBody, or the memory for all.
func (m *bodies) read(r io.Reader, progress func(n int)) ([]byte, error) {
	var reserved int64
	defer func() { m.used.Add(-reserved) }()
	b := make([]byte, 0, 512)
	for {
		if len(b) == cap(b) {
			n := int64(2 * cap(b))
			if n > smallBody {
				// The old and the new buffer exist at the same time.
				more := n + int64(cap(b)) - reserved
				reserved += more
				if m.used.Add(more) > m.limit.Load() || len(b) >= maxBody {
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
