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

// side does what an instance does with the calls that concern state.
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
		InstanceId: s.id, Incarnation: txn(1), Region: "launceston", FailureDomain: "launceston-a",
		RpcAddress: "10.0.0.1:20002", HttpAddress: "10.0.0.1:20001", Clock: 1 << 56,
		Digest: s.dir.Digest(), ConfigVersions: s.dir.ConfigVersions(), Avoid: s.avoid,
	}
}

// Heartbeat answers with that of the receiver.
func (s *side) Heartbeat(m *schema.HeartbeatRequest, r *schema.HeartbeatReply) error {
	s.peers.RecordHeartbeat(1, m)
	r.Self = s.heartbeat()
	return nil
}

// Announce takes rows.
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

// counted counts the bytes of a connection.
type counted struct {
	net.Conn
	n *atomic.Int64
}

func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(int64(n))
	return n, err
}

func (c counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.n.Add(int64(n))
	return n, err
}

// exchange prints the processor time of both sides, and the bytes in both
// directions without those of TCP and IP, of a call.
func exchange(name string, xs []int, server func(x int) *side, method string, call func(x int) (proto.Message, proto.Message)) {
	type result struct{ time, bytes float64 }
	done := map[int]result{}
	run := func(x int) result {
		if r, ok := done[x]; ok {
			return r
		}
		s := relay.NewServer(relay.Options{})
		must(0, s.RegisterName("Peer", server(x)))
		l := must(net.Listen("tcp", "127.0.0.1:0"))
		go func() { _ = s.Serve(l) }()
		var sent atomic.Int64
		p := relay.NewPool(relay.Options{Dial: func(context.Context, string) (net.Conn, error) {
			c, err := net.Dial("tcp", l.Addr().String())
			return counted{c, &sent}, err
		}})
		one := func() {
			m, r := call(x)
			must(0, p.Call(context.Background(), l.Addr().String(), method, m, r))
		}
		one()
		sent.Store(0)
		one()
		r := result{bytes: float64(sent.Load())}
		r.time = cost(one)
		must(0, p.Close())
		must(0, s.Close())
		done[x] = r
		return r
	}
	series(name+", both sides, µs", 1000, xs, func(x int) float64 { return run(x).time })
	series(name+", both ways, bytes", 1, xs, func(x int) float64 { return run(x).bytes })
}

func exchanges() {
	beat := func(organisations, avoided func(x int) int) (func(int) *side, func(int) (proto.Message, proto.Message)) {
		sides := map[int]*side{}
		return func(x int) *side {
				sides[x] = newSide("launceston-a-0002", organisations(x), avoided(x))
				return newSide("launceston-a-0001", organisations(x), avoided(x))
			}, func(x int) (proto.Message, proto.Message) {
				return sides[x].heartbeat(), &schema.HeartbeatReply{}
			}
	}
	same := func(x int) int { return x }
	two := func(int) int { return 2 }
	none := func(int) int { return 0 }
	s, c := beat(same, none)
	exchange("heartbeat exchange against configurations", []int{2, 20, 100}, s, "Peer.Heartbeat", c)
	s, c = beat(two, same)
	exchange("heartbeat exchange against unavailable upstreams on each side", []int{0, 10, 40}, s, "Peer.Heartbeat", c)

	dirs := map[int]*route.Directory{}
	server := func(x int) *side {
		s := newSide("launceston-a-0001", x/rowsEach, 0)
		dirs[x] = s.dir
		return s
	}
	many := []int{2 * rowsEach, 10 * rowsEach, 40 * rowsEach}
	exchange("pull that finds nothing, against rows", many, server, "Peer.Pull", func(x int) (proto.Message, proto.Message) {
		return &schema.PullRequest{Versions: dirs[x].Versions()}, &schema.PullReply{}
	})
	few := []int{2 * rowsEach, 10 * rowsEach, 20 * rowsEach}
	exchange("pull of all, against rows", few, server, "Peer.Pull", func(int) (proto.Message, proto.Message) {
		return &schema.PullRequest{}, &schema.PullReply{}
	})
	l := rows(2)
	exchange("announcement of known block rows", []int{1, 16, 64}, func(int) *side { return newSide("launceston-a-0001", 2, 0) },
		"Peer.Announce", func(x int) (proto.Message, proto.Message) {
			m := &schema.AnnounceRequest{Clock: 1}
			for _, r := range l[firstBlock:][:x] {
				m.Rows = append(m.Rows, route.Encode(r))
			}
			return m, &schema.Empty{}
		})
}

