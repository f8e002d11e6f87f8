package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"dandelionrock.example/dandelionrock/platform"
	"dandelionrock.example/dandelionrock/platform/fake"
	"golang.org/x/sys/unix"
)

const (
	// memoryMB and descriptors are limits.memory-mb and limits.max-fds of the sample
	// settings.
	memoryMB    = 284
	descriptors = 4100
)

// scene holds the processes and stand-ins of one run.
type scene struct {
	trouble bool
	network string
	dir     string
	begin   time.Time
	store   *fake.Store
	ledger  *fake.Ledger
	// storeAddress is that of the store as the gateways see it.
	storeAddress string

	mu       sync.Mutex
	record   *os.File
	gateways []*gateway
	targets  []*fake.Target
}

// gateway is one process of the program.
type gateway struct {
	id, ip, file string
	cmd          *exec.Cmd
	ended        chan struct{}
	log          *os.File
}

// The loopback addresses of a scene begin with 127, one of networks numbers from
// firstNetwork on, and subnet, which the tests of the repository don't use.
const (
	firstNetwork, networks = 20, 200
	subnet                 = 200
)

func newScene(record string, trouble bool) (*scene, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		return nil, err
	}
	s := &scene{trouble: trouble, dir: dir, begin: time.Now(), record: f, ledger: fake.NewLedger()}
	// The store's port keeps scenes apart that run at the same time.
	for n := range networks {
		s.network = fmt.Sprintf("127.%d.%d", firstNetwork+(os.Getpid()+n)%networks, subnet)
		if s.store, err = fake.NewStore(s.network + ".1:18000"); err == nil {
			s.storeAddress = s.store.Address()
			break
		}
	}
	if err != nil {
		return nil, err
	}
	return s, nil
}

// note writes a line to the record and to the standard output.
func (s *scene) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s\n", time.Since(s.begin).Seconds(), fmt.Sprintf(format, args...))
	_, _ = s.record.WriteString(line)
	fmt.Print(line)
}

// end ends all processes and stand-ins.
func (s *scene) end() {
	for _, g := range s.gateways {
		g.kill()
	}
	for _, t := range s.targets {
		t.Kill()
	}
	_ = s.store.Close()
	_ = os.RemoveAll(s.dir)
}

// startTarget starts a target with the settings of t.
func (s *scene) startTarget(t *fake.Target) error {
	s.targets = append(s.targets, t)
	return t.Start(s.network+".2:0", s.store, s.ledger)
}

// startGateway starts a gateway in a failure domain of fake.Settings.
func (s *scene) startGateway(domain string) (*gateway, error) {
	n := len(s.gateways) + 1
	g := &gateway{id: fmt.Sprint("edge-", n), ip: fmt.Sprintf("%s.%d", s.network, 10+n)}
	g.file = filepath.Join(s.dir, g.id)
	text := fake.Settings(g.id, g.ip, domain, domain[:1], s.storeAddress)
	text = strings.Replace(text, "limits.memory-mb=256", fmt.Sprint("limits.memory-mb=", memoryMB, "\nlimits.max-fds=", descriptors, "\nplatform.row-bytes=65536"), 1)
	text = strings.Replace(text, "limits.cpu-share=1\n", "limits.cpu-share=0.32\n", 1)
	if err := os.WriteFile(g.file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	var err error
	if g.log, err = os.Create(g.file + ".log"); err != nil {
		return nil, err
	}
	s.gateways = append(s.gateways, g)
	return g, g.start()
}

// start starts the process of a gateway with the command of the deploy file.
func (g *gateway) start() error {
	g.cmd = exec.Command("target/dandelionrock", "gateway")
	g.cmd.Env = append(os.Environ(), "DANDELIONROCK_NODE_FILE="+g.file)
	g.cmd.Stdout, g.cmd.Stderr = g.log, g.log
	if err := g.cmd.Start(); err != nil {
		return err
	}
	l := unix.Rlimit{Cur: descriptors, Max: descriptors}
	if err := unix.Prlimit(g.cmd.Process.Pid, unix.RLIMIT_NOFILE, &l, nil); err != nil {
		return err
	}
	c, ended := g.cmd, make(chan struct{})
	g.ended = ended
	go func() { _ = c.Wait(); close(ended) }()
	return nil
}

func (g *gateway) kill() {
	if g.cmd != nil && g.cmd.Process != nil {
		_ = g.cmd.Process.Kill()
		<-g.ended
	}
}

// hasEnded reports whether the process has ended by itself.
func (g *gateway) hasEnded() bool {
	select {
	case <-g.ended:
		return true
	default:
		return false
	}
}

// awaitReady waits until the gateway says that it is ready.
func (g *gateway) awaitReady() error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if g.ready() {
			return nil
		}
		if g.hasEnded() {
			return fmt.Errorf("%s has ended", g.id)
		}
	}
	return fmt.Errorf("%s is not ready", g.id)
}

