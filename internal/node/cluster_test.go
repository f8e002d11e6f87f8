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
	organisation       = "guild"
	operatorCredential = "operator"
	// drainTimeout exceeds the longest request timeout.
	drainTimeout = 8 * time.Second
	closeDelay   = time.Second
)

// TestMain discards the log of the transport library, and fails if instances leak
// goroutines.
func TestMain(m *testing.M) {
	klog.SetLogger(klog.NewStdLogger(io.Discard))
	goleak.VerifyTestMain(m)
}

// service describes a service of the configuration under test.
type service struct {
	name string
	// settings are lines of TOML.
	settings string
	// upstreams is the number of upstreams, upstream their common settings.
	upstreams int
	upstream  stub.UpstreamConfig
}

// cluster is a set of instances with their platform, table and upstreams.
type cluster struct {
	testing.TB
	net      *network
	platform *stub.Platform
	fake     *table.Fake
	// store is the table that the members use: fake, unless a test replaces it.
	store    table.Store
	services []service
	ups      []*stub.Upstream
	client   *http.Client

	mu      sync.Mutex
	members []*member
	// stopped counts the killed members that haven't ended yet.
	stopped sync.WaitGroup
}

// member is one run of an instance.
type member struct {
	index, run int
	id, domain string
	node       *Node
	stop       context.CancelFunc
	done       chan error
	// up is whether the member runs, listed whether callers use it. The cluster's
	// mu guards both.
	up, listed bool
	// killed is set before the member is stopped abruptly.
	killed atomic.Bool
}

// name returns the member's name on the network, which differs for each run.
func (m *member) name() string { return fmt.Sprintf("%s.%d", m.id, m.run) }

// newCluster returns n instances that haven't started, with a table in memory, and
// starts the upstreams of the services.
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
	c.net.setName(x.Address(), u.Name)
	c.ups = append(c.ups, x)
}

// startAll starts all members, submits the configuration and waits until all homes
// serve.
func (c *cluster) startAll() *cluster {
	for i := range c.members {
		c.start(i)
	}
	m := c.members[0]
	c.await("first instance ready", m.node.ready)
	if _, err := c.operator(m).Submit(context.Background(), organisation, []byte(c.configText()), 0); err != nil {
		c.Fatal(err)
	}
	c.await("all homes serving", c.serving)
	return c
}

// configText returns the text of the configuration.
func (c *cluster) configText() string {
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

// accounts holds the client accounts. The credential of each is its name.
var accounts = []string{"desk", "flood"}

// nextPort counts the ports that were tried. The range of address holds no
// ephemeral ports.
var nextPort atomic.Uint32

// address returns a loopback address with a port that is free at the moment.
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

// start starts a new run of an instance, with new addresses, and lists it.
func (c *cluster) start(index int) *member {
	old := c.members[index]
	m := &member{index: index, run: old.run + 1, id: old.id, domain: old.domain, done: make(chan error, 1), up: true, listed: true}
	s := &config.Settings{
		InstanceID: m.id, Region: "hobart", FailureDomain: m.domain, HTTPAddress: c.address(), RPCAddress: c.address(),
		HeartbeatInterval: 100 * time.Millisecond, SuspectAfter: 400 * time.Millisecond, DrainTimeout: drainTimeout, CloseDelay: closeDelay,
		Platform: config.Platform{
			InstancesURL: c.platform.URL() + "/instances", PollInterval: time.Second, CallTimeout: time.Second,
		},
		Operators: []*config.Operator{{Organisation: organisation, CredentialSHA256: sha256.Sum256([]byte(operatorCredential))}},
	}
	c.net.setName(s.RPCAddress, m.name())
	c.net.setName(s.HTTPAddress, m.name())
	m.node = New(Options{
		Settings: s, Store: &storeLink{c.store, c.net, m.name()}, Log: zerolog.Nop(), Scope: tally.NoopScope,
		Metrics: http.NotFoundHandler(), Dial: c.net.dialer(m.name()),
	})
	x, f := context.WithCancel(context.Background())
	m.stop = f
	go func() { m.done <- m.node.Run(x) }()
	if !c.awaitStarted(m) {
		f()
		return c.start(index)
	}
	c.mu.Lock()
	c.members[index] = m
	c.mu.Unlock()
	c.publishInstances()
	return m
}

// awaitStarted waits until a member answers. It returns false if the member ended
// instead, because another process took one of its addresses.
func (c *cluster) awaitStarted(m *member) bool {
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

// publishInstances sets the platform's list of instances to the running members.
func (c *cluster) publishInstances() {
	var l []stub.Instance
	for _, m := range c.running() {
		l = append(l, stub.Instance{ID: m.id, RPCAddress: m.node.s.RPCAddress, HTTPAddress: m.node.s.HTTPAddress, Region: "hobart", FailureDomain: m.domain})
	}
	c.platform.SetInstances(l...)
}

// kill stops a member abruptly: its connections are reset and it reaches no
// instance, no upstream and not the table. Unlike in a crashed process, its
// goroutines keep running in the background until they end.
func (c *cluster) kill(m *member) {
	c.mu.Lock()
	m.up, m.listed = false, false
	m.killed.Store(true)
	c.mu.Unlock()
	c.net.kill(m.name())
	m.stop()
	c.stopped.Go(func() { <-m.done })
	c.publishInstances()
}

// leave stops a member gracefully. Callers use it for closeDelay/5 after it has
// become not ready, as they would behind a load balancer.
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
	c.publishInstances()
	return err
}

// running returns the running members.
func (c *cluster) running() []*member { return c.membersWhere(func(m *member) bool { return m.up }) }

// membersWhere returns the members for which f returns true. f is called with mu
// held.
func (c *cluster) membersWhere(f func(m *member) bool) []*member {
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

// serving reports whether every upstream has one serving home and every running
// member knows the owners of all shards.
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

// holder returns a member, other than except, with a serving home of an upstream,
// or nil.
func (c *cluster) holder(upstream string, except *member) *member {
	for _, m := range c.running() {
		for _, h := range m.node.Status().Homes {
			if m != except && h.Upstream == upstream && h.State == "serving" {
				return m
			}
		}
	}
	return nil
}

// awaitTimeout bounds waits for conditions for which no invariant sets a time.
const awaitTimeout = 30 * time.Second

// await waits for a condition and fails the test after awaitTimeout.
func (c *cluster) await(what string, f func() bool) {
	c.Helper()
	if !within(awaitTimeout, f) {
		c.Fatalf("after %v: not %s\n%s", awaitTimeout, what, c.report())
	}
}

// within polls a condition until it holds, or returns false after d.
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

// operator returns an operator's client of a member.
func (c *cluster) operator(m *member) *admin.Client {
	return &admin.Client{URL: "http://" + m.node.s.HTTPAddress, Credential: operatorCredential, HTTP: c.client}
}

// end kills the running members and closes the upstreams and the platform.
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
