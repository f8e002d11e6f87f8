package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/internal/fault/proxy"
	"dandelionrock.example/dandelionrock/platform"
	"dandelionrock.example/dandelionrock/platform/fake"
)

// network is the prefix of the loopback addresses of this process. It depends on
// the process id, so that several soaks can run at the same time.
var network = fmt.Sprintf("127.%d", 20+os.Getpid()%200)

// instance is one process of the program, with a proxy on its path to the store
// and one on the path of the other instances to it.
type instance struct {
	id, ip, domain        string
	storeProxy, peerProxy *proxy.Proxy
	cmd                   *exec.Cmd
	done                  chan struct{}
	// starts counts the processes started for this instance.
	starts int
	// signalled holds when each of them, by its number, got SIGTERM in a series of stops,
	// and stopping is set from then until the next one is ready.
	signalled map[int]time.Time
	stopping  bool
	// paused is set while the process is stopped by a signal.
	paused bool
	log    *os.File
}

// target is a target with a proxy on the path of the instances to it.
type target struct {
	*fake.Target
	proxy   *proxy.Proxy
	retired bool
}

// soakRun is one run: its processes, the store and targets that it uses, and what
// was observed.
type soakRun struct {
	t      *testing.T
	bin    string
	dir    string
	random *rand.Rand
	// serial means that there is one fault at a time.
	serial bool
	// kinds is the number of kinds of actions.
	kinds int
	// shape is the work of the targets, which then lose no responses; nil stands for
	// fixed times.
	shape     func(*http.Request) (time.Duration, int)
	store     *fake.Store
	ledger    *fake.Ledger
	actionLog *os.File
	begin     time.Time
	// backups holds copies of the store from before each action.
	backups []*fake.Backup
	// pendingUndos counts the faults that are still to be undone.
	pendingUndos sync.WaitGroup
	// evacuated is set while a failure domain is evacuated.
	evacuated atomic.Bool

	mu         sync.Mutex
	instances  []*instance
	targets    []*target
	version    int
	violations []string
	sent       int
	served     int
	refusals   []string
	nextTarget int
	// exchanges are the requests of a series of stops, and failures those that failed and
	// are not counted as lost, by class.
	exchanges []*exchange
	failures  map[string]int
}

var domains = []struct{ domain, region string }{{"a1", "a"}, {"a2", "a"}, {"b1", "b"}}

func newRun(t *testing.T, bin, dir string, seed uint64, size int, shape func(*http.Request) (time.Duration, int)) *soakRun {
	t.Helper()
	s := &soakRun{t: t, bin: bin, dir: dir, random: rand.New(rand.NewPCG(seed, 1)), ledger: fake.NewLedger(), begin: time.Now(), version: 1, shape: shape, failures: map[string]int{}}
	var err error
	if s.actionLog, err = os.Create(filepath.Join(dir, "actions.log")); err != nil {
		t.Fatal(err)
	}
	if s.store, err = fake.NewStore(network + ".0.1:0"); err != nil {
		t.Fatal(err)
	}
	s.store.Put(platform.TableDesired, platform.KeyDesired, fake.Configuration(1, ""))
	for i := range 12 {
		s.addTarget(i)
	}
	for i := range size {
		s.addInstance(i)
	}
	for _, i := range s.instances {
		s.awaitReady(i)
	}
	return s
}

func (s *soakRun) logAction(format string, args ...any) {
	fmt.Fprintf(s.actionLog, "%8.3f %s\n", time.Since(s.begin).Seconds(), fmt.Sprintf(format, args...))
}

func (s *soakRun) addViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	violation := fmt.Sprintf(format, args...)
	s.violations = append(s.violations, violation)
	s.logAction("VIOLATION %s", violation)
}

func (s *soakRun) addTarget(i int) {
	services := []string{"quotes", "orders", "terms"}
	n := s.nextTarget
	s.nextTarget++
	v := &fake.Target{
		ID: fmt.Sprintf("t%02d", n), Service: services[i%3], Domain: domains[i/3%3].domain, Slots: 2,
		Keyed: i%3 == 0, NonIdempotent: i%3 == 1, ServiceTime: time.Duration(10+5*(i%4)) * time.Millisecond, LostResponses: lostResponseShare,
	}
	if s.shape != nil {
		v.Shape, v.LostResponses, v.Queue = s.shape, 0, targetQueue
	}
	address := fmt.Sprintf("%s.0.2:%d", network, firstTargetPort+n)
	p, err := proxy.New(network+".0.4:0", address)
	if err != nil {
		s.t.Fatal(err)
	}
	v.Advertise = p.Address()
	if err := v.Start(address, s.store, s.ledger); err != nil {
		s.t.Fatal(err)
	}
	s.targets = append(s.targets, &target{Target: v, proxy: p})
}