// ready asks as the platform does.
func (g *gateway) ready() bool {
	c, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	q, err := http.NewRequestWithContext(c, http.MethodGet, "http://"+g.ip+":18002"+platform.ReadyPath, nil)
	if err != nil {
		return false
	}
	a, err := fresh.Do(q)
	if err != nil {
		return false
	}
	defer a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// fresh is a client that opens a connection for each request.
var fresh = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// resident returns the resident memory of the process in kilobytes; 0 if it has ended.
func (g *gateway) resident() int { return g.status("VmRSS:") }

func (g *gateway) status(field string) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		if v, ok := strings.CutPrefix(line, field); ok {
			n := 0
			_, _ = fmt.Sscan(v, &n)
			return n
		}
	}
	return 0
}

// openFiles returns the number of descriptors of the process.
func (g *gateway) openFiles() int {
	n, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", g.cmd.Process.Pid))
	return len(n)
}

// request sends an ordinary request on a new connection and returns the status, or 0
// without an answer within the limit.
func (g *gateway) request(path, attempt string, limit time.Duration) (int, string) {
	c, stop := context.WithTimeout(context.Background(), limit)
	defer stop()
	q, err := http.NewRequestWithContext(c, http.MethodGet, "http://"+g.ip+":18001"+path, nil)
	if err != nil {
		return 0, err.Error()
	}
	q.Host = "example"
	q.Header.Set(platform.HeaderAttempt, attempt)
	q.Header.Set(platform.HeaderDeadline, fmt.Sprint(limit.Milliseconds()))
	a, err := fresh.Do(q)
	if err != nil {
		return 0, err.Error()
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, err.Error()
	}
	return a.StatusCode, string(b)
}

// clientPort is the port for clients in fake.Settings.
const clientPort = ":18001"

// setUp writes the configuration and starts targets, and a gateway in each of the given
// failure domains.
func (s *scene) setUp(domains ...string) error {
	s.putConfiguration()
	for i, v := range []string{"orders", "terms", "orders", "terms"} {
		t := &fake.Target{ID: fmt.Sprint("t", i), Service: v, Domain: domains[i%len(domains)], NonIdempotent: v == "orders", Slots: 4, Queue: 8, ServiceTime: 20 * time.Millisecond}
		if err := s.startTarget(t); err != nil {
			return err
		}
	}
	return s.startGateways(domains...)
}

// putConfiguration writes the configuration as the operator does, with the max-body-bytes
// of the sample, and a timeout of 6 s for the route of orders.
func (s *scene) putConfiguration() {
	text := strings.Replace(string(fake.Configuration(1, "")), `"max-body-bytes":65536`, `"max-body-bytes":67108864`, 1)
	text = strings.Replace(text, `"prefix":"/orders/","type":"non_idempotent","timeout":"2500ms"`, `"prefix":"/orders/","type":"non_idempotent","timeout":"6000ms"`, 1)
	s.store.Put(platform.TableDesired, platform.KeyDesired, []byte(text))
}

// startGateways starts a gateway in each of the given failure domains. Traffic starts some
// seconds later.
func (s *scene) startGateways(domains ...string) error {
	for _, d := range domains {
		g, err := s.startGateway(d)
		if err != nil {
			return err
		}
		if err := g.awaitReady(); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second)
	return nil
}

// peerPort is the port for other gateways in fake.Settings.
const peerPort = ":18003"

// hears reports whether the gateway accepts connections of others.
func (g *gateway) hears() bool {
	c, err := net.DialTimeout("tcp", g.ip+peerPort, time.Second)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}
