// Package relay carries calls between instances: net/rpc with a protobuf codec,
// a server that closes without losing calls and a pool of client connections.
//
// A frame is 4 bytes for the length of the rest, 2 bytes for the length of the
// header, a schema.RpcHeader and the message. Numbers are big-endian.
package relay

import (
	"context"
	"net"
	"time"

	"dandelionrock.example/dandelionrock/internal/value/preset"
	"github.com/cockroachdb/errors"
)

// ErrNotSent reports that the peer can't have received the call.
var ErrNotSent = errors.New("call was not sent")

// ErrInterrupted reports that the connection failed after the peer may have
// received the call.
var ErrInterrupted = errors.New("call was interrupted")

// ErrTooLarge reports a request above the frame size limit; the error is also
// an ErrNotSent.
var ErrTooLarge = errTooLarge

// callError is the error of a call that failed in the relay itself.
type callError struct{ kind, cause error }

func (e *callError) Error() string   { return e.kind.Error() + ": " + e.cause.Error() }
func (e *callError) Unwrap() []error { return []error{e.kind, e.cause} }

func notSent(cause error) error { return &callError{ErrNotSent, cause} }

// Options configures a Server or a Pool. Zero values select the defaults.
type Options struct {
	// MaxFrame bounds a frame in bytes, and approximately the bytes that wait
	// to be written on a connection. Default 16 MiB.
	MaxFrame int
	// WriteTimeout bounds one write, which carries many frames, after which
	// the connection is given up. Default 2 s.
	WriteTimeout time.Duration
	// DrainTime bounds how long a closing server reads from clients that
	// ignore its announcement. Default 2 s.
	DrainTime time.Duration

	// Connections is the number of connections for each address. Default 1.
	Connections int
	// DialTimeout bounds one dial. Default 500 ms.
	DialTimeout time.Duration
	// MinBackOff and MaxBackOff bound the time during which calls fail at once
	// after a failed dial; it doubles with each failure in a row. Default 10 ms
	// and 200 ms.
	MinBackOff, MaxBackOff time.Duration
	// Dial opens a connection. Default is a TCP dial.
	Dial func(c context.Context, address string) (net.Conn, error)
}

func (o Options) withDefaults() Options {
	preset.Positive(&o.MaxFrame, 16<<20)
	preset.Positive(&o.WriteTimeout, 2*time.Second)
	preset.Positive(&o.DrainTime, 2*time.Second)
	preset.Positive(&o.Connections, 1)
	preset.Positive(&o.DialTimeout, 500*time.Millisecond)
	preset.Positive(&o.MinBackOff, 10*time.Millisecond)
	preset.Positive(&o.MaxBackOff, 200*time.Millisecond)
	if o.Dial == nil {
		var d net.Dialer
		o.Dial = func(c context.Context, a string) (net.Conn, error) { return d.DialContext(c, "tcp", a) }
	}
	return o
}
