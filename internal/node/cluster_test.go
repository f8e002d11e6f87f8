package node

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"

	"dandelionrock.example/dandelionrock/config"
	"dandelionrock.example/dandelionrock/internal/admin"
	"dandelionrock.example/dandelionrock/internal/stub"
	"dandelionrock.example/dandelionrock/table"
)

const (
	organisation = "guild"
	operatorWord = "operator"
	// drainTimeout exceeds the longest request.
	drainTimeout = 8 * time.Second
	closeDelay   = time.Second
)

// TestMain silences the log of the transport library, and looks for goroutines
// that instances leave behind.
func TestMain(m *testing.M) {
	klog.SetLogger(klog.NewStdLogger(io.Discard))
	goleak.VerifyTestMain(m)
}

// service describes a service of the configuration under test.
type service struct {
	name string
	// settings are lines of TOML.
	settings string
	// upstreams is their number, upstream the common part of their settings.
	upstreams int
	upstream  stub.UpstreamConfig
}

// cluster is a set of instances with their platform and upstreams.
type cluster struct {
	testing.TB
	net      *network
	platform *stub.Platform
	fake     *table.Fake
	// store is what the members use; a mutation replaces it.
	store    table.Store
	services []service
	ups      []*stub.Upstream
	client   *http.Client

	mu      sync.Mutex
	members []*member
	// stopped waits for members that were killed.
	stopped sync.WaitGroup
}

// member is one run of an instance.
type member struct {
	index, run int
	id, domain string
	node       *Node
	stop       context.CancelFunc
	done       chan error
	// up is whether it runs, listed whether callers use it; the cluster's mu
	// guards both.
	up, listed bool
	// killed is set before the member is stopped abruptly.
	killed atomic.Bool
}

// name is that of the member on the network.
func (m *member) name() string { return fmt.Sprintf("%s.%d", m.id, m.run) }

// newCluster starts n instances with a table in memory.
func newCluster(t testing.TB, n int, services ...service) *cluster {
	p, err := stub.NewPlatform(stub.PlatformConfig{Address: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	c := &cluster{TB: t, net: newNetwork(), platform: p, fake: table.NewFake(), services: services}
	c.store = c.fake
	d := c.net.dialer("caller")
	c.client = &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 64, MaxIdleConns: 1024,
		DialContext: func(x context.Context, _, a string) (net.Conn, error) { return d(x, a) },
	}}
	for _, s := range services {
		for i := range s.upstreams {
			c.addUpstream(s, i)
		}
	}
	for i := range n {
		c.members = append(c.members, &member{index: i, id: fmt.Sprintf("i%d", i), domain: fmt.Sprintf("hobart-%c", 'a'+i%2)})
	}
	return c
}

func (c *cluster) addUpstream(s service, i int) {
	u := s.upstream
	u.Name, u.Address, u.Fencing = fmt.Sprintf("%s-%d", s.name, i), "127.0.0.1:0", config.FencingChecked
	if u.ServiceTime == 0 {
		u.ServiceTime = stub.Duration(2 * time.Millisecond)
	}
	x, err := stub.NewUpstream(u)
	if err != nil {
		c.Fatal(err)
	}
	c.net.name(x.Address(), u.Name)
	c.ups = append(c.ups, x)
}

// begin starts all members and submits the configuration.
func (c *cluster) begin() *cluster {
	for i := range c.members {
		c.start(i)
	}
	m := c.members[0]
	c.await("first instance ready", m.node.ready)
	if _, err := c.operator(m).Submit(context.Background(), organisation, []byte(c.text()), 0); err != nil {
		c.Fatal(err)
	}
	c.await("all homes serving", c.serving)
	return c
}

// text returns the configuration.
func (c *cluster) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "organisation = %q\n", organisation)
	i := 0
	for _, s := range c.services {
		fmt.Fprintf(&b, "[[services]]\nname = %q\n%s\n", s.name, s.settings)
		for range s.upstreams {
			u := c.ups[i]
			i++
			fmt.Fprintf(&b, "[[services.upstreams]]\nname = %q\naddress = %q\nregion = \"hobart\"\nfailure-domain = %q\nslots = 2\nconnections = 40\nfencing = \"checked\"\n",
				u.Name(), u.Address(), fmt.Sprintf("hobart-%c", 'a'+i%2))
		}
	}
	names := make([]string, len(c.services))
	for i, s := range c.services {
		names[i] = strconv.Quote(s.name)
	}
	for _, a := range accounts {
		fmt.Fprintf(&b, "[[client-accounts]]\nname = %q\ncredential-sha256 = \"%x\"\nservices = [%s]\n",
			a, sha256.Sum256([]byte(a)), strings.Join(names, ", "))
	}
	return b.String()
}

// accounts are the client accounts; each name is the credential, too.
var accounts = []string{"desk", "flood"}

// nextPort is the next port to try; the range holds no ephemeral ports.
var nextPort atomic.Uint32

func (c *cluster) address() string {
	for range 1000 {
		a := fmt.Sprintf("127.0.0.1:%d", 26000+(nextPort.Add(1)+uint32(os.Getpid())*67)%1000)
		if l, err := net.Listen("tcp", a); err == nil {
			_ = l.Close()
			return a
		}
	}
	c.Fatal("no free port")
	return ""
}

