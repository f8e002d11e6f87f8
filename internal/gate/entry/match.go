package entry

import (
	"net/http"
	"strings"

	"dandelionrock.example/dandelionrock/platform"
)

// match returns the route of a request, or nil: of the routes of its host, the
// one with the longest matching path prefix.
func match(d *platform.Desired, r *http.Request) *platform.Route {
	path, _, _ := strings.Cut(uri(r), "?")
	var best *platform.Route
	for i := range d.Routes {
		n := &d.Routes[i]
		if n.Host == r.Host && strings.HasPrefix(path, n.Prefix) && (best == nil || len(n.Prefix) > len(best.Prefix)) {
			best = n
		}
	}
	return best
}

// uri returns the request target as the client sent it, without scheme and host.
func uri(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}
