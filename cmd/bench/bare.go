package main

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os/signal"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	klog "github.com/go-kratos/kratos/v2/log"

	"dandelionrock.example/dandelionrock/internal/edge"
	"dandelionrock.example/dandelionrock/internal/header"
	"dandelionrock.example/dandelionrock/internal/relay"
	"dandelionrock.example/dandelionrock/schema"
)

// bareConnections equals the number of connections between two instances.
const bareConnections = 4

// bareEntryCommand is the first process of the bare path, which takes the same
// hops as the router without its logic. It forwards each request unchecked.
type bareEntryCommand struct {
	Address string `long:"address" required:"yes" description:"IP address and port"`
	Home    string `long:"home" required:"yes" description:"RPC address of the second process"`
	pool    *relay.Pool
}

// Execute implements flags.Commander.
func (c *bareEntryCommand) Execute([]string) error {
	x, f := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer f()
	klog.SetLogger(klog.NewStdLogger(io.Discard))
	l, err := net.Listen("tcp", c.Address)
	if err != nil {
		return err
	}
	c.pool = relay.NewPool(relay.Options{Connections: bareConnections})
	s := edge.NewServer(l, c)
	e := make(chan error, 1)
	go func() { e <- s.Start(x) }()
	select {
	case err = <-e:
	case <-x.Done():
		err = s.Stop(context.Background())
	}
	if x := c.pool.Close(); err == nil {
		err = x
	}
	return err
}

// ServeHTTP forwards a request to the second process.
func (c *bareEntryCommand) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	// The last element is the path after the organisation and the service.
	p := strings.SplitN(r.RequestURI, "/", 4)
	q := &schema.ForwardRequest{Method: r.Method, Path: "/" + p[len(p)-1], Key: r.Header.Get(header.Key), Body: b}
	q.Headers, _ = header.Fields(r.Header, false)
	var m schema.ForwardReply
	if err := c.pool.Call(r.Context(), c.Home, "Bare.Forward", q, &m); err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	header.Copy(w.Header(), m.Headers, false)
	w.Header()[header.Outcome] = []string{header.Answered}
	w.WriteHeader(int(m.Status))
	_, _ = w.Write(m.Body)
}

// bareHomeCommand is the second process of the bare path.
type bareHomeCommand struct {
	Address   string   `long:"address" required:"yes" description:"IP address and port for RPC"`
	Upstreams []string `long:"upstream" required:"yes" description:"IP address and port of an upstream; may be repeated"`
}

// Execute implements flags.Commander.
func (c *bareHomeCommand) Execute([]string) error {
	x, f := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer f()
	l, err := net.Listen("tcp", c.Address)
	if err != nil {
		return err
	}
	s := relay.NewServer(relay.Options{})
	t := &http.Transport{MaxIdleConnsPerHost: 200, MaxConnsPerHost: 200, DisableCompression: true}
	if err := s.RegisterName("Bare", &bareHome{upstreams: c.Upstreams, client: t}); err != nil {
		return err
	}
	context.AfterFunc(x, func() { _ = s.Close() })
	return s.Serve(l)
}

// bareHome sends requests to the upstreams in round-robin order.
type bareHome struct {
	upstreams []string
	next      atomic.Uint64
	client    *http.Transport
}

// Forward sends a request to the next upstream.
func (h *bareHome) Forward(q *schema.ForwardRequest, m *schema.ForwardReply) error {
	c, f := context.WithTimeout(context.Background(), 10*time.Second)
	defer f()
	u := h.upstreams[h.next.Add(1)%uint64(len(h.upstreams))]
	r, err := http.NewRequestWithContext(c, q.Method, "http://"+u+q.Path, bytes.NewReader(q.Body))
	if err != nil {
		return err
	}
	header.Copy(r.Header, q.Headers, false)
	r.Header[header.Key] = []string{q.Key}
	a, err := h.client.RoundTrip(r)
	if err != nil {
		return err
	}
	defer func() { _ = a.Body.Close() }()
	m.Status = int32(a.StatusCode)
	m.Headers, _ = header.Fields(a.Header, false)
	m.Body, err = io.ReadAll(a.Body)
	return err
}
