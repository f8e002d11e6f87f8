package relay

import (
	"net"
	"net/rpc"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// States of a call. The reply message may only be written in stateDecoding, so
// that a late reply can't touch the message of a caller that has gone.
const (
	stateWaiting int32 = iota
	stateDecoding
	stateAbandoned
)

// call is both argument and reply of a net/rpc call at the client.
type call struct {
	request, reply proto.Message
	state          atomic.Int32
	// end is the stream position behind the request, 0 while it is not queued.
	end  int64
	done chan *rpc.Call
}

// clientCodec implements rpc.ClientCodec. Its requests are of type *call.
type clientCodec struct {
	out *stream
	in  *reader
	// leave is called when the server announces that it closes.
	leave func()
	// lost is called when the connection can't be read any more.
	lost func()
	// heard is the time of the last frame, in Unix nanoseconds.
	heard atomic.Int64
}

func newClientCodec(c net.Conn, o Options) *clientCodec {
	return &clientCodec{out: newStream(c, o.MaxFrame, o.WriteTimeout), in: newReader(c, o.MaxFrame), leave: func() {}, lost: func() {}}
}

// WriteRequest queues a request. It never waits, because net/rpc holds a lock
// that all callers share.
func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	k := body.(*call)
	n, err := c.out.append(header{method: r.ServiceMethod, sequence: r.Seq}, k.request, false)
	if err == nil {
		k.end = n
	}
	return err
}

// ReadResponseHeader reads the next response.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	for {
		if err := c.in.next(); err != nil {
			c.lost()
			return err
		}
		c.heard.Store(time.Now().UnixNano())
		if h := &c.in.head; h.Method != methodLeave {
			r.Seq, r.Error, r.ServiceMethod = h.Sequence, h.Error, h.Method
			return nil
		}
		c.leave()
	}
}

// ReadResponseBody decodes the reply unless its caller has gone.
func (c *clientCodec) ReadResponseBody(body any) error {
	k, ok := body.(*call)
	if !ok || !k.state.CompareAndSwap(stateWaiting, stateDecoding) {
		return nil
	}
	return c.in.decode(k.reply)
}

// Close closes the connection and waits for the writer.
func (c *clientCodec) Close() error {
	c.out.abort()
	return nil
}

// methodLeave marks the frame by which a server announces that it closes.
const methodLeave = "-leave"

// serverCodec implements rpc.ServerCodec.
type serverCodec struct {
	out *stream
	in  *reader
}

func newServerCodec(c net.Conn, o Options) *serverCodec {
	return &serverCodec{out: newStream(c, o.MaxFrame, o.WriteTimeout), in: newReader(c, o.MaxFrame)}
}

// ReadRequestHeader reads the next request.
func (s *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	if err := s.in.next(); err != nil {
		return err
	}
	r.ServiceMethod, r.Seq = s.in.head.Method, s.in.head.Sequence
	return nil
}

// ReadRequestBody decodes the arguments; a nil body is discarded.
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
// an error, so that the caller does not wait for it.
func (s *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	h := header{sequence: r.Seq, fault: faultText(r.Error)}
	m, _ := body.(proto.Message)
	if h.fault != "" {
		m = nil
	}
	_, err := s.out.append(h, m, true)
	if err != nil && !errors.Is(err, errStream) {
		h.fault = faultText(err.Error())
		_, err = s.out.append(h, nil, true)
	}
	return err
}

// Close writes the responses that are queued and closes the connection.
func (s *serverCodec) Close() error {
	s.out.close()
	<-s.out.done
	return nil
}

// faultText returns an error text that fits into a header.
func faultText(t string) string {
	return strings.ToValidUTF8(t[:min(len(t), maxError)], "?")
}