func detectors() {
	build := func(n int) *peer.Detector {
		d := peer.New(peer.Config{Self: peer.Instance{ID: "self"}})
		for i := range n {
			d.RecordHeartbeat(1, &schema.HeartbeatRequest{
				InstanceId: fmt.Sprintf("launceston-a-%04d", i), Incarnation: txn(i), Region: strings.Clone("launceston"),
				FailureDomain: strings.Clone("launceston-a"), RpcAddress: fmt.Sprintf("10.0.0.1:%d", i),
				HttpAddress: fmt.Sprintf("10.0.0.2:%d", i), Clock: 1, ConfigVersions: map[string]uint64{"guild": 1, "cooperative": 2},
			})
		}
		return d
	}
	xs := []int{12, 700, 7000}
	series("detector tick against instances, µs", 1000, xs, func(n int) float64 { d := build(n); return cost(func() { d.Tick(1) }) })
	series("list of live instances, µs", 1000, xs, func(n int) float64 { d := build(n); return cost(func() { d.Live() }) })
	series("order of successors of one home, µs", 1000, xs, func(n int) float64 {
		l := build(n).Live()
		return cost(func() { peer.Successor("home/guild/quotes/a", peer.Place{Region: "launceston"}, l) })
	})
	series("choice of the planner of one service, µs", 1000, xs, func(n int) float64 {
		l := build(n).Live()
		return cost(func() { peer.Assignee("guild/quotes", l) })
	})
	series("memory of the detector, bytes", 1, xs, func(n int) float64 { return held(func() any { return build(n) }) })
}

func directories() {
	xs := []int{2 * rowsEach, 10 * rowsEach, 40 * rowsEach}
	again := func(place int) func(n int) float64 {
		return func(n int) float64 {
			d, r := directory(n/rowsEach), rows(1)[place]
			return cost(func() { r.Version++; d.Apply(r) })
		}
	}
	series("apply one home row, against rows held, µs", 1000, xs, again(1))
	series("apply one block row, against rows held, µs", 1000, xs, again(firstBlock))
	series("apply one home row, against homes of its service, µs", 1000, []int{50, 500, 4000}, func(n int) float64 {
		d := route.New(parse)
		l := rows(1)[:2]
		d.Apply(l...)
		for i := range n {
			r := l[1]
			r.Key = route.HomeKey(organisation(0), "quotes", upstream(i))
			d.Apply(r)
		}
		return cost(func() { l[1].Version++; d.Apply(l[1]) })
	})
	series("apply rows that are known, µs", 1000, xs, func(n int) float64 {
		d, l := directory(n/rowsEach), rows(n/rowsEach)
		return cost(func() { d.Apply(l...) })
	})
	series("apply all rows to an empty directory, µs", 1000, xs, func(n int) float64 {
		l := rows(n / rowsEach)
		return cost(func() { route.New(parse).Apply(l...) })
	})
	series("digest, against rows held, ns", 1, xs, func(n int) float64 { d := directory(n / rowsEach); return cost(func() { d.Digest() }) })
	series("resolve, against rows held, ns", 1, xs, func(n int) float64 {
		d := directory(n / rowsEach)
		return cost(func() { _, _ = d.Resolve(organisation(0), "quotes", "marsh wallaby") })
	})
	series("directory memory per row mix, bytes", 1, xs, func(n int) float64 { return held(func() any { return directory(n / rowsEach) }) })
	of := func(kind route.Kind) func(n int) float64 {
		return func(n int) float64 {
			return held(func() any {
				d := route.New(parse)
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
	series("directory memory of home rows, bytes", 1, []int{100, 500, 2000}, of(route.KindHome))
	series("directory memory of block rows (64 for each 50), bytes", 1, []int{100, 500, 2000}, of(route.KindBlock))
}

func parses() {
	xs := []int{16, 100, 400}
	series("parse a configuration, against upstreams, µs", 1000, xs, func(n int) float64 {
		t := text(n)
		return cost(func() { must(config.Parse("guild.toml", t)) })
	})
	series("configuration text, bytes", 1, xs, func(n int) float64 { return float64(len(text(n))) })
	series("parsed configuration, bytes", 1, xs, func(n int) float64 {
		t := text(n)
		return held(func() any { return must(config.Parse("guild.toml", t)) })
	})
}

// scans measures the reader's side of one scan; the server sends canned pages.
func scans() {
	xs := []int{2 * rowsEach, 10 * rowsEach, 40 * rowsEach}
	page := func(n int) []byte {
		var l []string
		for _, r := range rows(n / rowsEach) {
			var t []string
			for _, x := range r.Txns {
				t = append(t, fmt.Sprintf(`{"S":%q}`, x))
			}
			l = append(l, fmt.Sprintf(`{"space":{"S":"rows"},"row-key":{"S":%q},"version":{"N":"9"},"value":{"B":%q},"txns":{"L":[%s]}}`,
				r.Key, base64.StdEncoding.EncodeToString(r.Value), strings.Join(t, ",")))
		}
		return []byte(`{"Items":[` + strings.Join(l, ",") + `]}`)
	}
	series("scan of the table, bytes", 1, xs, func(n int) float64 { return float64(len(page(n))) })
	series("scan of the table at the reader, µs", 1000, xs, func(n int) float64 {
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
