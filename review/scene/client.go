package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// request is one attempt of a client.
type request struct {
	method, path, id string
	key              int
	deadline         time.Duration
	body             []byte
}

// newID returns an id that no other attempt has.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// get returns an idempotent request.
func get(path string, deadline time.Duration) request {
	return request{method: http.MethodGet, path: path, id: newID(), key: -1, deadline: deadline}
}

// encode returns a request in wire format.
func (r request) encode() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", r.method, r.path, r.id, r.deadline.Milliseconds())
	if r.key >= 0 {
		fmt.Fprintf(&b, "Shard-Key: %d\r\n", r.key)
	}
	if r.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n")
	b.Write(r.body)
	return b.Bytes()
}

// answer is a complete answer, or the error in its place.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return "no complete answer: " + a.err.Error()
	}
	return fmt.Sprintf("status %d, Upstream-Signature %q, reason %q, close %v, body %q", a.status, a.header.Get("Upstream-Signature"),
		a.header.Get("Dandelionrock-Reason"), a.header.Get("Connection") == "close", a.body)
}

// conn is a connection of a client.
type conn struct {
	net.Conn
	r *bufio.Reader
}

// connectTimeout is how long clients wait for a new connection.
const connectTimeout = time.Second

func connect(address string) (*conn, error) {
	c, err := net.DialTimeout("tcp", address, connectTimeout)
	if err != nil {
		return nil, err
	}
	return &conn{c, bufio.NewReader(c)}, nil
}

// read reads one answer to a request.
func (c *conn) read(method string, until time.Time) answer {
	_ = c.SetReadDeadline(until)
	w, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer w.Body.Close()
	b, err := io.ReadAll(w.Body)
	if w.Close {
		w.Header.Set("Connection", "close")
	}
	return answer{w.StatusCode, w.Header, string(b), err}
}

// call sends a request to an instance on a new connection, and records both the request and
// the answer, which it returns.
func (s *scene) call(g *gateway, r request) answer {
	s.logf("sent to %s: %s %s, attempt %s, key %d, %d bytes", g.id, r.method, r.path, r.id, r.key, len(r.body))
	a := call(g.front, r)
	s.logf("attempt %s: %v", r.id, a)
	return a
}

// call sends a request on a new connection and returns the answer.
func call(address string, r request) answer {
	c, err := connect(address)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	if _, err := c.Write(r.encode()); err != nil {
		return answer{err: err}
	}
	return c.read(r.method, time.Now().Add(r.deadline))
}
