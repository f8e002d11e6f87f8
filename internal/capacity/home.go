package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/config"
	"dandelionrock.example/dandelionrock/event"
	"dandelionrock.example/dandelionrock/fence"
	"dandelionrock.example/dandelionrock/internal/home"
	"dandelionrock.example/dandelionrock/lease"
	"dandelionrock.example/dandelionrock/order"
	"dandelionrock.example/dandelionrock/route"
	"dandelionrock.example/dandelionrock/schema"
	"dandelionrock.example/dandelionrock/shard"
	"dandelionrock.example/dandelionrock/table"
)

// renewal holds a lease of a home and the guard of its upstream, with the encoded
// messages of the last renewal.
type renewal struct {
	home           *lease.Home
	guard          *fence.Guard
	request, reply []byte
	// allShards is the request that lists all shards. Later requests refer to it
	// by its sequence.
	allShards []byte
}

func newRenewal(n int) *renewal {
	r := &renewal{home: lease.New(lease.Config{
		Organisation: organisation(0), Service: "quotes", Upstream: upstream(0), Instance: "launceston-a-0001",
		Term: 9, Hold: time.Hour, TTL: 500 * time.Millisecond, Fencing: config.FencingChecked,
	}), guard: fence.New(uuid(0))}
	for i := range n {
		r.home.Add(shard.ID(i), 3)
	}
	r.encodeRequest()
	r.handleRequest()
	r.handleReply()
	r.home.Confirm(11)
	r.encodeRequest()
	r.allShards = r.request
	r.handleRequest()
	r.handleReply()
	r.encodeRequest()
	r.handleRequest()
	return r
}

func (r *renewal) encodeRequest() {
	m, _ := r.home.Grant(10)
	r.request = must(protojson.Marshal(m))
}

func (r *renewal) handleRequest() {
	m := &schema.GrantRequest{}
	must(0, protojson.Unmarshal(r.request, m))
	r.reply = must(protojson.Marshal(r.guard.Handle(10, m)))
}

func (r *renewal) handleReply() {
	m := &schema.GrantReply{}
	must(0, protojson.Unmarshal(r.reply, m))
	must(0, r.home.Answer(9, 10, m))
}

func measureGrants() {
	xs := []int{16, 82, 256, 1024}
	measureSeries("renewal at the home without HTTP, against shards, µs", 1000, xs, func(n int) float64 {
		r := newRenewal(n)
		return cost(func() { r.handleReply(); r.encodeRequest() })
	})
	measureSeries("renewal over HTTP, both sides, µs", 1000, xs, func(n int) float64 {
		r := newRenewal(n)
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			r.request = must(io.ReadAll(q.Body))
			r.handleRequest()
			_, _ = w.Write(r.reply)
		}))
		defer s.Close()
		g := home.NewGrantClient(s.Listener.Addr().String(), nil)
		defer func() { _ = g.Close() }()
		return cost(func() {
			m, _ := r.home.Grant(10)
			must(0, r.home.Answer(9, 10, must(g.Grant(context.Background(), m))))
		})
	})
	measureSeries("grant that lists all shards, bytes of the body", 1, xs, func(n int) float64 { return float64(len(newRenewal(n).allShards)) })
	measureSeries("renewal, bytes of the body", 1, xs, func(n int) float64 { return float64(len(newRenewal(n).request)) })
	measureSeries("reply to a renewal, bytes of the body", 1, xs, func(n int) float64 { return float64(len(newRenewal(n).reply)) })
	measureSeries("memory of a lease, bytes", 1, xs, func(n int) float64 {
		return bytesHeld(func() any { return newRenewal(n).home })
	})
	homes := []int{4, 16, 64}
	measureSeries("memory of homes without shards and connections, bytes", 1, homes, func(n int) float64 {
		h := newHomes(n)
		defer h.close()
		return h.bytes
	})
	measureSeries("goroutines of homes", 1, homes, func(n int) float64 {
		begin := runtime.NumGoroutine()
		h := newHomes(n)
		defer h.close()
		return float64(runtime.NumGoroutine() - begin)
	})
}

// unreachable is an upstream whose calls fail.
type unreachable struct{ home.Sender }

func (unreachable) Grant(context.Context, *schema.GrantRequest) (*schema.GrantReply, error) {
	return nil, io.EOF
}
func (unreachable) Close() error { return nil }

type homes struct {
	list  []*home.Home
	bytes float64
}

