package table

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a failed write that is reported as not applied although the
// service may have applied it, and against a rejected write that is needlessly
// reported as ambiguous.
func TestCommitErrors(t *testing.T) {
	body := func(status int, b string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/x-amz-json-1.0")
			w.WriteHeader(status)
			_, _ = io.WriteString(w, b)
		}
	}
	for _, x := range []struct {
		name   string
		answer http.HandlerFunc
		want   error
	}{
		{"success", body(200, `{}`), nil},
		{"no connection", nil, ErrUnavailable},
		{"timeout", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, ErrAmbiguous},
		{"aborted reply", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, ErrAmbiguous},
		{"truncated reply", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "9")
			_, _ = io.WriteString(w, "{")
		}, ErrAmbiguous},
		{"redirect", func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/b", 307) }, ErrAmbiguous},
		{"500", body(500, `{"__type":"x#InternalServerError"}`), ErrAmbiguous},
		{"503", body(503, ``), ErrAmbiguous},
		{"400 without code", body(400, ``), ErrAmbiguous},
		{"unknown code", body(400, `{"__type":"x#NewException"}`), ErrAmbiguous},
		{"in progress", body(400, `{"__type":"x#TransactionInProgressException"}`), ErrAmbiguous},
		{"throttled", body(400, `{"__type":"x#ThrottlingException"}`), ErrUnavailable},
		{"no table", body(400, `{"__type":"x#ResourceNotFoundException"}`), ErrUnavailable},
		{"condition", body(400, `{"__type":"x#TransactionCanceledException","CancellationReasons":[{"Code":"None"},{"Code":"ConditionalCheckFailed"}]}`), ErrConflict},
		{"concurrent transaction", body(400, `{"__type":"x#TransactionCanceledException","CancellationReasons":[{"Code":"TransactionConflict"}]}`), ErrUnavailable},
	} {
		t.Run(x.name, func(t *testing.T) {
			var n atomic.Int32
			h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				n.Add(1)
				_, _ = io.Copy(io.Discard, r.Body)
				x.answer(w, r)
			}))
			defer h.Close()
			if x.answer == nil {
				h.Close()
			}
			d, err := NewDynamo(DynamoConfig{URL: h.URL, Table: "t", Timeout: 200 * time.Millisecond})
			if err != nil {
				t.Fatal(err)
			}
			defer d.Close()
			err = d.Commit(context.Background(), Txn{ID: "x", Puts: []Put{{Key: "a"}}})
			if !errors.Is(err, x.want) {
				t.Errorf("Commit: %v, want %v", err, x.want)
			}
			if x.answer != nil && n.Load() != 1 {
				t.Errorf("%d calls, want 1", n.Load())
			}
		})
	}
}

// closableBody is a request body whose reads fail after Close.
type closableBody struct {
	*strings.Reader
	closed bool
}

func (c *closableBody) Read(b []byte) (int, error) {
	if c.closed {
		return 0, errors.New("body is closed")
	}
	return c.Reader.Read(b)
}

func (c *closableBody) Close() error {
	c.closed = true
	return nil
}

// Guards against a connection that is closed in the middle of a response, because
// the SDK closed the body of the request while the transport was still reading it.
func TestBodyCopier(t *testing.T) {
	c := &closableBody{Reader: strings.NewReader("query")}
	q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://127.0.0.1", c)
	if err != nil {
		t.Fatal(err)
	}
	next := roundTripperFunc(func(r *http.Request) (*http.Response, error) {
		_ = c.Close()
		b, err := io.ReadAll(r.Body)
		if string(b) != "query" || err != nil || r.ContentLength != 5 || r.GetBody != nil {
			t.Errorf("body %q, error %v, length %d", b, err, r.ContentLength)
		}
		return nil, nil
	})
	if _, err := (bodyCopier{next}).RoundTrip(q); err != nil {
		t.Error(err)
	}
}

type roundTripperFunc func(r *http.Request) (*http.Response, error)

func (f roundTripperFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }
