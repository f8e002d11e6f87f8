package edge

import (
	"crypto/sha256"
	"crypto/subtle"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"dandelionrock.example/dandelionrock/config"
	"dandelionrock.example/dandelionrock/internal/header"
	"dandelionrock.example/dandelionrock/schema"
	"github.com/cockroachdb/errors"
)

// maxKeyBytes bounds a key and an order id.
const maxKeyBytes = 1024

// refusal is the error of a request that is not forwarded. It holds the status,
// the reason header and the body of the answer.
type refusal struct {
	status int
	reason string
	text   string
}

func (r *refusal) Error() string { return r.text }

func badRequest(reason, text string) *refusal {
	return &refusal{http.StatusBadRequest, reason, text}
}

// request is a parsed request of a caller.
type request struct {
	service  *config.Service
	account  *config.Account
	deadline time.Time
	message  *schema.ForwardRequest
}

// parse authenticates a request and reads everything but its body. An error is a
// *refusal.
func (h *Handler) parse(now time.Time, r *http.Request) (*request, error) {
	organisation, service, path, ok := splitTarget(r)
	if !ok {
		return nil, badRequest("bad-path", "path is not /<organisation>/<service>/<path>")
	}
	o := h.options.Directory.Organisation(organisation)
	if o == nil {
		return nil, &refusal{http.StatusNotFound, "unknown-organisation", "unknown organisation"}
	}
	a := authenticate(o, r.Header["Authorization"])
	if a == nil {
		return nil, &refusal{http.StatusUnauthorized, "unauthorised", "no or wrong credential"}
	}
	s := o.Service(service)
	if s == nil {
		return nil, &refusal{http.StatusNotFound, "unknown-service", "unknown service"}
	}
	if !isListed(a.Services, service) {
		return nil, &refusal{http.StatusForbidden, "service-not-allowed", "client account may not call this service"}
	}
	m := &schema.ForwardRequest{
		Organisation: o.Name, Service: s.Name, ClientAccount: a.Name, Method: r.Method, Path: path,
		Idempotent: s.Idempotent || r.Method == http.MethodGet || r.Method == http.MethodHead,
	}
	q := &request{service: s, account: a, message: m}
	if err := q.parseHeaders(now, r.Header); err != nil {
		return nil, err
	}
	return q, nil
}

// splitTarget splits the request target into its parts without decoding them.
// The path includes the query.
func splitTarget(r *http.Request) (organisation, service, path string, ok bool) {
	t := r.RequestURI
	if !strings.HasPrefix(t, "/") {
		t = r.URL.RequestURI()
	}
	if !strings.HasPrefix(t, "/") || !utf8.ValidString(t) {
		return "", "", "", false
	}
	organisation, t, ok = strings.Cut(t[1:], "/")
	n := strings.IndexAny(t, "/?")
	if n < 0 {
		n = len(t)
	}
	service, path = t[:n], t[n:]
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	return organisation, service, path, ok && organisation != "" && service != ""
}

// authenticate returns the client account whose credential is in the
// Authorization header v, or nil. It compares the credential with that of every
// client account in constant time.
func authenticate(o *config.Organisation, v []string) *config.Account {
	const scheme = "Bearer "
	if len(v) != 1 || len(v[0]) <= len(scheme) || !strings.EqualFold(v[0][:len(scheme)], scheme) {
		return nil
	}
	sum := sha256.Sum256([]byte(v[0][len(scheme):]))
	var found *config.Account
	for _, a := range o.Accounts {
		if subtle.ConstantTimeCompare(sum[:], a.CredentialSHA256[:]) == 1 {
			found = a
		}
	}
	return found
}

func isListed(list []string, s string) bool {
	for _, l := range list {
		if l == s {
			return true
		}
	}
	return false
}

// parseHeaders reads the headers that are meant for the router and copies those
// that are passed on to the upstream. An order without a key uses its order id as
// the key, so that a retry by the caller reaches the same home.
func (q *request) parseHeaders(now time.Time, h http.Header) error {
	m := q.message
	m.Key, m.OrderId = first(h, header.Key), first(h, header.OrderID)
	if m.Key == "" {
		m.Key = m.OrderId
	}
	switch {
	case m.Key == "":
		return badRequest("no-key", "header dandelionrock-key is missing")
	case len(m.Key) > maxKeyBytes || len(m.OrderId) > maxKeyBytes || !utf8.ValidString(m.Key) || !utf8.ValidString(m.OrderId):
		return badRequest("bad-key", "key or order id is too long or not valid UTF-8")
	}
	if t := first(h, header.Attempt); t != "" {
		n, err := strconv.ParseUint(t, 10, 32)
		if err != nil || n == 0 {
			return badRequest("bad-attempt", "header dandelionrock-attempt is not a positive number")
		}
		m.Attempt = uint32(n)
	}
	d := q.service.Timeout
	if t := first(h, header.Timeout); t != "" {
		var err error
		if d, err = time.ParseDuration(t); err != nil || d <= 0 {
			return badRequest("bad-timeout", "header dandelionrock-timeout is not a positive duration")
		}
	}
	q.deadline = now.Add(min(d, q.service.MaxTimeout))
	var valid bool
	if m.Headers, valid = header.Fields(h, false); !valid {
		return badRequest("bad-header", "a header is not valid UTF-8")
	}
	return nil
}

// first returns the first value of a header, or an empty string. The name k is in
// canonical form.
func first(h http.Header, k string) string {
	if v := h[k]; len(v) > 0 {
		return v[0]
	}
	return ""
}

// readBody reads the complete body by the deadline of the request. An error is a
// *refusal.
func (q *request) readBody(w http.ResponseWriter, r *http.Request) error {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	maxBytes := int64(q.service.MaxBody)
	if r.ContentLength > maxBytes {
		return &refusal{http.StatusRequestEntityTooLarge, "too-large", "body is too large"}
	}
	c := http.NewResponseController(w)
	_ = c.SetReadDeadline(q.deadline)
	b, err := readAll(r.Body, r.ContentLength, maxBytes)
	if err == nil {
		// Clears the read deadline, because the server continues to read in order
		// to detect that the caller closes the connection.
		_ = c.SetReadDeadline(time.Time{})
		q.message.Body = b
		return nil
	}
	w.Header()["Connection"] = []string{"close"}
	switch {
	case errors.Is(err, errTooLarge):
		return &refusal{http.StatusRequestEntityTooLarge, "too-large", "body is too large"}
	case !time.Now().Before(q.deadline):
		return &refusal{http.StatusGatewayTimeout, ReasonDeadline, "deadline passed before the body was read"}
	}
	return badRequest("bad-body", "body could not be read")
}

var errTooLarge = errors.New("body is too large")

// readAll reads n bytes. If n is -1 it reads up to the end and returns
// errTooLarge if there are more than maxBytes bytes.
func readAll(r io.Reader, n, maxBytes int64) ([]byte, error) {
	if n >= 0 {
		b := make([]byte, n)
		_, err := io.ReadFull(r, b)
		return b, err
	}
	b, err := io.ReadAll(io.LimitReader(r, maxBytes+1))
	if err == nil && int64(len(b)) > maxBytes {
		err = errTooLarge
	}
	return b, err
}
