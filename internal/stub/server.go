// Package stub plays the systems around dandelionrock on loopback: the
// platform with its table service and its list of instances, and upstreams.
// Faults are switched over HTTP or by method calls.
package stub

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// closeLimit bounds the wait for calls in flight at Close.
const closeLimit = 5 * time.Second

// reply is a whole answer, so that latency and faults apply to it as one.
type reply struct {
	status int
	header http.Header
	body   []byte
	// drop closes the connection without an answer; cut does so in the middle.
	drop, cut bool
}

var dropped = &reply{drop: true}

// answer returns a reply with v as JSON.
func answer(status int, v any) *reply {
	b, err := json.Marshal(v)
	if err != nil {
		return fail(http.StatusInternalServerError, err)
	}
	h := http.Header{"Content-Type": {"application/json"}}
	return &reply{status: status, header: h, body: append(b, '\n')}
}

// fail returns a reply with the text of an error as JSON.
func fail(status int, err error) *reply {
	return answer(status, map[string]string{"error": err.Error()})
}

func (p *reply) write(w http.ResponseWriter) {
	if p.drop {
		panic(http.ErrAbortHandler)
	}
	for k, v := range p.header {
		w.Header()[k] = v
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(p.body)))
	w.WriteHeader(p.status)
	n := len(p.body)
	if p.cut {
		n /= 2
	}
	// An error means that the caller is gone, which changes nothing here.
	_, _ = w.Write(p.body[:n])
	_ = http.NewResponseController(w).Flush()
	if p.cut {
		panic(http.ErrAbortHandler)
	}
}

// handler serves one call.
type handler func(r *http.Request) *reply

// ServeHTTP implements http.Handler.
func (h handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h(r).write(w) }

// after returns h behind a path with the given latency in each direction.
func (h handler) after(d time.Duration) handler {
	return func(r *http.Request) *reply {
		time.Sleep(d)
		p := h(r)
		time.Sleep(d)
		return p
	}
}

// server serves HTTP on one address through a gate.
type server struct {
	listener *listener
	http     *http.Server
	done     chan error
}

// listen starts to serve; the address may have port 0.
func listen(address string, l *listener, h http.Handler) (*server, error) {
	n, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "stand-in")
	}
	l.Listener = n
	s := &server{listener: l, http: &http.Server{Handler: h, ReadHeaderTimeout: time.Minute, ConnContext: withConn}, done: make(chan error, 1)}
	go func() { s.done <- s.http.Serve(l) }()
	return s, nil
}

func (s *server) address() string { return s.listener.Addr().String() }

// close waits for calls in flight up to closeLimit, then breaks them off.
func (s *server) close() error {
	s.listener.gate.open()
	c, stop := context.WithTimeout(context.Background(), closeLimit)
	defer stop()
	err := s.http.Shutdown(c)
	if err != nil {
		err = errors.CombineErrors(errors.Wrap(err, "calls in flight were broken off"), s.http.Close())
	}
	if e := <-s.done; !errors.Is(e, http.ErrServerClosed) {
		err = errors.CombineErrors(err, e)
	}
	return err
}

// tasks runs functions later. The zero value is ready.
type tasks struct {
	mu      sync.Mutex
	stopped bool
	// timers holds the tasks that have not begun.
	timers map[int]*time.Timer
	// next is the key of the next task in timers.
	next  int
	begun sync.WaitGroup
}

// after runs f after d, unless stop is called before.
func (t *tasks) after(d time.Duration, f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	if t.timers == nil {
		t.timers = map[int]*time.Timer{}
	}
	i := t.next
	t.next++
	t.timers[i] = time.AfterFunc(d, func() {
		if t.begin(i) {
			defer t.begun.Done()
			f()
		}
	})
}

// begin reports whether task i is still wanted.
func (t *tasks) begin(i int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return false
	}
	delete(t.timers, i)
	t.begun.Add(1)
	return true
}

// stop drops the tasks that have not begun.
func (t *tasks) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	for _, x := range t.timers {
		x.Stop()
	}
}

// wait returns when the tasks that had begun before stop have ended.
func (t *tasks) wait() { t.begun.Wait() }
