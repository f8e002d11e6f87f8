package main

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionrock.example/dandelionrock/internal/header"
)

// call is one request of a client.
type call struct {
	method, organisation, service, path, key, credential string
	// order is the order id. If it is empty, both order and attempt are left out of
	// the request; otherwise both are sent, also an attempt of 0.
	order   string
	attempt int
	timeout time.Duration
}

// result is the result of a request as the client sees it.
type result struct {
	// outcome is the value of the outcome header, or outcomeBroken.
	outcome        string
	reason         string
	upstream, home string
	// wrong reports whether the answer belongs to another request.
	wrong bool
}

// outcomeBroken is the outcome of a request whose connection failed before a
// valid answer was received.
const outcomeBroken = "broken"

// timeoutMargin is how much longer than the timeout of a request its answer may
// take before the connection is closed.
const timeoutMargin = 2 * time.Second

var errNoOutcome = errors.New("answer has no outcome")

// connection is an HTTP connection to one address, opened on demand. It is not
// safe for concurrent use.
type connection struct {
	address string
	conn    net.Conn
	read    *bufio.Reader
	buffer  []byte
}

// do sends a request and reads the answer. The outcome of a failure is
// outcomeBroken.
func (s *connection) do(c *call) result {
	r, err := s.exchange(c)
	if err != nil {
		s.close()
		return result{outcome: outcomeBroken, reason: err.Error()}
	}
	return r
}

func (s *connection) close() {
	if s.conn != nil {
		_ = s.conn.Close()
		s.conn = nil
	}
}

func (s *connection) open() error {
	if s.conn != nil {
		return nil
	}
	c, err := net.DialTimeout("tcp", s.address, 500*time.Millisecond)
	if err != nil {
		return err
	}
	s.conn, s.read = c, bufio.NewReader(c)
	return nil
}

func (s *connection) exchange(c *call) (result, error) {
	if err := s.open(); err != nil {
		return result{}, err
	}
	s.buffer = c.append(s.buffer[:0], s.address)
	_ = s.conn.SetDeadline(time.Now().Add(c.timeout + timeoutMargin))
	if _, err := s.conn.Write(s.buffer); err != nil {
		return result{}, err
	}
	a, err := http.ReadResponse(s.read, nil)
	if err != nil {
		return result{}, err
	}
	b, err := io.ReadAll(a.Body)
	_ = a.Body.Close()
	if err != nil {
		return result{}, err
	}
	if a.Close {
		s.close()
	}
	return c.result(a, b)
}

// append adds the bytes of the request to b.
func (c *call) append(b []byte, host string) []byte {
	b = append(b, c.method+" /"+c.organisation+"/"+c.service+c.path+" HTTP/1.1\r\nHost: "+host...)
	b = append(b, "\r\nAuthorization: Bearer "+c.credential+"\r\n"+header.Key+": "+c.key...)
	b = append(b, "\r\n"+header.Timeout+": "+c.timeout.String()...)
	if c.order != "" {
		b = append(b, "\r\n"+header.OrderID+": "+c.order+"\r\n"+header.Attempt+": "+strconv.Itoa(c.attempt)...)
	}
	if c.method != http.MethodGet {
		b = append(b, "\r\nContent-Length: 0"...)
	}
	return append(b, "\r\n\r\n"...)
}

// result interprets an answer.
func (c *call) result(a *http.Response, b []byte) (result, error) {
	r := result{
		outcome: a.Header.Get(header.Outcome), reason: a.Header.Get(header.Reason),
		upstream: a.Header.Get(header.Upstream), home: a.Header.Get(header.Home),
	}
	switch r.outcome {
	case header.Answered, header.NotRun, header.Unknown:
	default:
		return r, errors.Wrapf(errNoOutcome, "status %d", a.StatusCode)
	}
	r.wrong = r.outcome == header.Answered && a.StatusCode == http.StatusOK && !c.matches(b)
	return r, nil
}

// matches reports whether the body of a stand-in's answer repeats the request.
// Keys, paths and ids contain no characters that JSON escapes.
func (c *call) matches(b []byte) bool {
	return bytes.Contains(b, []byte(`"key":"`+c.key+`"`)) && bytes.Contains(b, []byte(`"path":"`+c.path+`"`)) &&
		(c.order == "" || bytes.Contains(b, []byte(`"order-id":"`+c.order+`"`)))
}
