package main

import (
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"dandelionrock.example/dandelionrock/config"
	"dandelionrock.example/dandelionrock/internal/relay"
	"dandelionrock.example/dandelionrock/peer"
	"dandelionrock.example/dandelionrock/route"
	"dandelionrock.example/dandelionrock/schema"
	"dandelionrock.example/dandelionrock/table"
)

// side is one side of the calls that exchange state. It handles them as an
// instance does.
type side struct {
	id    string
	dir   *route.Directory
	peers *peer.Detector
	avoid []string
}

func newSide(id string, organisations, avoided int) *side {
	s := &side{id, directory(organisations), peer.New(peer.Config{Self: peer.Instance{ID: id}}), nil}
	for i := range avoided {
		s.avoid = append(s.avoid, string(route.HomeKey(organisation(0), "quotes", upstream(i))))
	}
	return s
}

func (s *side) heartbeat() *schema.HeartbeatRequest {
	return &schema.HeartbeatRequest{
		InstanceId: s.id, Incarnation: uuid(1), Region: "launceston", FailureDomain: "launceston-a",
		RpcAddress: "10.0.0.1:20002", HttpAddress: "10.0.0.1:20001", Clock: 1 << 56,
		Digest: s.dir.Digest(), ConfigVersions: s.dir.ConfigVersions(), Avoid: s.avoid,
	}
}

// Heartbeat records the heartbeat and replies with that of the receiver.
func (s *side) Heartbeat(m *schema.HeartbeatRequest, r *schema.HeartbeatReply) error {
	s.peers.RecordHeartbeat(1, m)
	r.Self = s.heartbeat()
	return nil
}

// Announce applies rows to the directory.
func (s *side) Announce(m *schema.AnnounceRequest, _ *schema.Empty) error {
	var l []table.Row
	for _, r := range m.GetRows() {
		l = append(l, route.Decode(r))
	}
	s.dir.Apply(l...)
	return nil
}

// Pull returns the rows that the caller lacks.
func (s *side) Pull(m *schema.PullRequest, r *schema.PullReply) error {
	for _, x := range s.dir.Newer(m.GetVersions()) {
		r.Rows = append(r.Rows, route.Encode(x))
	}
	return nil
}

// countingConn counts the bytes read from and written to a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// measureExchange prints the processor time of a call, on both sides, and its
// bytes in both directions without those of TCP and IP.
func measureExchange(name string, xs []int, server func(x int) *side, method string, call func(x int) (proto.Message, proto.Message)) {
	type result struct{ time, bytes float64 }
	results := map[int]result{}
	run := func(x int) result {
		if r, ok := results[x]; ok {
			return r
		}
		s := relay.NewServer(relay.Options{})
		must(0, s.RegisterName("Peer", server(x)))
		l := must(net.Listen("tcp", "127.0.0.1:0"))
		go func() { _ = s.Serve(l) }()
		var sent atomic.Int64
		p := relay.NewPool(relay.Options{Dial: func(context.Context, string) (net.Conn, error) {
			c, err := net.Dial("tcp", l.Addr().String())
			return countingConn{c, &sent}, err
		}})
		exchange := func() {
			m, r := call(x)
			must(0, p.Call(context.Background(), l.Addr().String(), method, m, r))
		}
		exchange()
		sent.Store(0)
		exchange()
		r := result{bytes: float64(sent.Load())}
		r.time = cost(exchange)
		must(0, p.Close())
		must(0, s.Close())
		results[x] = r
		return r
	}
	measureSeries(name+", both sides, µs", 1000, xs, func(x int) float64 { return run(x).time })
	measureSeries(name+", both ways, bytes", 1, xs, func(x int) float64 { return run(x).bytes })
}

