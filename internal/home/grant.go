package home

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"

	"dandelionrock.example/dandelionrock/schema"
)

// maxGrantReply is the maximum size of the answer to a grant message in bytes.
const maxGrantReply = 64 << 10

// GrantClient sends grant messages to one upstream over HTTP. It has its own
// connection, so that requests don't delay grants.
type GrantClient struct {
	url    string
	client *http.Client
}

// NewGrantClient returns a client for the upstream at the given host and port.
// The function dial opens a connection; if it is nil, TCP is used.
func NewGrantClient(address string, dial func(c context.Context, address string) (net.Conn, error)) *GrantClient {
	t := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true, MaxResponseHeaderBytes: maxAnswerHeader}
	if dial != nil {
		t.DialContext = func(c context.Context, _, a string) (net.Conn, error) { return dial(c, a) }
	}
	return &GrantClient{url: "http://" + address + "/grant", client: &http.Client{Transport: t}}
}

// Grant sends a grant message and returns the answer. It returns an error if the
// upstream can't be reached or answers with another status than 200.
func (g *GrantClient) Grant(c context.Context, m *schema.GrantRequest) (*schema.GrantReply, error) {
	b, err := protojson.Marshal(m)
	if err != nil {
		return nil, err
	}
	q, err := http.NewRequestWithContext(c, http.MethodPost, g.url, bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	q.Header.Set("Content-Type", "application/json")
	r, err := g.client.Do(q)
	if err != nil {
		return nil, err
	}
	defer func() { _ = r.Body.Close() }()
	b, err = io.ReadAll(io.LimitReader(r.Body, maxGrantReply))
	if err != nil {
		return nil, err
	}
	if r.StatusCode != http.StatusOK {
		return nil, errors.Newf("upstream answered a grant with status %d", r.StatusCode)
	}
	a := &schema.GrantReply{}
	return a, protojson.Unmarshal(b, a)
}

// Close closes the connection if it is idle.
func (g *GrantClient) Close() error {
	g.client.CloseIdleConnections()
	return nil
}
