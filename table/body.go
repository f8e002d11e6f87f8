package table

import (
	"bytes"
	"io"
	"net/http"
)

// bodyCopier is a RoundTripper that sends each request with a copy of its body. The
// SDK closes the body of a request as soon as the response begins. If the transport
// has not read the body to its end by then, it takes the closed body for a failed
// write and closes the connection in the middle of the response.
type bodyCopier struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (o bodyCopier) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return o.next.RoundTrip(r)
	}
	b, err := io.ReadAll(r.Body)
	if e := r.Body.Close(); err == nil {
		err = e
	}
	if err != nil {
		return nil, err
	}
	q := r.Clone(r.Context())
	q.Body, q.GetBody, q.ContentLength = io.NopCloser(bytes.NewReader(b)), nil, int64(len(b))
	return o.next.RoundTrip(q)
}
