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
	"dandelionrock.example/dandelionrock/schema"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
)

// Directory knows the configurations in force.
type Directory interface {
	// Organisation returns a configuration, or nil. It is called for each
	// request and must not wait.
	Organisation(name string) *config.Organisation
}

// Forwarder executes requests.
type Forwarder interface {
	// Forward returns the outcome of a request by the deadline of c. The
	// request and what it points to belong to the Forwarder.
	Forward(c context.Context, r *schema.ForwardRequest) *schema.ForwardReply
}

// AccountKey identifies a client account.
type AccountKey struct{ Organisation, Account string }

// Reasons of outcomes that this package gives.
const (
	ReasonDeadline    = "deadline"
	ReasonUnreachable = "home-unreachable"
	ReasonInterrupted = "interrupted"
	ReasonNoOwner     = "no-owner"
	ReasonRetryBudget = "retry-budget"
)

// operatorPath is no name of an organisation.
const operatorPath = "operate"

const (
	// headerTimeout bounds how long a caller may take for the headers.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	maxHeader     = 64 << 10
)

// NewServer returns a kratos server on l. Paths of two or more segments go to
// caller, without passing kratos' router, which would redirect those that it
// considers unclean. Other paths, and those below /operate/, are for the operator and
// are registered with Handle or HandlePrefix of the server. The context of a
// caller's request ends when the caller has closed its connection.
func NewServer(l net.Listener, caller http.Handler) *khttp.Server {
	caller = hangup.Handler(caller)
	filter := func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if isOperator(r.URL.Path) {
				next.ServeHTTP(w, r)
				return
			}
			caller.ServeHTTP(w, r)
		})
	}
	// Without a handler for paths that are not found kratos would use the
	// global one of net/http.
	// Without an endpoint kratos would list the machine's network interfaces,
	// which not every machine allows.
	u := &url.URL{Scheme: "http", Host: l.Addr().String()}
	s := khttp.NewServer(khttp.Listener(hangup.Listener{Listener: l}), khttp.Endpoint(u), khttp.Timeout(0), khttp.StrictSlash(false), khttp.Filter(filter),
		khttp.NotFoundHandler(caller), khttp.MethodNotAllowedHandler(caller))
	s.ConnContext = hangup.ConnContext
	s.ReadHeaderTimeout, s.IdleTimeout, s.MaxHeaderBytes = headerTimeout, idleTimeout, maxHeader
	return s
}

// isOperator reports whether a path is not one of a caller.
func isOperator(p string) bool {
	p = strings.TrimPrefix(p, "/")
	first, rest, ok := strings.Cut(p, "/")
	return !ok || first == operatorPath || rest == ""
}
