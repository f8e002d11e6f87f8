package linger

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Unsent returns the number of bytes written to c that the peer has not acknowledged.
func Unsent(c net.Conn) (int, error) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0, errors.Newf("%T has no socket", c)
	}
	r, err := s.SyscallConn()
	if err != nil {
		return 0, err
	}
	var n int
	var got error
	err = r.Control(func(fd uintptr) { n, got = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return n, errors.CombineErrors(err, got)
}
