package home

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/fence"
	"dandelionrock.example/dandelionrock/schema"
)

// standIn is an upstream that answers each request with raw text.
type standIn struct {
	net.Listener
	connections, requests atomic.Int32
	last                  atomic.Pointer[http.Request]
	body                  atomic.Pointer[string]
}

// serve starts a stand-in upstream that sends the text returned by answer, with
// ID replaced by the request id. If the text is "", it closes the connection; if
// the text is "wait", it does not answer. The argument n counts the requests.
func serve(t *testing.T, answer func(n int32) string) *standIn {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &standIn{Listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go s.connection(c, answer)
		}
	}()
	return s
}

func (s *standIn) connection(c net.Conn, answer func(n int32) string) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		b, _ := io.ReadAll(r.Body)
		t := string(b)
		s.last.Store(r)
		s.body.Store(&t)
		a := answer(s.requests.Add(1))
		switch a {
		case "":
			return
		case "wait":
			_, _ = in.ReadByte()
			return
		}
		_, _ = io.WriteString(c, strings.ReplaceAll(a, "ID", r.Header.Get("dandelionrock-request-id")))
	}
}

const (
	completeAnswer = "HTTP/1.1 200 OK\r\nDandelionrock-Request-Id: ID\r\nX-A: b\r\nContent-Length: 2\r\n\r\nok"
	answerHead     = "HTTP/1.1 200 OK\r\nDandelionrock-Request-Id: ID\r\n"
)

func permitted() error { return nil }

// message returns a request with headers that need special handling.
func message(method, body string) *schema.ForwardRequest {
	return &schema.ForwardRequest{RequestId: "r1", Method: method, Path: "/a%2Fb?c=d", Body: []byte(body), Headers: []*schema.HeaderField{
		{Name: "X-Caller", Value: "1"}, {Name: "Idempotency-Key", Value: "2"}, {Name: "Dandelionrock-Term", Value: "99"},
	}}
}

// describe returns the outcome, reason and body of a reply as text.
func describe(r *schema.ForwardReply) string {
	o := map[schema.Outcome]string{schema.Outcome_OUTCOME_ANSWERED: "answered", schema.Outcome_OUTCOME_NOT_RUN: "not-run", schema.Outcome_OUTCOME_UNKNOWN: "unknown"}[r.Outcome]
	if r.Retry {
		o += " retry"
	}
	return strings.TrimSpace(o + " " + r.Reason + string(r.Body))
}

// Guards against a wrong outcome for complete, incomplete, invalid and missing
// answers: answered or not-run must be certain, else the outcome is unknown.
func TestOutcomes(t *testing.T) {
	for _, tc := range []struct{ name, answer, want string }{
		{"complete", completeAnswer, "answered ok"},
		{"chunked", answerHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "answered ok"},
		{"no request id", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "unknown request-id-mismatch"},
		{"request id of another request", "HTTP/1.1 200 OK\r\nDandelionrock-Request-Id: r0\r\nContent-Length: 0\r\n\r\n", "unknown request-id-mismatch"},
		{"stale grant", answerHead + "Dandelionrock-Refused: stale-grant\r\nContent-Length: 0\r\n\r\n", "not-run retry stale-grant"},
		{"draining", answerHead + "Dandelionrock-Refused: draining\r\nContent-Length: 0\r\n\r\n", "not-run retry draining"},
		{"shed", answerHead + "Dandelionrock-Refused: shed\r\nContent-Length: 0\r\n\r\n", "not-run shed"},
		{"refusal without a request id", "HTTP/1.1 200 OK\r\nDandelionrock-Refused: shed\r\nContent-Length: 0\r\n\r\n", "unknown request-id-mismatch"},
		{"unrecognised refusal", answerHead + "Dandelionrock-Refused: tired\r\nContent-Length: 0\r\n\r\n", "unknown unrecognised-refusal"},
		{"too large", answerHead + "Content-Length: 9\r\n\r\n123456789", "unknown answer-too-large"},
		{"too large in chunks", answerHead + "Transfer-Encoding: chunked\r\n\r\n9\r\n123456789\r\n0\r\n\r\n", "unknown answer-too-large"},
		{"no length", answerHead + "\r\nok", "unknown answer-truncated"},
		{"status 000", strings.Replace(completeAnswer, "200", "000", 1), "unknown invalid-status"},
		{"status 101", strings.Replace(completeAnswer, "200", "101", 1), "unknown invalid-status"},
		{"status 600", strings.Replace(completeAnswer, "200", "600", 1), "unknown invalid-status"},
		{"refusal with status 999", strings.Replace(answerHead, "200", "999", 1) + "Dandelionrock-Refused: shed\r\nContent-Length: 0\r\n\r\n", "unknown invalid-status"},
		{"connection closed", "", "unknown upstream-interrupted"},
		{"no answer before the deadline", "wait", "unknown deadline"},
	} {
		s := serve(t, func(int32) string { return tc.answer })
		u := NewUpstream(UpstreamOptions{Address: s.Addr().String(), MaxAnswer: 8})
		d := 10 * time.Second
		if tc.answer == "wait" {
			d = 100 * time.Millisecond
		}
		c, stop := context.WithTimeout(t.Context(), d)
		if got := describe(u.Send(c, message("POST", "x"), fence.Token{}, permitted)); got != tc.want {
			t.Errorf("%s: %s, want %s", tc.name, got, tc.want)
		}
		stop()
		u.Close()
	}
}

