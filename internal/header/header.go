// Package header names the HTTP headers of the router and decides which headers
// of others it passes on.
package header

import (
	"net/http"
	"strings"
	"unicode/utf8"

	"dandelionrock.example/dandelionrock/schema"
)

// Headers of requests and answers, in the form in which net/http keeps them.
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

// Fields returns the headers of a message that are passed on: all but those of
// the router, those that concern one connection, and credentials for the
// router. Content-Length is included if length is true. Fields that are not
// valid UTF-8 can't be carried; valid reports whether there was none.
func Fields(h http.Header, length bool) (fields []*schema.HeaderField, valid bool) {
	n := 0
	for _, v := range h {
		n += len(v)
	}
	slab := make([]schema.HeaderField, n)
	fields, valid = make([]*schema.HeaderField, 0, n), true
	named := h["Connection"]
	for k, vs := range h {
		if dropped(k) && (k != "Content-Length" || !length) || named != nil && isNamed(named, k) {
			continue
		}
		for _, v := range vs {
			if !utf8.ValidString(v) {
				valid = false
				continue
			}
			f := &slab[len(fields)]
			f.Name, f.Value = k, v
			fields = append(fields, f)
		}
	}
	return fields, valid
}

// Copy adds the fields of an answer to h, except those of the router and those
// that concern one connection. Content-Length is included if length is true.
func Copy(h http.Header, fields []*schema.HeaderField, length bool) {
	values := make([]string, len(fields))
	for i, f := range fields {
		k := http.CanonicalHeaderKey(f.Name)
		if !dropped(k) || k == "Content-Length" && length {
			if old := h[k]; old != nil {
				h[k] = append(old, f.Value)
				continue
			}
			values[i] = f.Value
			h[k] = values[i : i+1 : i+1]
		}
	}
}

// Set sets headers from pairs of a name in canonical form and a value. Empty
// values are left out.
func Set(h http.Header, pairs ...string) {
	values := make([]string, len(pairs)/2)
	for i := range values {
		if v := pairs[2*i+1]; v != "" {
			values[i] = v
			h[pairs[2*i]] = values[i : i+1 : i+1]
		}
	}
}

// dropped reports whether a header in canonical form is never passed on.
func dropped(k string) bool {
	switch k {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te",
		"Trailer", "Transfer-Encoding", "Upgrade", "Authorization", "Content-Length", "Expect", "Host":
		return true
	}
	return strings.HasPrefix(k, prefix)
}

// isNamed reports whether the Connection header names k.
func isNamed(connection []string, k string) bool {
	for _, v := range connection {
		for name := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(name), k) {
				return true
			}
		}
	}
	return false
}
