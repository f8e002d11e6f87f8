package syncer

import (
	"fmt"
	"net"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/internal/fault/proxy"
	"dandelionrock.example/dandelionrock/internal/relay"
	"dandelionrock.example/dandelionrock/internal/state/alive"
	"dandelionrock.example/dandelionrock/internal/state/view"
	"dandelionrock.example/dandelionrock/peer"
	"dandelionrock.example/dandelionrock/platform"
	"dandelionrock.example/dandelionrock/platform/fake"
	"dandelionrock.example/dandelionrock/schema"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"
)

// fleet is a region of instances that are connected to one another.
type fleet struct {
	store     *fake.Store
	syncers   []*Syncer
	instances []peer.Instance
	pools     []*relay.Pool
	// proxies are those to each instance.
	proxies []*proxy.Proxy
}

func newFleet(t *testing.T, count int) *fleet {
	t.Helper()
	f := &fleet{}
	var err error
	if f.store, err = fake.NewStore("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	f.store.Put(platform.TableDesired, platform.KeyDesired, fake.Configuration(1, ""))
	f.store.Put(platform.TableTargets, "t", []byte("{}"))
	t.Cleanup(func() { _ = f.store.Close() })
	for n := range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		x, err := proxy.New("127.0.0.1:0", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		i := peer.Instance{ID: fmt.Sprint("i", n), Incarnation: "run", Region: "a", FailureDomain: "a1", RPCAddress: x.Address(), Weight: 1}
		b, err := proto.Marshal(&schema.InstanceRow{Incarnation: i.Incarnation, RpcAddress: i.RPCAddress, Region: i.Region, FailureDomain: i.FailureDomain, Weight: i.Weight})
		if err != nil {
			t.Fatal(err)
		}
		f.store.Put(platform.TableOwn, view.PrefixInstance+i.ID, b)
		store, pool := platform.NewStore(f.store.Address()), relay.NewPool(relay.Options{})
		s, server := New(i, store, pool, alive.New(i.ID), usualBound, zerolog.Nop(), nil), relay.NewServer(relay.Options{DrainTime: time.Millisecond})
		if err := server.RegisterName("Spread", s); err != nil {
			t.Fatal(err)
		}
		go func() { _ = server.Serve(l) }()
		s.Start()
		t.Cleanup(func() { _, _, _, _, _ = s.Close(), pool.Close(), server.Close(), x.Close(), store.Close() })
		f.syncers, f.instances, f.pools, f.proxies = append(f.syncers, s), append(f.instances, i), append(f.pools, pool), append(f.proxies, x)
	}
	return f
}

// awaitVersion waits until all instances have a version of the configuration, and returns
// how many have it at the end of the given time.
func (f *fleet) awaitVersion(version uint64, limit time.Duration) int {
	have := 0
	for end := time.Now().Add(limit); have < len(f.syncers) && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		have = 0
		for _, s := range f.syncers {
			if d := s.View().Desired; d != nil && d.Version >= version && len(s.View().Instances) == len(f.syncers) {
				have++
			}
		}
	}
	return have
}

// connect opens a connection between each two instances.
func (f *fleet) connect(t *testing.T) {
	t.Helper()
	for _, p := range f.pools {
		for _, i := range f.instances {
			if err := p.Call(t.Context(), i.RPCAddress, "Spread.Sync", &schema.SyncRequest{}, &schema.SyncReply{}); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// Guards against a configuration that comes into force late when all open connections
// between instances go silent: each costs a call its deadline, and an instance has many.
func TestChangeWhileConnectionsAreSilent(t *testing.T) {
	// pause is the time between two silences.
	const pause = 2 * time.Second
	for _, count := range []int{3, 12, 30} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			f := newFleet(t, count)
			if n := f.awaitVersion(1, 20*time.Second); n < count {
				t.Fatalf("%d of %d instances have started", n, count)
			}
			f.connect(t)
			for version := uint64(2); version < 5; version++ {
				for _, x := range f.proxies {
					x.Sever()
				}
				f.store.Put(platform.TableDesired, platform.KeyDesired, fake.Configuration(int(version), ""))
				if n := f.awaitVersion(version, usualBound); n < count {
					t.Fatalf("%d of %d instances have version %d in time", n, count, version)
				}
				time.Sleep(pause)
			}
		})
	}
}
