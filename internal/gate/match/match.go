// Package match finds the route of a request.
package match

import (
	"strings"

	"dandelionrock.example/dandelionrock/platform"
)

// Route returns the route of a request with a host and a request target without scheme and
// host, or nil: of the routes of that host, the one with the longest matching path prefix,
// and of several the first.
func Route(routes []platform.Route, host, uri string) *platform.Route {
	path, _, _ := strings.Cut(uri, "?")
	var best *platform.Route
	for i := range routes {
		n := &routes[i]
		if n.Host == host && strings.HasPrefix(path, n.Prefix) && (best == nil || len(n.Prefix) > len(best.Prefix)) {
			best = n
		}
	}
	return best
}
