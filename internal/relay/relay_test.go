package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/schema"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Echo counts the runs of each request and answers with the request id and the
// size of the body. If there is a gate for the request id, it first waits until
// that channel is closed.
type Echo struct {
	runs  sync.Map // request id to *atomic.Int32
	gates sync.Map // request id to chan struct{}
}

func (e *Echo) Do(q *schema.ForwardRequest, r *schema.ForwardReply) error {
	n, _ := e.runs.LoadOrStore(q.RequestId, new(atomic.Int32))
	n.(*atomic.Int32).Add(1)
	if g, ok := e.gates.Load(q.RequestId); ok {
		<-g.(chan struct{})
	}
	if q.Method == "FAIL" {
		return errors.New("refused by handler")
	}
	if q.Method == "LARGE" {
		r.Body = make([]byte, 1<<20)
	}
	r.Reason, r.Status = q.RequestId, int32(len(q.Body))
	return nil
}

// count returns the number of runs of a request.
func (e *Echo) count(id string) int {
	if n, ok := e.runs.Load(id); ok {
		return int(n.(*atomic.Int32).Load())
	}
	return 0
}

// serve starts a server with an Echo and returns its address.
func serve(t testing.TB, o Options) (*Echo, *Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e, s := new(Echo), NewServer(o)
	if err := s.Register(e); err != nil {
		t.Fatal(err)
	}
	go s.Serve(l)
	return e, s, l.Addr().String()
}

func request(id string, size int) *schema.ForwardRequest {
	return &schema.ForwardRequest{RequestId: id, Body: make([]byte, size)}
}

// Guards against replies that are delivered to the wrong call, against frames that are
// damaged because their size is close to that of the read buffer, and against bytes that
// stay counted when the connections are closed.
func TestConcurrentCalls(t *testing.T) {
	var held, replied, most atomic.Int64
	hold := func(n int64) { most.Store(max(most.Load(), held.Add(n))) }
	_, s, a := serve(t, Options{Hold: hold, Replied: func(proto.Message) { replied.Add(1) }})
	p := NewPool(Options{Connections: 2, Hold: hold})
	var g sync.WaitGroup
	for i := range 64 {
		g.Go(func() {
			for j, n := range []int{0, 1, 4096, readBufferSize - 60, readBufferSize, readBufferSize + 1, 1 << 20} {
				id, r := fmt.Sprintf("%d-%d", i, j), new(schema.ForwardReply)
				if err := p.Call(t.Context(), a, "Echo.Do", request(id, n), r); err != nil || r.Reason != id || int(r.Status) != n {
					t.Errorf("call %s: reply %q, %d bytes, %v", id, r.Reason, r.Status, err)
				}
			}
		})
	}
	g.Wait()
	p.Close()
	s.Close()
	if held.Load() != 0 || most.Load() < 1<<20 || replied.Load() != 64*7 {
		t.Errorf("%d bytes are held, at most %d; %d replies", held.Load(), most.Load(), replied.Load())
	}
}

// Guards against errors that don't state whether the peer can have received the
// call.
func TestErrors(t *testing.T) {
	e, s, a := serve(t, Options{MaxFrame: 64 << 10})
	p := NewPool(Options{MaxFrame: 64 << 10})
	r := new(schema.ForwardReply)
	var f rpc.ServerError
	q := request("1", 0)
	q.Method = "FAIL"
	if err := p.Call(t.Context(), a, "Echo.Do", q, r); !errors.As(err, &f) {
		t.Errorf("failing method: %v, want a ServerError", err)
	}
	q.Method = "LARGE"
	if err := p.Call(t.Context(), a, "Echo.Do", q, r); !errors.As(err, &f) {
		t.Errorf("large reply: %v, want a ServerError", err)
	}
	if err := p.Call(t.Context(), a, "Echo.None", q, r); !errors.As(err, &f) {
		t.Errorf("unknown method: %v, want a ServerError", err)
	}
	if err := p.Call(t.Context(), a, "Echo.Do", request("2", 70<<10), r); !errors.Is(err, ErrNotSent) || !errors.Is(err, ErrTooLarge) {
		t.Errorf("large request: %v, want ErrNotSent and ErrTooLarge", err)
	}
	if err := p.Call(t.Context(), a, "Echo.Do", &schema.ForwardRequest{RequestId: "2", Key: "\xff"}, r); !errors.Is(err, ErrNotSent) {
		t.Errorf("request that can't be encoded: %v, want ErrNotSent", err)
	}
	if err := p.Call(t.Context(), a, "Echo.Do", request("3", 0), r); err != nil || r.Reason != "3" {
		t.Errorf("call after refused calls: %v", err)
	}
	s.Close()
	for range 3 {
		if err := p.Call(t.Context(), a, "Echo.Do", request("2", 0), r); !errors.Is(err, ErrNotSent) {
			t.Errorf("no listener: %v, want ErrNotSent", err)
		}
	}
	p.Close()
	if err := p.Call(t.Context(), a, "Echo.Do", request("2", 0), r); !errors.Is(err, ErrNotSent) {
		t.Errorf("closed pool: %v, want ErrNotSent", err)
	}
	if n := e.count("2"); n != 0 {
		t.Errorf("%d runs of calls that were not sent", n)
	}
}

