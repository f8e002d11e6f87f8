package sender

import (
	"bytes"
	"net"
	"net/http"
	"strconv"
	"time"

	"dandelionrock.example/dandelionrock/internal/gate/depot"
	"dandelionrock.example/dandelionrock/platform"
)

const (
	// usualHead is the size in bytes that the head of a request usually has at most.
	usualHead = 512
	// bufferedBody is the size in bytes of a body that a connection's buffers take,
	// whether or not the target reads.
	bufferedBody = 16 << 10
	// lateReadTimeout is how long a target that has answered a request with success may
	// take to read the rest of its body.
	lateReadTimeout = time.Second
)

// sending is the writing of a request.
type sending struct {
	k *conn
	// done is closed when it has ended, with err.
	done chan struct{}
	err  error
}

// startSending starts to write a request. A target may respond, or stop reading, before it
// has read a large body, which is therefore written while the response is awaited.
func (k *conn) startSending(p Target, r *Request) *sending {
	s := &sending{k: k, done: make(chan struct{})}
	write := func() {
		defer close(s.done)
		s.err = k.send(p, r)
	}
	if len(r.Body) <= bufferedBody {
		write()
	} else {
		go write()
	}
	return s
}

// end waits for the end of writing after a response or, if it is nil, without one. It
// reports whether the whole request was written. What a target that hasn't succeeded
// hasn't read is not sent to it.
func (s *sending) end(a *Response) bool {
	if a != nil && !a.NotRun && a.Status < http.StatusMultipleChoices {
		t := time.NewTimer(lateReadTimeout)
		defer t.Stop()
		select {
		case <-s.done:
		case <-t.C:
		}
	}
	select {
	case <-s.done:
	default:
		_ = s.k.SetWriteDeadline(time.Unix(1, 0)) // the connection isn't used again
		<-s.done
	}
	return s.err == nil
}

// send writes a request. A large body isn't copied.
func (k *conn) send(p Target, r *Request) error {
	if len(r.Body) <= depot.SmallBody {
		_, err := k.Write(append(r.head(p), r.Body...))
		return err
	}
	b := net.Buffers{r.head(p), r.Body}
	_, err := b.WriteTo(k.Conn)
	return err
}

// head returns the head of the request in HTTP/1.1 wire format. If the body is small,
// there is room for it behind.
func (r *Request) head(p Target) []byte {
	var b bytes.Buffer
	n := usualHead
	if len(r.Body) <= depot.SmallBody {
		n += len(r.Body)
	}
	b.Grow(n)
	field := func(name, value string) {
		b.WriteString(name)
		b.WriteString(": ")
		b.WriteString(value)
		b.WriteString("\r\n")
	}
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\n")
	field("Host", r.Host)
	for _, h := range r.Headers {
		field(h.Name, h.Value)
	}
	field(platform.HeaderAttempt, r.Attempt)
	field(platform.HeaderDeadline, strconv.FormatInt(max(time.Until(r.End).Milliseconds(), 1), 10))
	field(platform.HeaderTarget, p.ID)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodDelete {
		field("Content-Length", strconv.Itoa(len(r.Body)))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
