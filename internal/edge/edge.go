// Package edge serves the HTTP requests of callers and forwards each to the
// home of the upstream that owns its key.
package edge

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"dandelionrock.example/dandelionrock/config"
	"dandelionrock.example/dandelionrock/internal/gate/hangup"
	"dandelionrock.example/dandelionrock/internal/sock/linger"
	"dandelionrock.example/dandelionrock/schema"
	"github.com/go-kratos/kratos/v2/log"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
)

// Directory provides the active configuration of each organisation.
type Directory interface {
	// Organisation returns the active configuration of an organisation, or nil
	// if there is none. It is called for each request and must not block.
	Organisation(name string) *config.Organisation
}

// Forwarder executes requests.
type Forwarder interface {
	// Forward returns the outcome of a request by the deadline of c. It takes
	// ownership of r and of the data that r refers to.
	Forward(c context.Context, r *schema.ForwardRequest) *schema.ForwardReply
}

// AccountKey identifies a client account.
type AccountKey struct{ Organisation, Account string }

// Reasons that this package sets in outcomes.
const (
	ReasonDeadline    = "deadline"
	ReasonUnreachable = "home-unreachable"
	ReasonInterrupted = "interrupted"
	ReasonNoOwner     = "no-owner"
	ReasonRetryBudget = "retry-budget"
)

// operatorPath is the first path segment reserved for the operator. No
// organisation may have this name.
const operatorPath = "operate"

const (
	// headerTimeout bounds the time for reading the request headers.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxHeaderBytes bounds the request line and the headers.
	maxHeaderBytes = 64 << 10
)

// Server is a kratos server for callers.
type Server struct {
	*khttp.Server
	requests *hangup.Runner
	// closing holds the connections whose clients may still receive.
	closing *linger.Group
}

// Owed returns the number of callers' requests that have arrived and whose responses are
// not written yet.
func (s *Server) Owed() int { return s.requests.Owed() }

// EndBlocking ends the requests that hold up responses that are ready behind them, by
// hangup.ErrGiveWay.
func (s *Server) EndBlocking() { s.requests.EndBlocking() }

// Stop stops the HTTP server and then waits as Linger does. It returns the error of the
// HTTP server.
func (s *Server) Stop(c context.Context) error {
	err := s.Server.Stop(c)
	if n := s.Linger(c); n > 0 {
		log.Warnf("[HTTP] %d connections closed before their clients closed them", n)
	}
	return err
}

// Linger waits until the clients of all connections that were closed have received the
// last response, and have closed them or had linger.Timeout to do so. It returns the
// number of connections for which c ended before. Call it after Shutdown.
func (s *Server) Linger(c context.Context) int { return s.closing.Wait(c) }

// NewServer returns a kratos server on l. Requests whose path has two or more
// segments go to caller directly, because the kratos router would redirect paths
// that it considers unclean. Paths of one segment and those below /operate/ are for
// the operator; register their handlers with Handle or HandlePrefix of the
// server. The context of a caller's request ends when the caller closes its
// connection.
func NewServer(l net.Listener, handler http.Handler) *Server {
	caller := hangup.Handler(handler)
	filter := func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if isOperator(r.URL.Path) {
				next.ServeHTTP(w, r)
				return
			}
			caller.ServeHTTP(w, r)
		})
	}
	// Without a NotFoundHandler kratos falls back to http.DefaultServeMux.
	// Without an endpoint kratos lists the network interfaces of the machine,
	// which is not permitted on every machine.
	u := &url.URL{Scheme: "http", Host: l.Addr().String()}
	g := linger.New()
	s := khttp.NewServer(khttp.Listener(hangup.NewListener(l, g, caller)), khttp.Endpoint(u), khttp.Timeout(0), khttp.StrictSlash(false), khttp.Filter(filter),
		khttp.NotFoundHandler(caller), khttp.MethodNotAllowedHandler(caller))
	s.ConnContext = hangup.ConnContext
	s.ReadHeaderTimeout, s.IdleTimeout, s.MaxHeaderBytes = headerTimeout, idleTimeout, maxHeaderBytes
	return &Server{s, caller, g}
}

// isOperator reports whether a path is for the operator: it has fewer than two
// segments or its first segment is operatorPath.
func isOperator(p string) bool {
	p = strings.TrimPrefix(p, "/")
	first, rest, ok := strings.Cut(p, "/")
	return !ok || first == operatorPath || rest == ""
}
