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
	"syscall"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/internal/fault/proxy"
	"dandelionrock.example/dandelionrock/platform"
	"dandelionrock.example/dandelionrock/platform/fake"
)

// network is the part of loopback that this process uses, so that several can
// run side by side.
var network = fmt.Sprintf("127.%d", 20+os.Getpid()%200)

// instance is one process of the program, with a proxy to the store and one in
// front of it for other instances.
type instance struct {
	id, ip      string
	store, door *proxy.Proxy
	cmd         *exec.Cmd
	done        chan struct{}
	// life counts the processes.
	life int
	// paused is set while the process is stopped by a signal.
	paused bool
	log    *os.File
}

// target is one target, with a proxy in front of it.
type target struct {
	*fake.Target
	door *proxy.Proxy
	gone bool
}

// world is one run.
type world struct {
	t      *testing.T
	bin    string
	dir    string
	random *rand.Rand
	// serial runs have one fault at a time.
	serial  bool
	store   *fake.Store
	ledger  *fake.Ledger
	actions *os.File
	begin   time.Time
	// undos are the faults that are in force.
	undos sync.WaitGroup

	mu        sync.Mutex
	instances []*instance
	targets   []*target
	version   int
	broken    []string
	asked     int
	served    int
	refusals  []string
	next      int
}

var domains = []struct{ domain, region string }{{"a1", "a"}, {"a2", "a"}, {"b1", "b"}}

func newWorld(t *testing.T, bin, dir string, seed uint64, size int) *world {
	t.Helper()
	w := &world{t: t, bin: bin, dir: dir, random: rand.New(rand.NewPCG(seed, 1)), ledger: fake.NewLedger(), begin: time.Now(), version: 1}
	var err error
	if w.actions, err = os.Create(filepath.Join(dir, "actions.log")); err != nil {
		t.Fatal(err)
	}
	if w.store, err = fake.NewStore(network + ".0.1:0"); err != nil {
		t.Fatal(err)
	}
	w.store.Put(platform.TableDesired, platform.KeyDesired, fake.Configuration(1, ""))
	for i := range 12 {
		w.addTarget(i)
	}
	for i := range size {
		w.addInstance(i)
	}
	for _, i := range w.instances {
		w.awaitReady(i)
	}
	return w
}

func (w *world) note(format string, args ...any) {
	fmt.Fprintf(w.actions, "%8.3f %s\n", time.Since(w.begin).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) breaks(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := fmt.Sprintf(format, args...)
	w.broken = append(w.broken, s)
	w.note("BROKEN %s", s)
}

func (w *world) addTarget(i int) {
	services := []string{"quotes", "orders", "terms"}
	n := w.next
	w.next++
	v := &fake.Target{
		ID: fmt.Sprintf("t%02d", n), Service: services[i%3], Domain: domains[i/3%3].domain, Slots: 2,
		Keyed: i%3 == 0, NonIdempotent: i%3 == 1, ServiceTime: time.Duration(10+5*(i%4)) * time.Millisecond, LostResponses: lostAnswers,
	}
	at := fmt.Sprintf("%s.0.2:%d", network, firstTargetPort+n)
	door, err := proxy.New(network+".0.4:0", at)
	if err != nil {
		w.t.Fatal(err)
	}
	v.Advertise = door.Address()
	if err := v.Start(at, w.store, w.ledger); err != nil {
		w.t.Fatal(err)
	}
	w.targets = append(w.targets, &target{Target: v, door: door})
}

// lostAnswers is the part of the requests whose answers targets lose: enough for
// some orders in each run, few enough to be within the budget for repeats.
const lostAnswers = 0.01

// firstTargetPort is the port of the first target, below those that the system
// gives out.
const firstTargetPort = 19000

// peerPort is that of the instances for each other, as in fake.Settings.
const peerPort = 18003

func (w *world) addInstance(n int) {
	i := &instance{id: fmt.Sprintf("i%d", n), ip: fmt.Sprintf("%s.1.%d", network, n+1)}
	var err error
	if i.store, err = proxy.New(network+".0.3:0", w.store.Address()); err != nil {
		w.t.Fatal(err)
	}
	at := fmt.Sprintf("%s.2.%d", network, n+1)
	if i.door, err = proxy.New(fmt.Sprint(at, ":", peerPort), fmt.Sprint(i.ip, ":", peerPort)); err != nil {
		w.t.Fatal(err)
	}
	d := domains[n%3]
	file := filepath.Join(w.dir, i.id+".conf")
	text := strings.Replace(fake.Settings(i.id, i.ip, d.domain, d.region, i.store.Address()), "\nip="+i.ip, "\nip="+at, 1)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		w.t.Fatal(err)
	}
	if i.log, err = os.Create(filepath.Join(w.dir, i.id+".log")); err != nil {
		w.t.Fatal(err)
	}
	w.instances = append(w.instances, i)
	w.start(i)
}

