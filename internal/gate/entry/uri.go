package entry

import (
	"net/http"
	"strings"
)

// uri returns the request target as the client sent it, without scheme and host.
func uri(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}