// lostResponseShare is the share of requests whose responses targets lose: enough
// to hit some orders in each run, few enough to stay within the retry budget.
const lostResponseShare = 0.01

// firstTargetPort is the port of the first target, below the ephemeral ports.
const firstTargetPort = 19000

// peerPort is the port on which instances serve each other, as in fake.Settings.
const peerPort = 18003

func (s *soakRun) addInstance(n int) {
	i := &instance{id: fmt.Sprintf("i%d", n), ip: fmt.Sprintf("%s.1.%d", network, n+1), domain: domains[n%3].domain, signalled: map[int]time.Time{}}
	var err error
	if i.storeProxy, err = proxy.New(network+".0.3:0", s.store.Address()); err != nil {
		s.t.Fatal(err)
	}
	address := fmt.Sprintf("%s.2.%d", network, n+1)
	if i.peerProxy, err = proxy.New(fmt.Sprint(address, ":", peerPort), fmt.Sprint(i.ip, ":", peerPort)); err != nil {
		s.t.Fatal(err)
	}
	d := domains[n%3]
	file := filepath.Join(s.dir, i.id+".conf")
	text := strings.Replace(fake.Settings(i.id, i.ip, d.domain, d.region, i.storeProxy.Address()), "\nip="+i.ip, "\nip="+address, 1)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	if i.log, err = os.Create(filepath.Join(s.dir, i.id+".log")); err != nil {
		s.t.Fatal(err)
	}
	s.instances = append(s.instances, i)
	s.start(i)
}

// start starts the process of an instance.
func (s *soakRun) start(i *instance) {
	i.cmd = exec.Command(s.bin, "gateway")
	i.cmd.Env = append(os.Environ(), "DANDELIONROCK_NODE_FILE="+filepath.Join(s.dir, i.id+".conf"))
	i.cmd.Stdout, i.cmd.Stderr = i.log, i.log
	if err := i.cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.mu.Lock()
	i.starts++
	s.mu.Unlock()
	c, done := i.cmd, make(chan struct{})
	i.done = done
	go func() { _ = c.Wait(); close(done) }()
}

// stop sends a signal to a process, waits for its end and returns how long that
// took. It kills a process that still runs after maxStopTime.
func (s *soakRun) stop(i *instance, signal os.Signal) time.Duration {
	begin := time.Now()
	_ = i.cmd.Process.Signal(signal)
	select {
	case <-i.done:
	case <-time.After(maxStopTime):
		s.addViolation("instance %s still runs %v after %v", i.id, maxStopTime, signal)
		_ = i.cmd.Process.Kill()
		<-i.done
	}
	return time.Since(begin)
}

// maxStopTime is the time in which a process must end after SIGTERM: the grace
// period of the platform.
const maxStopTime = 6 * time.Second

// maxReadyTime is the time in which a process must become ready after its start.
const maxReadyTime = 15 * time.Second

func (s *soakRun) awaitReady(i *instance) {
	for end := time.Now().Add(maxReadyTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if a, err := http.Get("http://" + i.ip + ":18002" + platform.ReadyPath); err == nil {
			_ = a.Body.Close()
			if a.StatusCode == http.StatusOK {
				return
			}
		}
	}
	s.addViolation("instance %s is not ready after %v", i.id, maxReadyTime)
}

// close ends all processes, targets, proxies and the store of the run.
func (s *soakRun) close() {
	for _, i := range s.instances {
		_ = i.cmd.Process.Signal(syscall.SIGCONT)
		_ = i.cmd.Process.Kill()
		<-i.done
		_ = i.storeProxy.Close()
		_ = i.peerProxy.Close()
		_ = i.log.Close()
	}
	for _, v := range s.targets {
		v.Kill()
		_ = v.proxy.Close()
	}
	_ = s.store.Close()
	_ = s.actionLog.Close()
}

// allViolations returns the violations that the run, the ledger and the logs of
// the instances show.
func (s *soakRun) allViolations() []string {
	for _, a := range s.refusals {
		if n := s.ledger.Runs(a); n > 0 {
			s.violations = append(s.violations, fmt.Sprintf("attempt %s was refused as not run but ran %d times", a, n))
		}
	}
	out := append(s.violations, s.ledger.Violations()...)
	for _, i := range s.instances {
		b, err := os.ReadFile(filepath.Join(s.dir, i.id+".log"))
		if err == nil && strings.Contains(string(b), "panic: ") {
			out = append(out, "instance "+i.id+" panicked")
		}
	}
	return out
}

func (s *soakRun) summary() string {
	return fmt.Sprintf("%d requests, %d served, %d refused, %d store calls", s.sent, s.served, len(s.refusals), s.store.Calls())
}

// readBody reads and closes the body of a response. It returns an empty text if
// that fails.
func readBody(a *http.Response) string {
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return ""
	}
	return string(b)
}
