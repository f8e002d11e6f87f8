package relay

import (
	"io"
	"net"
	"net/rpc"
	"strings"
	"sync/atomic"

	"dandelionrock.example/dandelionrock/clock"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// States of a call. The reply message is only written in stateDecoding, so that
// a late reply can't modify the message of a caller that has stopped waiting.
const (
	stateWaiting int32 = iota
	stateDecoding
	stateAbandoned
)

// call is both the argument and the reply of a net/rpc call at the client.
type call struct {
	request, reply proto.Message
	state          atomic.Int32
	// end is the stream position of the end of the request frame, 0 while the
	// frame is not queued.
	end  int64
	done chan *rpc.Call
}

// clientCodec implements rpc.ClientCodec. Its requests are of type *call.
type clientCodec struct {
	out *stream
	in  *reader
	// onLeave is called when the server announces that it closes.
	onLeave func()
	// onReadError is called when reading from the connection has failed.
	onReadError func()
	// lastRead is when bytes were last received, as a clock.Time.
	lastRead atomic.Int64
}

func newClientCodec(c net.Conn, o Options) *clientCodec {
	k := &clientCodec{out: newStream(c, o, 0), onLeave: func() {}, onReadError: func() {}}
	k.in = newReader(timedReader{c, &k.lastRead}, o)
	k.lastRead.Store(int64(clock.Boot()))
	return k
}

// timedReader records when bytes were last read, as a clock.Time.
type timedReader struct {
	io.Reader
	at *atomic.Int64
}

func (t timedReader) Read(b []byte) (int, error) {
	n, err := t.Reader.Read(b)
	if n > 0 {
		t.at.Store(int64(clock.Boot()))
	}
	return n, err
}

// WriteRequest queues a request. It never blocks, because net/rpc calls it with
// a lock held that all callers of the client share.
func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	k := body.(*call)
	n, err := c.out.append(header{method: r.ServiceMethod, sequence: r.Seq}, k.request, false)
	if err == nil {
		k.end = n
	}
	return err
}

// ReadResponseHeader reads frames up to the next response.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	for {
		if err := c.in.next(); err != nil {
			c.onReadError()
			return err
		}
		if h := &c.in.head; h.Method != methodLeave {
			r.Seq, r.Error, r.ServiceMethod = h.Sequence, h.Error, h.Method
			return nil
		}
		c.onLeave()
	}
}

// ReadResponseBody decodes the reply unless its caller has stopped waiting.
func (c *clientCodec) ReadResponseBody(body any) error {
	k, ok := body.(*call)
	if !ok || !k.state.CompareAndSwap(stateWaiting, stateDecoding) {
		return nil
	}
	return c.in.decode(k.reply)
}

// Close closes the connection and waits for the writer to stop.
func (c *clientCodec) Close() error {
	c.out.abort()
	return nil
}

// methodLeave is the method name in the frame by which a server announces that
// it closes. No registered method has this name.
const methodLeave = "-leave"

// serverCodec implements rpc.ServerCodec.
type serverCodec struct {
	out     *stream
	in      *reader
	replied func(m proto.Message)
}

func newServerCodec(c net.Conn, o Options) *serverCodec {
	return &serverCodec{out: newStream(c, o, o.DrainTime), in: newReader(c, o), replied: o.Replied}
}

// ReadRequestHeader reads the next request.
func (s *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	if err := s.in.next(); err != nil {
		return err
	}
	r.ServiceMethod, r.Seq = s.in.head.Method, s.in.head.Sequence
	return nil
}

// ReadRequestBody decodes the argument of a request, or skips it if body is nil.
func (s *serverCodec) ReadRequestBody(body any) error {
	if body == nil {
		return nil
	}
	m, ok := body.(proto.Message)
	if !ok {
		return errors.Newf("argument type %T is no protobuf message", body)
	}
	return s.in.decode(m)
}

// WriteResponse queues a response. A reply that can't be encoded is replaced by
// an error response, so that the caller doesn't wait in vain.
func (s *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	h := header{sequence: r.Seq, errorText: truncateError(r.Error)}
	m, _ := body.(proto.Message)
	if m != nil {
		defer s.replied(m)
	}
	if h.errorText != "" {
		m = nil
	}
	_, err := s.out.append(h, m, true)
	if err != nil && !errors.Is(err, errStreamClosed) {
		h.errorText = truncateError(err.Error())
		_, err = s.out.append(h, nil, true)
	}
	return err
}

// Close writes the queued responses, waits until the client has closed the connection or
// the drain time has passed, and closes it. A client may still send when the last response
// is written; a close would reset the connection, and the client would lose responses.
func (s *serverCodec) Close() error {
	s.out.close()
	<-s.out.done
	return nil
}

// truncateError returns an error text that fits into a header: at most
// maxErrorText bytes of valid UTF-8.
func truncateError(t string) string {
	return strings.ToValidUTF8(t[:min(len(t), maxErrorText)], "?")
}
