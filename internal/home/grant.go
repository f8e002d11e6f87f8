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

// maxGrantReply bounds the answer to a grant message in bytes.
const maxGrantReply = 64 << 10

// GrantClient sends grant messages to one upstream over HTTP. They have a
// connection of their own, so that requests don't delay them.
type GrantClient struct {
	url    string
	client *http.Client
}

// NewGrantClient returns a client for the upstream at an address. Dial opens a
// connection; a TCP dial if nil.
func NewGrantClient(address string, dial func(c context.Context, address string) (net.Conn, error)) *GrantClient {
	t := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
	if dial != nil {
		t.DialContext = func(c context.Context, _, a string) (net.Conn, error) { return dial(c, a) }
	}
	return &GrantClient{url: "http://" + address + "/grant", client: &http.Client{Transport: t}}
}

// Grant sends a message and returns the answer.
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

// Close closes the idle connection.
func (g *GrantClient) Close() error {
	g.client.CloseIdleConnections()
	return nil
}
