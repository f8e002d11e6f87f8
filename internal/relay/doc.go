// Package relay carries calls between instances. It provides a protobuf codec for
// net/rpc, a server that finishes the calls in progress before it closes, and a
// pool of client connections.
//
// A frame consists of the length of the rest of the frame (4 bytes), the length
// of the header (2 bytes), the header, which is a schema.RpcHeader, and the
// message. Lengths are big-endian.
package relay

import (
	"context"
	"net"
	"time"

	"dandelionrock.example/dandelionrock/internal/value/preset"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// ErrNotSent reports that the peer didn't receive the call.
var ErrNotSent = errors.New("call was not sent")

// ErrInterrupted reports that the connection failed after the peer may have
// received the call.
var ErrInterrupted = errors.New("call was interrupted")

// ErrTooLarge reports a request above the frame size limit. The error also
// matches ErrNotSent.
var ErrTooLarge = errTooLarge

// callError is the error of a call that failed in this package, not in the
// method. It matches kind, which is ErrNotSent or ErrInterrupted, and cause.
type callError struct{ kind, cause error }

func (e *callError) Error() string   { return e.kind.Error() + ": " + e.cause.Error() }
func (e *callError) Unwrap() []error { return []error{e.kind, e.cause} }

// notSent returns an error that matches ErrNotSent and cause.
func notSent(cause error) error { return &callError{ErrNotSent, cause} }

// Options configures a Server or a Pool. Fields that are zero get their default.
type Options struct {
	// MaxFrame bounds the bytes of a frame, and approximately the bytes that are
	// queued for writing on a connection. Default 16 MiB.
	MaxFrame int
	// WriteTimeout bounds one write, which may carry many frames. After a
	// timeout the connection is closed. Default 2 s.
	WriteTimeout time.Duration
	// DrainTime is how long a closing server continues to execute calls of clients that
	// don't react to the leave frame, and how long it waits after the last reply on a
	// connection until the client closes it. Default 2 s.
	DrainTime time.Duration

	// Connections is the number of connections of a pool to each address.
	// Default 1.
	Connections int
	// DialTimeout bounds one dial. Default 500 ms.
	DialTimeout time.Duration
	// MinBackOff and MaxBackOff bound the time during which calls fail at once
	// after a failed dial. It doubles with each consecutive failure. Default
	// 10 ms and 200 ms.
	MinBackOff, MaxBackOff time.Duration
	// Dial opens a connection. The default dials TCP.
	Dial func(c context.Context, address string) (net.Conn, error)

	// Hold is called with the number of bytes by which those have grown that are queued for
	// writing or of which a large frame is read, or shrunk if it is negative. The default
	// does nothing.
	Hold func(n int64)
	// Replied is called when a server no longer needs a reply, because it is queued or
	// can't be. The default does nothing.
	Replied func(m proto.Message)
}

func (o Options) withDefaults() Options {
	preset.Positive(&o.MaxFrame, 16<<20)
	preset.Positive(&o.WriteTimeout, 2*time.Second)
	preset.Positive(&o.DrainTime, 2*time.Second)
	preset.Positive(&o.Connections, 1)
	preset.Positive(&o.DialTimeout, 500*time.Millisecond)
	preset.Positive(&o.MinBackOff, 10*time.Millisecond)
	preset.Positive(&o.MaxBackOff, 200*time.Millisecond)
	if o.Hold == nil {
		o.Hold = func(int64) {}
	}
	if o.Replied == nil {
		o.Replied = func(proto.Message) {}
	}
	if o.Dial == nil {
		var d net.Dialer
		o.Dial = func(c context.Context, a string) (net.Conn, error) { return d.DialContext(c, "tcp", a) }
	}
	return o
}