// Guards against an answer that is passed on although the connection was closed
// before its end, after any number of bytes.
func TestTruncatedAnswers(t *testing.T) {
	for _, a := range []string{completeAnswer, answerHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"} {
		a = strings.ReplaceAll(a, "ID", "r1")
		for n := range len(a) {
			s := serve(t, func(int32) string { return "" })
			u := NewUpstream(UpstreamOptions{Address: s.Addr().String(), Dial: func(context.Context, string) (net.Conn, error) {
				p, q := net.Pipe()
				go func() {
					_, _ = http.ReadRequest(bufio.NewReader(q))
					_, _ = io.WriteString(q, a[:n])
					q.Close()
				}()
				return p, nil
			}})
			if r := u.Send(t.Context(), message("POST", ""), fence.Token{}, permitted); r.Outcome != schema.Outcome_OUTCOME_UNKNOWN {
				t.Errorf("%d of %d bytes: %s", n, len(a), describe(r))
			}
		}
	}
}

// Guards against requests that reach the upstream with another method, path,
// header or body, and against a token supplied by the caller in headers of its
// request.
func TestRequestIsPassedOn(t *testing.T) {
	s := serve(t, func(int32) string { return completeAnswer })
	u := NewUpstream(UpstreamOptions{Address: s.Addr().String()})
	defer u.Close()
	for _, tc := range []struct{ method, body string }{{"POST", "body"}, {"POST", ""}, {"GET", ""}, {"OPTIONS", ""}, {"DELETE", ""}, {"GET", "body"}} {
		r := u.Send(t.Context(), message(tc.method, tc.body), fence.Token{Term: 7, Shard: 3, Epoch: 5}, permitted)
		h := s.last.Load()
		if describe(r) != "answered ok" || *s.body.Load() != tc.body || h.Method != tc.method || h.RequestURI != "/a%2Fb?c=d" {
			t.Errorf("%s %q: %s; received %s %s %q", tc.method, tc.body, describe(r), h.Method, h.RequestURI, *s.body.Load())
		}
		for k, v := range map[string]string{"Term": "7", "Shard": "3", "Epoch": "5", "Request-Id": "r1"} {
			if got := h.Header.Values("dandelionrock-" + k); len(got) != 1 || got[0] != v {
				t.Errorf("%s: %s is %q, want %s", tc.method, k, got, v)
			}
		}
		if len(h.TransferEncoding) > 0 || h.Header.Get("Idempotency-Key") != "2" || h.Header.Get("X-Caller") != "1" || h.Header.Get("User-Agent") != "" {
			t.Errorf("%s: received %v %v", tc.method, h.TransferEncoding, h.Header)
		}
		if len(r.Headers) != 1 || r.Headers[0].Name != "X-A" {
			t.Errorf("answer has headers %v, want X-A", r.Headers)
		}
	}
	q := message("GET", "")
	q.Path = "//x//y?z"
	if u.Send(t.Context(), q, fence.Token{}, permitted); s.last.Load().RequestURI != q.Path {
		t.Errorf("received %s, want %s", s.last.Load().RequestURI, q.Path)
	}
	if n := s.connections.Load(); n != 1 {
		t.Errorf("%d connections, want 1", n)
	}
}

