// Package stub implements stand-ins for the systems around dandelionrock: the
// platform, with its table service and list of instances, and upstreams. They
// serve HTTP. Faults are injected over HTTP or by method calls.
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

// closeTimeout bounds the wait for calls in flight when a server closes.
const closeTimeout = 5 * time.Second

// reply is a complete HTTP response. Latency and faults are applied to it before
// any of it is written.
type reply struct {
	status int
	header http.Header
	body   []byte
	// drop closes the connection without a response; cut closes it after half
	// of the body.
	drop, cut bool
}

// noReply closes the connection without a response.
var noReply = &reply{drop: true}

// jsonReply returns a reply whose body is v in JSON.
func jsonReply(status int, v any) *reply {
	b, err := json.Marshal(v)
	if err != nil {
		return errorReply(http.StatusInternalServerError, err)
	}
	h := http.Header{"Content-Type": {"application/json"}}
	return &reply{status: status, header: h, body: append(b, '\n')}
}

// errorReply returns a reply whose body is a JSON object with the text of err.
func errorReply(status int, err error) *reply {
	return jsonReply(status, map[string]string{"error": err.Error()})
}

// write sends the reply. It panics with http.ErrAbortHandler to close the
// connection.
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
	// An error means that the client has closed the connection. Nothing remains
	// to be done for it.
	_, _ = w.Write(p.body[:n])
	_ = http.NewResponseController(w).Flush()
	if p.cut {
		panic(http.ErrAbortHandler)
	}
}

// handler returns the reply to a request.
type handler func(r *http.Request) *reply

// ServeHTTP implements http.Handler.
func (h handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h(r).write(w) }

// withLatency returns a handler that adds the latency d in each direction.
func (h handler) withLatency(d time.Duration) handler {
	return func(r *http.Request) *reply {
		time.Sleep(d)
		p := h(r)
		time.Sleep(d)
		return p
	}
}

// server serves HTTP on one address.
type server struct {
	listener *listener
	http     *http.Server
	// done receives the error of Serve.
	done chan error
}

// listen starts a server of h on address, whose port may be 0. It sets the
// Listener of l.
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

// close ends a freeze and waits for calls in flight. After closeTimeout it closes
// their connections and returns an error.
func (s *server) close() error {
	s.listener.freezer.resume()
	c, stop := context.WithTimeout(context.Background(), closeTimeout)
	defer stop()
	err := s.http.Shutdown(c)
	if err != nil {
		err = errors.CombineErrors(errors.Wrap(err, "calls in flight were aborted"), s.http.Close())
	}
	if e := <-s.done; !errors.Is(e, http.ErrServerClosed) {
		err = errors.CombineErrors(err, e)
	}
	return err
}

// delayedTasks runs functions after a delay. The zero value is ready for use.
type delayedTasks struct {
	mu      sync.Mutex
	stopped bool
	// timers holds the tasks that have not started, by id.
	timers map[int]*time.Timer
	// nextID is the id of the next task.
	nextID  int
	running sync.WaitGroup
}

// runAfter runs f in a goroutine of its own after d, unless stop is called first.
func (t *delayedTasks) runAfter(d time.Duration, f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	if t.timers == nil {
		t.timers = map[int]*time.Timer{}
	}
	i := t.nextID
	t.nextID++
	t.timers[i] = time.AfterFunc(d, func() {
		if t.start(i) {
			defer t.running.Done()
			f()
		}
	})
}

// start marks task i as running. It returns false if the tasks were stopped.
func (t *delayedTasks) start(i int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return false
	}
	delete(t.timers, i)
	t.running.Add(1)
	return true
}

// stop cancels the tasks that have not started. Later calls of runAfter do
// nothing.
func (t *delayedTasks) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	for _, x := range t.timers {
		x.Stop()
	}
}

// wait waits for the tasks that are running. Call stop first.
func (t *delayedTasks) wait() { t.running.Wait() }