// start starts the process of an instance.
func (w *world) start(i *instance) {
	i.cmd = exec.Command(w.bin, "gateway")
	i.cmd.Env = append(os.Environ(), "DANDELIONROCK_NODE_FILE="+filepath.Join(w.dir, i.id+".conf"))
	i.cmd.Stdout, i.cmd.Stderr = i.log, i.log
	if err := i.cmd.Start(); err != nil {
		w.t.Fatal(err)
	}
	w.mu.Lock()
	i.life++
	w.mu.Unlock()
	c, done := i.cmd, make(chan struct{})
	i.done = done
	go func() { _ = c.Wait(); close(done) }()
}

// stop signals a process, awaits its end and reports how long that took.
func (w *world) stop(i *instance, s os.Signal) time.Duration {
	begin := time.Now()
	_ = i.cmd.Process.Signal(s)
	select {
	case <-i.done:
	case <-time.After(stopTime):
		w.breaks("instance %s runs %v after %v", i.id, stopTime, s)
		_ = i.cmd.Process.Kill()
		<-i.done
	}
	return time.Since(begin)
}

// stopTime is the time that a process may take to end after SIGTERM, the
// platform's grace period.
const stopTime = 6 * time.Second

// readyTime is the time that a process may take to become ready.
const readyTime = 15 * time.Second

func (w *world) awaitReady(i *instance) {
	for end := time.Now().Add(readyTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if a, err := http.Get("http://" + i.ip + ":18002" + platform.ReadyPath); err == nil {
			_ = a.Body.Close()
			if a.StatusCode == http.StatusOK {
				return
			}
		}
	}
	w.breaks("instance %s is not ready after %v", i.id, readyTime)
}

// close stops everything that the run has started.
func (w *world) close() {
	for _, i := range w.instances {
		_ = i.cmd.Process.Signal(syscall.SIGCONT)
		_ = i.cmd.Process.Kill()
		<-i.done
		_ = i.store.Close()
		_ = i.door.Close()
		_ = i.log.Close()
	}
	for _, v := range w.targets {
		v.Kill()
		_ = v.door.Close()
	}
	_ = w.store.Close()
	_ = w.actions.Close()
}

// faults returns all broken rules.
func (w *world) faults() []string {
	for _, a := range w.refusals {
		if n := w.ledger.Runs(a); n > 0 {
			w.broken = append(w.broken, fmt.Sprintf("attempt %s was refused as not run, and ran %d times", a, n))
		}
	}
	out := append(w.broken, w.ledger.Violations()...)
	for _, i := range w.instances {
		b, err := os.ReadFile(filepath.Join(w.dir, i.id+".log"))
		if err == nil && strings.Contains(string(b), "panic: ") {
			out = append(out, "instance "+i.id+" panicked")
		}
	}
	return out
}

func (w *world) summary() string {
	return fmt.Sprintf("%d requests, %d served, %d refused, %d store calls", w.asked, w.served, len(w.refusals), w.store.Calls())
}

// readBody reads and closes a body.
func readBody(a *http.Response) string {
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return ""
	}
	return string(b)
}
