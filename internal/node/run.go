package node

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	kratos "github.com/go-kratos/kratos/v2"
	"github.com/go-kratos/kratos/v2/transport"
	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"dandelionrock.example/dandelionrock/event"
	"dandelionrock.example/dandelionrock/internal/admin"
	"dandelionrock.example/dandelionrock/internal/edge"
	"dandelionrock.example/dandelionrock/internal/header"
)

// Run serves until c ends, then leaves: it becomes not ready, hands its homes
// over, finishes the requests in flight and returns nil. It returns an error if
// an address can't be listened on or the drain time-out passes first.
func (n *Node) Run(c context.Context) error {
	l, err := net.Listen("tcp", n.s.RPCAddress)
	if err != nil {
		return err
	}
	w, err := net.Listen("tcp", n.s.HTTPAddress)
	if err != nil {
		_ = l.Close()
		return err
	}
	if err := n.register(); err != nil {
		return err
	}
	n.work.Go(func() { _ = n.rpc.Serve(l) })
	n.startDuties()
	n.events.Record("instance-started", n.self.ID, event.String("incarnation", n.self.Incarnation))
	servers := []transport.Server{n.httpServer(w)}
	if n.s.MetricsAddress != "" {
		servers = append(servers, n.metricsServer())
	}
	a := kratos.New(
		kratos.Name("dandelionrock"),
		kratos.ID(n.self.ID),
		// The context ends the instance. SIGKILL can't be caught, so that kratos
		// gets no signal; an empty list would mean all of them.
		kratos.Signal(syscall.SIGKILL),
		kratos.Server(servers...),
		kratos.StopTimeout(n.s.DrainTimeout),
	)
	failed := make(chan error, 1)
	go func() { failed <- a.Run() }()
	select {
	case err = <-failed:
		err = errors.Wrap(errors.CombineErrors(err, errors.New("server has ended")), "HTTP")
	case <-c.Done():
		err = n.shutDown(a, failed)
	}
	return err
}

// register publishes the calls that other instances make.
func (n *Node) register() error {
	for _, r := range []any{&Peer{n}, &Route{n}, &Home{n}} {
		if err := n.rpc.Register(r); err != nil {
			return err
		}
	}
	return nil
}

// startDuties starts one goroutine for each duty.
func (n *Node) startDuties() {
	n.work.Go(n.pollLoop)
	n.work.Go(n.takeLoop)
	n.work.Go(n.listLoop)
	n.every(tickInterval, n.tick)
	n.every(n.s.HeartbeatInterval, n.beat)
	n.every(planInterval, n.plan)
	n.every(balanceInterval, n.balance)
	n.every(keepInterval, n.keep)
	n.every(gaugeInterval, n.gauges)
}

// listLoop reads the list of instances at once and then at the poll interval.
func (n *Node) listLoop() {
	n.list()
	n.every(n.s.Platform.PollInterval, n.list)
}

// shutDown leaves, and ends the HTTP server before the RPC server, because the
// requests of the former may need the latter. New requests are taken until the
// close delay has passed, because a load balancer sees late that the instance
// isn't ready.
func (n *Node) shutDown(a *kratos.App, failed <-chan error) error {
	open := time.After(n.s.CloseDelay)
	c, f := context.WithTimeout(context.Background(), n.s.CloseDelay+n.s.DrainTimeout)
	defer f()
	n.leave(c)
	<-open
	steps := []func() error{
		a.Stop, func() error { return <-failed }, n.edge.Close, n.entry.Close, n.rpc.Close, n.end, n.pool.Close,
	}
	var err error
	for _, x := range steps {
		if e := x(); err == nil {
			err = e
		}
	}
	return err
}

// end stops the goroutines of the instance.
func (n *Node) end() error {
	n.events.Record("instance-stopped", n.self.ID)
	n.stop()
	n.work.Wait()
	return nil
}

// httpServer returns the server for callers and operators.
func (n *Node) httpServer(l net.Listener) *khttp.Server {
	s := edge.NewServer(l, n.whenPolled(n.newEdge()))
	s.HandlePrefix("/operate/", admin.New(admin.Handler{
		Operators: n.s.Operators, Submitter: n, Reporter: n, Timeline: n.events,
	}))
	s.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { health(w, true) })
	s.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) { health(w, n.ready()) })
	return s
}

// whenPolled refuses requests while the instance has read neither the table nor
// a peer: it doesn't know any organisation yet.
func (n *Node) whenPolled(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.polled.Load() {
			next.ServeHTTP(w, r)
			return
		}
		h := w.Header()
		h.Set(header.Outcome, header.NotRun)
		h.Set(header.Reason, "not-ready")
		h.Set(header.Entry, n.self.ID)
		http.Error(w, "instance is not ready", http.StatusServiceUnavailable)
	})
}

// metricsServer returns the server for the metrics page.
func (n *Node) metricsServer() *khttp.Server {
	s := khttp.NewServer(khttp.Address(n.s.MetricsAddress))
	s.Handle("/metrics", n.metrics)
	return s
}

// health answers 200 or 503.
func health(w http.ResponseWriter, ok bool) {
	if !ok {
		http.Error(w, "not-ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}
