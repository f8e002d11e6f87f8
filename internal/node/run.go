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
// an address can't be listened on or the drain timeout passes first.
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
	n.startLoops()
	n.events.Record("instance-started", n.self.ID, event.String("incarnation", n.self.Incarnation))
	servers := []transport.Server{n.httpServer(w)}
	if n.s.MetricsAddress != "" {
		servers = append(servers, n.metricsServer())
	}
	a := kratos.New(
		kratos.Name("dandelionrock"),
		kratos.ID(n.self.ID),
		// The context ends the instance, so that kratos must not handle signals.
		// An empty list would mean all of them, and SIGKILL can't be caught.
		kratos.Signal(syscall.SIGKILL),
		kratos.Server(servers...),
		kratos.StopTimeout(n.s.DrainTimeout),
	)
	runEnded := make(chan error, 1)
	go func() { runEnded <- a.Run() }()
	select {
	case err = <-runEnded:
		err = errors.Wrap(errors.CombineErrors(err, errors.New("server has ended")), "HTTP")
	case <-c.Done():
		err = n.shutDown(a, runEnded)
	}
	return err
}

// register registers the RPC services that other instances call.
func (n *Node) register() error {
	for _, r := range []any{&Peer{n}, &Route{n}, &Home{n}} {
		if err := n.rpc.Register(r); err != nil {
			return err
		}
	}
	return nil
}

// startLoops starts the background loops, one goroutine each.
func (n *Node) startLoops() {
	n.work.Go(n.pollLoop)
	n.work.Go(n.takeoverLoop)
	n.work.Go(n.pollInstancesLoop)
	n.every(tickInterval, n.tick)
	n.every(n.s.HeartbeatInterval, n.sendHeartbeats)
	n.every(planInterval, n.planServices)
	n.every(balanceInterval, n.balanceServices)
	n.every(reconcileInterval, n.reconcileHomes)
	n.every(gaugeInterval, n.updateGauges)
}

// pollInstancesLoop reads the list of instances at once, and starts a goroutine
// that reads it at the poll interval.
func (n *Node) pollInstancesLoop() {
	n.readInstances()
	n.every(n.s.Platform.PollInterval, n.readInstances)
}

// shutDown leaves, then stops the HTTP server before the RPC server, because HTTP
// requests in flight may need the latter. It accepts new requests until the close
// delay has passed, because a load balancer notices with a delay that the
// instance isn't ready. It returns the first error.
func (n *Node) shutDown(a *kratos.App, runEnded <-chan error) error {
	closeDelayEnded := time.After(n.s.CloseDelay)
	c, f := context.WithTimeout(context.Background(), n.s.CloseDelay+n.s.DrainTimeout)
	defer f()
	n.leave(c)
	<-closeDelayEnded
	steps := []func() error{
		a.Stop, func() error { return <-runEnded }, n.edge.Close, n.entry.Close, n.rpc.Close, n.stopLoops, n.pool.Close,
	}
	var err error
	for _, x := range steps {
		if e := x(); err == nil {
			err = e
		}
	}
	return err
}

// stopLoops cancels the background loops and waits until all goroutines of the
// instance have ended.
func (n *Node) stopLoops() error {
	n.events.Record("instance-stopped", n.self.ID)
	n.cancel()
	n.work.Wait()
	return nil
}

// httpServer returns the HTTP server for callers, operators and health checks.
func (n *Node) httpServer(l net.Listener) *edge.Server {
	s := edge.NewServer(l, n.requireDirectory(n.newEdge()))
	s.HandlePrefix("/operate/", admin.New(admin.Handler{
		Operators: n.s.Operators, Submitter: n, Reporter: n, Timeline: n.events,
	}))
	s.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { health(w, true) })
	s.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) { health(w, n.ready()) })
	return s
}

// requireDirectory refuses requests with 503 until the directory has been loaded
// from the table or a peer; before that no organisation is known.
func (n *Node) requireDirectory(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.directoryLoaded.Load() {
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

// metricsServer returns the HTTP server for /metrics.
func (n *Node) metricsServer() *khttp.Server {
	s := khttp.NewServer(khttp.Address(n.s.MetricsAddress))
	s.Handle("/metrics", n.metrics)
	return s
}

// health answers 200 if ok, else 503.
func health(w http.ResponseWriter, ok bool) {
	if !ok {
		http.Error(w, "not-ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}
