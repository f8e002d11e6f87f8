package sender

import (
	"net"

	"github.com/cockroachdb/errors"
)

// ErrTooLong reports that a target sent more bytes than a response may have. It
// comes with ErrNoResponse.
var ErrTooLong = errors.New("response is too long")

// maxHead bounds the head of a response, with the interim ones before it, in bytes, and
// the framing of its body beyond the length of the body.
const maxHead = 64 << 10

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