// newHomes starts homes without connections, and measures the memory that they
// use.
func newHomes(n int) *homes {
	d, k, events := directory(1), table.NewFake(), event.New("launceston-a-0001", 1, event.NewClock(time.Now))
	h := &homes{}
	begin := memoryInUse()
	for i := range n {
		h.list = append(h.list, home.New(home.Config{
			Key: route.HomeKey(organisation(0), "quotes", upstream(i)), Version: 9,
			Lease:   lease.Config{Term: 9, Hold: time.Hour, TTL: time.Minute, Organisation: organisation(0), Service: "quotes"},
			Service: &config.Service{Name: "quotes", ShardCount: shards}, Upstream: &config.Upstream{Name: upstream(i), Slots: 2},
			Directory: d, Store: k, Granter: unreachable{}, Sender: unreachable{}, Announce: func([]table.Row) {},
			Targets: func() ([]shard.Move, error) { return nil, nil }, Events: events, Now: clock.Boot,
		}))
	}
	h.bytes = memoryInUse() - begin
	return h
}

func (h *homes) close() {
	for _, x := range h.list {
		_ = x.Close()
	}
}

func measurePlanning() {
	xs := []int{256, 1024, 4096}
	measureSeries("rebalance of a service, against shards, µs", 1000, xs, func(n int) float64 {
		s := shard.State{Map: shard.NewMap("quotes", uint32(n)), Rates: map[shard.ID]float64{}}
		for u := range upstreams {
			s.Upstreams = append(s.Upstreams, shard.Upstream{Name: upstream(u)})
		}
		for k := range n / shard.BlockSize {
			s.Map = must(s.Map.With(block(n, k)))
		}
		for i := range n {
			s.Rates[shard.ID(i)] = 100 * (1 + float64(i)/float64(n))
		}
		return cost(func() { s.Rebalance(shard.Policy{Above: 1.25}) })
	})
	measureSeries("walk over the owners of a service, against shards, µs", 1000, xs, func(n int) float64 {
		m := shard.NewMap("quotes", uint32(n))
		for k := range n / shard.BlockSize {
			m = must(m.With(block(n, k)))
		}
		return cost(func() {
			seen := map[string]bool{}
			m.All(func(_ shard.ID, e shard.Entry) bool {
				seen[e.Upstream] = true
				return true
			})
		})
	})
	report := func(shards, hot int) *schema.UpstreamLoad {
		r := &schema.UpstreamLoad{Upstream: upstream(0), Rate: 1, ShardRates: map[uint32]float64{}}
		for i := range shards {
			r.ShardRates[uint32(i)] = 123.4
		}
		for i := range hot {
			r.HotKeys = append(r.HotKeys, &schema.HotKey{Key: uuid(i), Rate: 1})
		}
		return r
	}
	encode := func(r *schema.UpstreamLoad) float64 {
		return cost(func() { must(0, proto.Unmarshal(must(proto.Marshal(r)), &schema.UpstreamLoad{})) })
	}
	few := []int{16, 82, 256}
	measureSeries("load report, against shards, both sides, µs", 1000, few, func(n int) float64 { return encode(report(n, 0)) })
	measureSeries("load report, against shards, bytes", 1, few, func(n int) float64 { return float64(proto.Size(report(n, 0))) })
	measureSeries("load report, against hot keys, bytes", 1, []int{1, 4, 8}, func(n int) float64 { return float64(proto.Size(report(0, n))) })
}

func measureMemory() {
	xs := []int{1000, 10000, 50000}
	measureSeries("memory of orders with replies of 64 bytes, bytes", 1, xs, func(n int) float64 {
		return bytesHeld(func() any {
			x := order.NewRecord(order.Options{}, func(y *schema.ForwardReply) int { return proto.Size(y) })
			for i := range n {
				q := order.Request{Account: "desk", ID: uuid(i), Attempt: 1}
				x.Begin(time.Now(), q)
				x.Finish(q, &schema.ForwardReply{Status: 200, Body: make([]byte, 64)}, true)
			}
			return x
		})
	})
	measureSeries("memory of events, bytes", 1, []int{1024, 8192, 32768}, func(n int) float64 {
		return bytesHeld(func() any {
			l := event.New("launceston-a-0001", n, event.NewClock(time.Now))
			for i := range n {
				l.Record("home-started", fmt.Sprint("home/guild/quotes/", i), event.Uint("term", uint64(i)), event.String("successor", "x"))
			}
			return l
		})
	})
}
