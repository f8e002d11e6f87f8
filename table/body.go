package table

import (
	"bytes"
	"io"
	"net/http"
)

// ownBody sends requests with a copy of their body. The SDK closes the body of a
// request as soon as the answer begins; a transport that had not yet seen the end
// of that body by then would take it for a failed write and close the connection
// in the middle of the answer.
type ownBody struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (o ownBody) RoundTrip(r *http.Request) (*http.Response, error) {
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
