// Package header names the HTTP headers of the router and selects the other
// headers of requests and answers that are passed on.
package header

import (
	"net/http"
	"strings"
	"unicode/utf8"

	"dandelionrock.example/dandelionrock/schema"
)

// Headers of requests and answers, in the canonical form of net/http.
const (
	prefix = "Dandelionrock-"

	Key       = prefix + "Key"
	OrderID   = prefix + "Order-Id"
	Attempt   = prefix + "Attempt"
	Timeout   = prefix + "Timeout"
	Outcome   = prefix + "Outcome"
	Reason    = prefix + "Reason"
	Upstream  = prefix + "Upstream"
	Epoch     = prefix + "Epoch"
	Home      = prefix + "Home"
	Entry     = prefix + "Entry"
	RequestID = prefix + "Request-Id"
	Term      = prefix + "Term"
	Shard     = prefix + "Shard"
	Refused   = prefix + "Refused"
)

// Values of Outcome.
const (
	Answered = "answered"
	NotRun   = "not-run"
	Unknown  = "unknown"
)

// Values of Refused.
const (
	StaleGrant = "stale-grant"
	Draining   = "draining"
	Shed       = "shed"
)

// Fields returns the headers of a request or an answer that are passed on: all
// but those of the router, hop-by-hop headers and the Authorization header, which
// is meant for the router. Content-Length is included if length is true. Values
// that are not valid UTF-8 are left out, because protobuf strings can't hold
// them; valid reports whether all values were valid.
func Fields(h http.Header, length bool) (fields []*schema.HeaderField, valid bool) {
	n := 0
	for _, v := range h {
		n += len(v)
	}
	storage := make([]schema.HeaderField, n) // one allocation for all fields
	fields, valid = make([]*schema.HeaderField, 0, n), true
	connection := h["Connection"]
	for k, vs := range h {
		if isDropped(k) && (k != "Content-Length" || !length) || connection != nil && isConnectionOption(connection, k) {
			continue
		}
		for _, v := range vs {
			if !utf8.ValidString(v) {
				valid = false
				continue
			}
			f := &storage[len(fields)]
			f.Name, f.Value = k, v
			fields = append(fields, f)
		}
	}
	return fields, valid
}

// Copy adds the fields of an answer to h, except those that are not passed on, see
// isDropped. Content-Length is included if length is true.
func Copy(h http.Header, fields []*schema.HeaderField, length bool) {
	values := make([]string, len(fields))
	for i, f := range fields {
		k := http.CanonicalHeaderKey(f.Name)
		if !isDropped(k) || k == "Content-Length" && length {
			if existing := h[k]; existing != nil {
				h[k] = append(existing, f.Value)
				continue
			}
			values[i] = f.Value
			h[k] = values[i : i+1 : i+1]
		}
	}
}

// Set sets headers of h. The arguments alternate between a name in canonical form
// and its value; headers with an empty value are not set.
func Set(h http.Header, pairs ...string) {
	values := make([]string, len(pairs)/2)
	for i := range values {
		if v := pairs[2*i+1]; v != "" {
			values[i] = v
			h[pairs[2*i]] = values[i : i+1 : i+1]
		}
	}
}

// isDropped reports whether a header in canonical form is not passed on: it is a
// header of the router, hop-by-hop, set anew for each hop, or meant for the router.
func isDropped(k string) bool {
	switch k {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te",
		"Trailer", "Transfer-Encoding", "Upgrade", "Authorization", "Content-Length", "Expect", "Host":
		return true
	}
	return strings.HasPrefix(k, prefix)
}

// isConnectionOption reports whether the values of the Connection header list k,
// which makes k a hop-by-hop header.
func isConnectionOption(connection []string, k string) bool {
	for _, v := range connection {
		for name := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(name), k) {
				return true
			}
		}
	}
	return false
}