// Guards against calls that are interrupted because the server closes. Calls in
// progress must be answered; calls made during Close must be answered or fail
// with ErrNotSent.
func TestServerCloseLosesNoCall(t *testing.T) {
	e, s, a := serve(t, Options{})
	p := NewPool(Options{})
	gate := make(chan struct{})
	e.gates.Store("held", gate)
	var g sync.WaitGroup
	g.Go(func() {
		if err := p.Call(t.Context(), a, "Echo.Do", request("held", 0), new(schema.ForwardReply)); err != nil {
			t.Errorf("call in progress: %v", err)
		}
	})
	var stop atomic.Bool
	for i := range 8 {
		g.Go(func() {
			for j := 0; !stop.Load(); j++ {
				err := p.Call(t.Context(), a, "Echo.Do", request(fmt.Sprintf("%d-%d", i, j), 100), new(schema.ForwardReply))
				if err != nil && !errors.Is(err, ErrNotSent) {
					t.Errorf("call during Close: %v", err)
				}
			}
		})
	}
	for e.count("held") == 0 || e.count("0-10") == 0 {
		time.Sleep(time.Millisecond)
	}
	closed := make(chan struct{})
	go func() { s.Close(); close(closed) }()
	select {
	case <-closed:
		t.Error("Close returned during a call")
	case <-time.After(30 * time.Millisecond):
	}
	close(gate)
	<-closed
	stop.Store(true)
	g.Wait()
	p.Close()
}

// Guards against calls to a peer that doesn't respond which block beyond their
// deadlines, and against a stalled connection that is never replaced.
func TestStalledConnectionIsReplaced(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close() // the kernel accepts connections, but nothing reads from them
	var dials atomic.Int32
	o := Options{Dial: func(c context.Context, a string) (net.Conn, error) {
		dials.Add(1)
		return new(net.Dialer).DialContext(c, "tcp", a)
	}}
	p := NewPool(o)
	for range 2 {
		c, stop := context.WithTimeout(t.Context(), 2*stallTimeout)
		begin := time.Now()
		err := p.Call(c, l.Addr().String(), "Echo.Do", request("1", 8<<20), new(schema.ForwardReply))
		stop()
		if !errors.Is(err, context.DeadlineExceeded) || time.Since(begin) > 4*stallTimeout {
			t.Errorf("%v after %v, want DeadlineExceeded", err, time.Since(begin))
		}
	}
	if n := dials.Load(); n != 2 {
		t.Errorf("%d dials, want 2", n)
	}
	p.Close()
}

// Guards against a dial for every call to an address that can't be reached.
func TestBackOff(t *testing.T) {
	var dials atomic.Int32
	p := NewPool(Options{MinBackOff: time.Minute, MaxBackOff: time.Minute, Dial: func(context.Context, string) (net.Conn, error) {
		dials.Add(1)
		return nil, errors.New("no route")
	}})
	for range 50 {
		err := p.Call(t.Context(), "x", "Echo.Do", request("1", 0), new(schema.ForwardReply))
		if !errors.Is(err, ErrNotSent) || !strings.Contains(err.Error(), "no route") {
			t.Errorf("%v, want ErrNotSent with the cause", err)
		}
	}
	if n := dials.Load(); n != 1 {
		t.Errorf("%d dials, want 1", n)
	}
	p.Close()
}

// Guards against malformed frames that stop the server or make it allocate as many
// bytes as a false length states.
func TestDamagedFrames(t *testing.T) {
	_, s, a := serve(t, Options{})
	for _, f := range []string{"\xff\xff\xff\xff\x00\x01", "\x00\x00\x00\x00\x00\x00", "\x00\x00\x00\x03\xff\xff\x01", "\x00\x00\x00\x03\x00\x01\xff", "GET / HTTP/1.1\r\n\r\n"} {
		c, err := net.Dial("tcp", a)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.Write([]byte(f))
		if n, err := c.Read(make([]byte, 1)); err == nil {
			t.Errorf("frame %q: %d bytes received, want the connection closed", f, n)
		}
		c.Close()
	}
	p := NewPool(Options{})
	if err := p.Call(t.Context(), a, "Echo.Do", request("1", 0), new(schema.ForwardReply)); err != nil {
		t.Error(err)
	}
	p.Close()
	s.Close()
}

func BenchmarkCall(b *testing.B) {
	for _, n := range []int{100, 4 << 10} {
		b.Run(fmt.Sprintf("body=%d", n), func(b *testing.B) {
			_, s, a := serve(b, Options{})
			p := NewPool(Options{})
			b.ReportAllocs()
			b.SetParallelism(8)
			b.RunParallel(func(w *testing.PB) {
				q, r := request("1", n), new(schema.ForwardReply)
				for w.Next() {
					r.Reset()
					if err := p.Call(context.Background(), a, "Echo.Do", q, r); err != nil {
						b.Error(err)
					}
				}
			})
			p.Close()
			s.Close()
		})
	}
}

// Guards against a nil client in close. A connection that breaks as soon as it is
// open closes the link before newLink has set the client.
func TestConnectionBrokenAtOpen(*testing.T) {
	for range 2000 {
		a, b := net.Pipe()
		_ = b.Close()
		l := newLink(a, Options{}.withDefaults())
		l.close()
		<-l.codec.out.done
	}
}
