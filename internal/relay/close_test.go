package relay

import (
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/schema"
)

// slowReader reads 4 MB/s.
type slowReader struct{ io.Reader }

func (s slowReader) Read(b []byte) (int, error) {
	time.Sleep(time.Millisecond)
	return s.Reader.Read(b[:min(len(b), 4<<10)])
}

// Guards against replies that are lost because the server closes a connection on which
// its client still sends, and against a Close that waits for ever for the client.
func TestReplyToClientThatSendsDuringClose(t *testing.T) {
	for _, closes := range []bool{true, false} {
		o := Options{DrainTime: time.Second}
		e, s, a := serve(t, o)
		gate := make(chan struct{})
		e.gates.Store("held", gate)
		c, err := net.Dial("tcp", a)
		if err != nil {
			t.Fatal(err)
		}
		out, in := newStream(c, Options{MaxFrame: 1 << 20, WriteTimeout: time.Second}.withDefaults(), 0), newReader(slowReader{c}, Options{MaxFrame: 2 << 20}.withDefaults())
		q := request("held", 0)
		q.Method = "LARGE"
		_, _ = out.append(header{method: "Echo.Do", sequence: 1}, q, true)
		for e.count("held") == 0 {
			time.Sleep(time.Millisecond)
		}
		closed := make(chan struct{})
		go func() { _ = s.Close(); close(closed) }()
		time.Sleep(o.DrainTime + 100*time.Millisecond)
		for i := range 8 {
			_, _ = out.append(header{method: "Echo.Do", sequence: uint64(2 + i)}, request(fmt.Sprint("late-", i), 1000), true)
		}
		time.Sleep(50 * time.Millisecond)
		close(gate)
		r := new(schema.ForwardReply)
		for err = in.next(); err == nil && in.head.Sequence != 1; {
			err = in.next()
		}
		if err == nil {
			err = in.decode(r)
		}
		if err != nil || len(r.Body) != 1<<20 {
			t.Errorf("reply of %d bytes, %v", len(r.Body), err)
		}
		if err := in.next(); !errors.Is(err, io.EOF) || e.count("late-0") != 0 {
			t.Errorf("the connection ended with %v; a call after the drain time was executed %d times", err, e.count("late-0"))
		}
		begin := time.Now()
		if closes {
			out.abort()
		}
		<-closed
		if d := time.Since(begin); closes && d > o.DrainTime/2 || d > o.DrainTime*3/2 {
			t.Errorf("Close took %v after the reply; client closes %v", d, closes)
		}
		out.abort()
	}
}
