package hangup

import (
	"net/http"
	"sync/atomic"

	"dandelionrock.example/dandelionrock/internal/gate/depot"
	"dandelionrock.example/dandelionrock/internal/header"
)

// response records the response of a handler.
type response struct {
	header http.Header
	status int
	body   [][]byte
	// tab counts the bytes in held, unless the response was dropped.
	tab     *depot.Tab
	held    atomic.Int64
	dropped atomic.Bool
}

// Header implements http.ResponseWriter.
func (p *response) Header() http.Header {
	if p.header == nil {
		p.header = http.Header{}
	}
	return p.header
}

// WriteHeader implements http.ResponseWriter. Interim responses are left out, and a number
// that is no status is an error of the handler.
func (p *response) WriteHeader(status int) {
	switch {
	case p.status != 0 || header.IsInterim(status):
	case header.IsFinal(status):
		p.status = status
	default:
		p.status = http.StatusBadGateway
	}
}

// Write implements http.ResponseWriter. It keeps b, which must not be modified
// later: responses can be large.
func (p *response) Write(b []byte) (int, error) {
	p.WriteHeader(http.StatusOK)
	p.body = append(p.body, b)
	p.hold(cap(b))
	return len(b), nil
}

// writeTo returns the error of the first write that fails.
func (p *response) writeTo(w http.ResponseWriter) error {
	h := w.Header()
	for k, v := range p.header {
		h[k] = v
	}
	w.WriteHeader(max(p.status, http.StatusOK))
	for _, b := range p.body {
		if _, err := w.Write(b); err != nil {
			return err
		}
	}
	return nil
}

// hold counts n bytes of a response until release is called.
func (p *response) hold(n int) {
	p.tab.Hold(int64(n))
	p.held.Add(int64(n))
	if p.dropped.Load() {
		p.release()
	}
}

// release gives back what is counted of the response.
func (p *response) release() { p.tab.Hold(-p.held.Swap(0)) }

// drop releases the response, which is not delivered, also if it isn't complete yet.
func (p *response) drop() {
	p.dropped.Store(true)
	p.release()
}