func measureExchanges() {
	heartbeats := func(organisations, avoided func(x int) int) (func(int) *side, func(int) (proto.Message, proto.Message)) {
		sides := map[int]*side{}
		return func(x int) *side {
				sides[x] = newSide("launceston-a-0002", organisations(x), avoided(x))
				return newSide("launceston-a-0001", organisations(x), avoided(x))
			}, func(x int) (proto.Message, proto.Message) {
				return sides[x].heartbeat(), &schema.HeartbeatReply{}
			}
	}
	identity := func(x int) int { return x }
	two := func(int) int { return 2 }
	none := func(int) int { return 0 }
	s, c := heartbeats(identity, none)
	measureExchange("heartbeat exchange against configurations", []int{2, 20, 100}, s, "Peer.Heartbeat", c)
	s, c = heartbeats(two, identity)
	measureExchange("heartbeat exchange against unavailable upstreams on each side", []int{0, 10, 40}, s, "Peer.Heartbeat", c)

	directories := map[int]*route.Directory{}
	server := func(x int) *side {
		s := newSide("launceston-a-0001", x/rowsPerOrganisation, 0)
		directories[x] = s.dir
		return s
	}
	many := []int{2 * rowsPerOrganisation, 10 * rowsPerOrganisation, 40 * rowsPerOrganisation}
	measureExchange("pull that finds nothing, against rows", many, server, "Peer.Pull", func(x int) (proto.Message, proto.Message) {
		return &schema.PullRequest{Versions: directories[x].Versions()}, &schema.PullReply{}
	})
	few := []int{2 * rowsPerOrganisation, 10 * rowsPerOrganisation, 20 * rowsPerOrganisation}
	measureExchange("pull of all, against rows", few, server, "Peer.Pull", func(int) (proto.Message, proto.Message) {
		return &schema.PullRequest{}, &schema.PullReply{}
	})
	l := rows(2)
	measureExchange("announcement of known block rows", []int{1, 16, 64}, func(int) *side { return newSide("launceston-a-0001", 2, 0) },
		"Peer.Announce", func(x int) (proto.Message, proto.Message) {
			m := &schema.AnnounceRequest{Clock: 1}
			for _, r := range l[firstBlock:][:x] {
				m.Rows = append(m.Rows, route.Encode(r))
			}
			return m, &schema.Empty{}
		})
}

func measureDetector() {
	build := func(n int) *peer.Detector {
		d := peer.New(peer.Config{Self: peer.Instance{ID: "self"}})
		for i := range n {
			d.RecordHeartbeat(1, &schema.HeartbeatRequest{
				InstanceId: fmt.Sprintf("launceston-a-%04d", i), Incarnation: uuid(i), Region: strings.Clone("launceston"),
				FailureDomain: strings.Clone("launceston-a"), RpcAddress: fmt.Sprintf("10.0.0.1:%d", i),
				HttpAddress: fmt.Sprintf("10.0.0.2:%d", i), Clock: 1, ConfigVersions: map[string]uint64{"guild": 1, "cooperative": 2},
			})
		}
		return d
	}
	xs := []int{12, 700, 7000}
	measureSeries("detector tick against instances, µs", 1000, xs, func(n int) float64 { d := build(n); return cost(func() { d.Tick(1) }) })
	measureSeries("list of live instances, µs", 1000, xs, func(n int) float64 { d := build(n); return cost(func() { d.Live() }) })
	measureSeries("order of successors of one home, µs", 1000, xs, func(n int) float64 {
		l := build(n).Live()
		return cost(func() { peer.Successor("home/guild/quotes/a", peer.Place{Region: "launceston"}, l) })
	})
	measureSeries("choice of the planner of one service, µs", 1000, xs, func(n int) float64 {
		l := build(n).Live()
		return cost(func() { peer.Assignee("guild/quotes", l) })
	})
	measureSeries("memory of the detector, bytes", 1, xs, func(n int) float64 { return bytesHeld(func() any { return build(n) }) })
}

