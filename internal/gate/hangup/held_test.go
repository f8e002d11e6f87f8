package hangup

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/internal/gate/depot"
)

// settleTime is the time after which a crowd has got all that it gets.
const settleTime = 300 * time.Millisecond

// bounded is a handler with a bound for what is held.
type bounded struct {
	parallel
	depot     *depot.Depot
	evictions atomic.Int64
}

func (b *bounded) Memory() *depot.Depot { return b.depot }

func (b *bounded) Evicted(e Eviction) {
	if e.Request != nil && e.Remote != nil && e.Bytes > 0 && e.Owed > 0 {
		b.evictions.Add(1)
	}
}

// Guards a client that reads against a crowd that reads nothing, and against bytes that
// stay counted when their connection has ended, whichever way.
func TestUnreadResponses(t *testing.T) {
	const (
		crowd, ahead = 6, 8
		size         = 1 << 20
		memory       = 32 << 20
	)
	b := &bounded{depot: depot.New(), parallel: parallel{limit: crowd * ahead}}
	b.depot.SetMemory(memory)
	b.serve = func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, size))
	}
	reader := serve(t, b)
	get := strings.Repeat("GET / HTTP/1.1\r\nHost: example\r\n\r\n", ahead)
	var cs []net.Conn
	for range crowd {
		c, err := net.Dial("tcp", reader.RemoteAddr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		cs = append(cs, c)
		send(t, c, get)
	}
	for end := time.Now().Add(owedTimeout); b.evictions.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("no connection is evicted, with %d bytes held", b.depot.Held())
		}
	}
	time.Sleep(settleTime)
	send(t, reader, get[:len(get)/2])
	for i, a := range answers(t, reader, ahead/2) {
		if len(a) != size {
			t.Errorf("%d bytes of response %d", len(a), i)
		}
	}
	for i, c := range cs {
		// Some connections end with unread bytes, others when all is read.
		if i%2 == 0 {
			_, _ = io.CopyN(io.Discard, c, ahead*size)
		}
		_ = c.Close()
	}
	_ = reader.Close()
	for end := time.Now().Add(owedTimeout); b.depot.Held() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are held without a connection", b.depot.Held())
		}
	}
}