// Guards against a request that is sent twice: the transport resends some
// requests by itself if a reused connection is closed before the answer.
func TestNoAutomaticRetry(t *testing.T) {
	for _, m := range []string{"GET", "HEAD", "OPTIONS", "POST", "DELETE"} {
		s := serve(t, func(n int32) string {
			if n == 2 {
				return ""
			}
			return strings.Replace(completeAnswer, "2\r\n\r\nok", "0\r\n\r\n", 1)
		})
		u := NewUpstream(UpstreamOptions{Address: s.Addr().String()})
		first := u.Send(t.Context(), message(m, ""), fence.Token{}, permitted)
		second := u.Send(t.Context(), message(m, ""), fence.Token{}, permitted)
		if describe(first) != "answered" || describe(second) != "unknown upstream-interrupted" || s.requests.Load() != 2 {
			t.Errorf("%s: %s, %s, %d requests", m, describe(first), describe(second), s.requests.Load())
		}
		u.Close()
	}
}

// Guards against a not-run outcome for a request that was written, and against a
// request that is written although permit returned an error.
func TestNotRun(t *testing.T) {
	s := serve(t, func(int32) string { return completeAnswer })
	open := NewUpstream(UpstreamOptions{Address: s.Addr().String()})
	refused := NewUpstream(UpstreamOptions{Address: "x", Dial: func(context.Context, string) (net.Conn, error) { return nil, io.EOF }})
	slow := NewUpstream(UpstreamOptions{Address: "x", DialTimeout: time.Hour, Dial: func(c context.Context, _ string) (net.Conn, error) {
		<-c.Done()
		return nil, c.Err()
	}})
	denied := func() error { return errors.New("lost") }
	invalid := message("GET", "")
	invalid.Method = "A B"
	for _, tc := range []struct {
		name   string
		u      *Upstream
		q      *schema.ForwardRequest
		permit func() error
		want   string
	}{
		{"dial refused", refused, message("POST", "x"), permitted, "not-run retry upstream-unreachable"},
		{"deadline in dial", slow, message("POST", "x"), permitted, "not-run deadline"},
		{"authority lost, new connection", open, message("POST", "x"), denied, "not-run retry authority-lost"},
		{"with authority", open, message("POST", ""), permitted, "answered ok"},
		{"authority lost, old connection", open, message("POST", ""), denied, "not-run retry authority-lost"},
		{"invalid method", open, invalid, permitted, "not-run invalid-request"},
	} {
		d := 10 * time.Second
		if tc.u == slow {
			d = 50 * time.Millisecond
		}
		c, stop := context.WithTimeout(t.Context(), d)
		if got := describe(tc.u.Send(c, tc.q, fence.Token{}, tc.permit)); got != tc.want {
			t.Errorf("%s: %s, want %s", tc.name, got, tc.want)
		}
		stop()
	}
	if n := s.requests.Load(); n != 1 {
		t.Errorf("%d requests received, want 1", n)
	}
}

// Guards against a connection that is reused after a cancelled request or an
// answer to another request, and against more connections than allowed.
func TestConnections(t *testing.T) {
	s := serve(t, func(n int32) string {
		return []string{"", "wait", strings.ReplaceAll(completeAnswer, "ID", "r0"), completeAnswer}[n]
	})
	u := NewUpstream(UpstreamOptions{Address: s.Addr().String(), Connections: 1})
	for i, want := range []string{"unknown cancelled", "unknown request-id-mismatch", "answered ok"} {
		c, stop := context.WithCancel(t.Context())
		if i == 0 {
			time.AfterFunc(50*time.Millisecond, stop)
		}
		if got := describe(u.Send(c, message("POST", "x"), fence.Token{}, permitted)); got != want || s.connections.Load() != int32(i+1) {
			t.Errorf("request %d: %s on connection %d, want %s", i, got, s.connections.Load(), want)
		}
		stop()
	}
	u.Close()
}