// start runs an instance again, with new addresses, and lists it.
func (c *cluster) start(index int) *member {
	old := c.members[index]
	m := &member{index: index, run: old.run + 1, id: old.id, domain: old.domain, done: make(chan error, 1), up: true, listed: true}
	s := &config.Settings{
		InstanceID: m.id, Region: "hobart", FailureDomain: m.domain, HTTPAddress: c.address(), RPCAddress: c.address(),
		HeartbeatInterval: 100 * time.Millisecond, SuspectAfter: 400 * time.Millisecond, DrainTimeout: drainTimeout, CloseDelay: closeDelay,
		Platform: config.Platform{
			InstancesURL: c.platform.URL() + "/instances", PollInterval: time.Second, CallTimeout: time.Second,
		},
		Operators: []*config.Operator{{Organisation: organisation, CredentialSHA256: sha256.Sum256([]byte(operatorWord))}},
	}
	c.net.name(s.RPCAddress, m.name())
	c.net.name(s.HTTPAddress, m.name())
	m.node = New(Options{
		Settings: s, Store: &storeLink{c.store, c.net, m.name()}, Log: zerolog.Nop(), Scope: tally.NoopScope,
		Metrics: http.NotFoundHandler(), Dial: c.net.dialer(m.name()),
	})
	x, f := context.WithCancel(context.Background())
	m.stop = f
	go func() { m.done <- m.node.Run(x) }()
	if !c.listens(m) {
		f()
		return c.start(index)
	}
	c.mu.Lock()
	c.members[index] = m
	c.mu.Unlock()
	c.list()
	return m
}

// listens waits until a member answers, or returns false if another process has
// taken one of its addresses meanwhile.
func (c *cluster) listens(m *member) bool {
	failed := false
	c.await("instance answers", func() bool {
		select {
		case <-m.done:
			failed = true
			return true
		default:
		}
		s, err := c.operator(m).Status(context.Background())
		return err == nil && s.Incarnation == m.node.self.Incarnation
	})
	return !failed
}

// list publishes the members that run.
func (c *cluster) list() {
	var l []stub.Instance
	for _, m := range c.running() {
		l = append(l, stub.Instance{ID: m.id, RPCAddress: m.node.s.RPCAddress, HTTPAddress: m.node.s.HTTPAddress, Region: "hobart", FailureDomain: m.domain})
	}
	c.platform.SetInstances(l...)
}

// kill stops a member abruptly: its connections are reset and it reaches
// neither instances, upstreams nor the table. Its goroutines end in the
// background. Its memory lives on meanwhile, which a lost process's doesn't.
func (c *cluster) kill(m *member) {
	c.mu.Lock()
	m.up, m.listed = false, false
	m.killed.Store(true)
	c.mu.Unlock()
	c.net.kill(m.name())
	m.stop()
	c.stopped.Go(func() { <-m.done })
	c.list()
}

// leave stops a member gracefully. Callers use it until some time after it has
// become not ready, as behind a load balancer.
func (c *cluster) leave(m *member) error {
	m.stop()
	c.await("not ready", func() bool { return !m.node.ready() })
	time.Sleep(closeDelay / 5)
	c.mu.Lock()
	m.listed = false
	c.mu.Unlock()
	err := <-m.done
	c.mu.Lock()
	m.up = false
	c.mu.Unlock()
	c.list()
	return err
}

// running returns the members that run.
func (c *cluster) running() []*member { return c.those(func(m *member) bool { return m.up }) }

// those returns the members for which f, called with mu held, is true.
func (c *cluster) those(f func(m *member) bool) []*member {
	c.mu.Lock()
	defer c.mu.Unlock()
	var l []*member
	for _, m := range c.members {
		if f(m) {
			l = append(l, m)
		}
	}
	return l
}

// serving reports whether every upstream has a home that serves and all shards
// have owners.
func (c *cluster) serving() bool {
	n := 0
	for _, m := range c.running() {
		for _, h := range m.node.Status().Homes {
			if h.State == "serving" {
				n++
			}
		}
		for _, s := range c.services {
			if x := m.node.dir.Map(organisation, s.name); x == nil || !x.Complete() {
				return false
			}
		}
	}
	return n == len(c.ups)
}

// holder returns a member other than one that serves an upstream, or nil.
func (c *cluster) holder(upstream string, but *member) *member {
	for _, m := range c.running() {
		for _, h := range m.node.Status().Homes {
			if m != but && h.Upstream == upstream && h.State == "serving" {
				return m
			}
		}
	}
	return nil
}

// patience bounds waits for conditions that no invariant bounds.
const patience = 30 * time.Second

// await waits for a condition.
func (c *cluster) await(what string, f func() bool) {
	c.Helper()
	if !within(patience, f) {
		c.Fatalf("after %v: not %s\n%s", patience, what, c.report())
	}
}

// within polls a condition until it holds or d has passed.
func within(d time.Duration, f func() bool) bool {
	for t := time.Now(); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Since(t) > d {
			return false
		}
	}
	return true
}

// report describes the state of the members for a failed test.
func (c *cluster) report() string {
	var b strings.Builder
	for _, m := range c.running() {
		fmt.Fprintf(&b, "%s: %+v\n", m.name(), m.node.Status())
	}
	return b.String()
}

func (c *cluster) operator(m *member) *admin.Client {
	return &admin.Client{URL: "http://" + m.node.s.HTTPAddress, Credential: operatorWord, HTTP: c.client}
}

// end stops everything and waits for it.
func (c *cluster) end() {
	for _, m := range c.running() {
		c.kill(m)
	}
	c.stopped.Wait()
	for _, u := range c.ups {
		u.SetFaults(stub.UpstreamFaults{})
		if err := u.Close(); err != nil {
			c.Error(err)
		}
	}
	c.client.CloseIdleConnections()
	http.DefaultClient.CloseIdleConnections()
	if err := c.platform.Close(); err != nil {
		c.Error(err)
	}
}