func measureDirectory() {
	xs := []int{2 * rowsPerOrganisation, 10 * rowsPerOrganisation, 40 * rowsPerOrganisation}
	applyNewer := func(index int) func(n int) float64 {
		return func(n int) float64 {
			d, r := directory(n/rowsPerOrganisation), rows(1)[index]
			return cost(func() { r.Version++; d.Apply(r) })
		}
	}
	measureSeries("apply one home row, against rows held, µs", 1000, xs, applyNewer(1))
	measureSeries("apply one block row, against rows held, µs", 1000, xs, applyNewer(firstBlock))
	measureSeries("apply one home row, against homes of its service, µs", 1000, []int{50, 500, 4000}, func(n int) float64 {
		d := route.New(fakeParse)
		l := rows(1)[:2]
		d.Apply(l...)
		for i := range n {
			r := l[1]
			r.Key = route.HomeKey(organisation(0), "quotes", upstream(i))
			d.Apply(r)
		}
		return cost(func() { l[1].Version++; d.Apply(l[1]) })
	})
	measureSeries("apply rows that are known, µs", 1000, xs, func(n int) float64 {
		d, l := directory(n/rowsPerOrganisation), rows(n/rowsPerOrganisation)
		return cost(func() { d.Apply(l...) })
	})
	measureSeries("apply all rows to an empty directory, µs", 1000, xs, func(n int) float64 {
		l := rows(n / rowsPerOrganisation)
		return cost(func() { route.New(fakeParse).Apply(l...) })
	})
	measureSeries("digest, against rows held, ns", 1, xs, func(n int) float64 { d := directory(n / rowsPerOrganisation); return cost(func() { d.Digest() }) })
	measureSeries("resolve, against rows held, ns", 1, xs, func(n int) float64 {
		d := directory(n / rowsPerOrganisation)
		return cost(func() { _, _ = d.Resolve(organisation(0), "quotes", "marsh wallaby") })
	})
	measureSeries("directory memory per row mix, bytes", 1, xs, func(n int) float64 { return bytesHeld(func() any { return directory(n / rowsPerOrganisation) }) })
	memoryOfKind := func(kind route.Kind) func(n int) float64 {
		return func(n int) float64 {
			return bytesHeld(func() any {
				d := route.New(fakeParse)
				var l []table.Row
				for _, r := range rows(n / 50) {
					if strings.HasPrefix(string(r.Key), string(kind)) || kind == route.KindBlock && strings.HasPrefix(string(r.Key), "config") {
						l = append(l, r)
					}
				}
				d.Apply(l...)
				return d
			})
		}
	}
	measureSeries("directory memory of home rows, bytes", 1, []int{100, 500, 2000}, memoryOfKind(route.KindHome))
	measureSeries("directory memory of block rows (64 for each 50), bytes", 1, []int{100, 500, 2000}, memoryOfKind(route.KindBlock))
}

func measureParsing() {
	xs := []int{16, 100, 400}
	measureSeries("parse a configuration, against upstreams, µs", 1000, xs, func(n int) float64 {
		t := configText(n)
		return cost(func() { must(config.Parse("guild.toml", t)) })
	})
	measureSeries("configuration text, bytes", 1, xs, func(n int) float64 { return float64(len(configText(n))) })
	measureSeries("parsed configuration, bytes", 1, xs, func(n int) float64 {
		t := configText(n)
		return bytesHeld(func() any { return must(config.Parse("guild.toml", t)) })
	})
}

// measureScan measures a scan of the table at the reader. The server sends a
// prepared page.
func measureScan() {
	xs := []int{2 * rowsPerOrganisation, 10 * rowsPerOrganisation, 40 * rowsPerOrganisation}
	page := func(n int) []byte {
		var l []string
		for _, r := range rows(n / rowsPerOrganisation) {
			var t []string
			for _, x := range r.Txns {
				t = append(t, fmt.Sprintf(`{"S":%q}`, x))
			}
			l = append(l, fmt.Sprintf(`{"space":{"S":"rows"},"row-key":{"S":%q},"version":{"N":"9"},"value":{"B":%q},"txns":{"L":[%s]}}`,
				r.Key, base64.StdEncoding.EncodeToString(r.Value), strings.Join(t, ",")))
		}
		return []byte(`{"Items":[` + strings.Join(l, ",") + `]}`)
	}
	measureSeries("scan of the table, bytes", 1, xs, func(n int) float64 { return float64(len(page(n))) })
	measureSeries("scan of the table at the reader, µs", 1000, xs, func(n int) float64 {
		p := page(n)
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			_, _ = io.Copy(io.Discard, q.Body)
			w.Header().Set("Content-Length", strconv.Itoa(len(p)))
			_, _ = w.Write(p)
		}))
		defer s.Close()
		t := must(table.NewDynamo(table.DynamoConfig{URL: s.URL, Table: "dandelionrock", Timeout: time.Minute}))
		defer t.Close()
		return cost(func() { must(t.Scan(context.Background(), "")) })
	})
}
