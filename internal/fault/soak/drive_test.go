package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"dandelionrock.example/dandelionrock/internal/fault/proxy"
	"dandelionrock.example/dandelionrock/platform"
	"dandelionrock.example/dandelionrock/platform/fake"
)

const (
	// clients is the number of clients that send one request after the other.
	clients = 8
	// settleTime is the time after the last fault in which all must be well
	// again: the bounds of the pages for discovery, ownership and recovery.
	settleTime = 8 * time.Second
	// calmRequests are sent after that; calmServed of them must be served.
	calmRequests = 120
	calmServed   = 0.95
	// revertSlack is the time after which a configuration that was shown must
	// not be followed by an older one.
	revertSlack = 250 * time.Millisecond
	// minFault and maxFault bound how long a fault lasts.
	minFault = 300 * time.Millisecond
	maxFault = 2800 * time.Millisecond
	// stableWindow is the time after a disturbance in which the pages don't bind
	// the instances that it hit.
	stableWindow = 3 * time.Second
	// deadline is that of the clients' requests.
	deadline = 3 * time.Second
)

// run sends load, injects faults for a time and checks the recovery.
func (w *world) run(faults time.Duration) {
	c, stop := context.WithCancel(context.Background())
	var g sync.WaitGroup
	for n := range clients {
		r := rand.New(rand.NewPCG(w.random.Uint64(), uint64(n)))
		g.Go(func() { w.client(c, n, r) })
	}
	for _, i := range w.instances {
		g.Go(func() { w.watch(c, i) })
	}
	for end := time.Now().Add(faults); time.Now().Before(end); {
		w.act()
		time.Sleep(time.Duration(w.random.IntN(900)) * time.Millisecond)
	}
	w.calm()
	w.settle()
	stop()
	g.Wait()
	w.checkRecovery()
}

// settle lets the time pass in which all must be well again. In its second half,
// when the bound on draining holds for all, a target of each service leaves.
func (w *world) settle() {
	time.Sleep(settleTime / 2)
	left := map[string]bool{}
	for _, v := range w.targets {
		if !left[v.Service] && !v.gone {
			w.leaveTarget(v)
			left[v.Service] = v.gone
		}
	}
	time.Sleep(settleTime / 2)
}

// client sends requests over one kept connection to an instance at a time, until
// that fails.
func (w *world) client(c context.Context, n int, r *rand.Rand) {
	h := &http.Client{Timeout: deadline, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer h.CloseIdleConnections()
	at := w.instances[r.IntN(len(w.instances))]
	for i := 0; c.Err() == nil; i++ {
		if !w.request(h, at, fmt.Sprintf("c%d-%d-%d", n, i, r.Uint32()), r) {
			at = w.instances[r.IntN(len(w.instances))]
		}
		time.Sleep(time.Duration(r.IntN(30)) * time.Millisecond)
	}
}

// request sends a request and checks its answer. It reports whether it was
// served.
func (w *world) request(h *http.Client, at *instance, attempt string, r *rand.Rand) bool {
	service := []string{"quotes", "orders", "terms"}[r.IntN(3)]
	method := http.MethodGet
	if service == "orders" {
		method = http.MethodPost
	}
	q, err := http.NewRequest(method, "http://"+at.ip+":18001/"+service+"/x", strings.NewReader("body"))
	if err != nil {
		w.breaks("%v", err)
		return false
	}
	q.Host = "example"
	q.GetBody = nil
	q.Header.Set(platform.HeaderAttempt, attempt)
	q.Header.Set(platform.HeaderDeadline, fmt.Sprint(deadline.Milliseconds()))
	q.Header.Set(platform.HeaderKey, fmt.Sprint(r.IntN(platform.MaxKey+1)))
	w.mu.Lock()
	w.asked++
	w.mu.Unlock()
	a, err := h.Do(q)
	if err != nil {
		return false
	}
	body := readBody(a)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case a.StatusCode == http.StatusOK:
		w.served++
		if !strings.HasPrefix(body, attempt+" by ") || a.Header.Get(platform.HeaderDigest) != "digest-of-"+attempt {
			w.broken = append(w.broken, fmt.Sprintf("attempt %s was answered with %q", attempt, body))
		}
		return true
	case a.StatusCode == http.StatusServiceUnavailable || a.StatusCode == http.StatusTooManyRequests:
		w.refusals = append(w.refusals, attempt)
	case a.StatusCode == http.StatusNotFound:
		w.broken = append(w.broken, fmt.Sprintf("attempt %s got 404 from %s", attempt, at.id))
	}
	return false
}

// actions are the faults and changes. The first serialActions of them, one after
// the other, are those of the first version of the soak, whose seeds are kept.
const (
	actions       = 15
	serialActions = 12
)

// act injects one fault or change. Those that last run on beside the next ones,
// unless the run is serial.
func (w *world) act() {
	i := w.instances[w.random.IntN(len(w.instances))]
	v := w.targets[w.random.IntN(len(w.targets))]
	n := actions
	if w.serial {
		n = serialActions
	}
	switch w.random.IntN(n) {
	case 0:
		w.note("kill %s", i.id)
		w.stop(i, syscall.SIGKILL)
		w.start(i)
	case 1:
		w.terminate(i)
	case 2:
		w.pause(i)
	case 3:
		w.note("SIGHUP %s", i.id)
		_ = i.cmd.Process.Signal(syscall.SIGHUP)
	case 4, 5:
		w.cut("path of "+i.id+" to the store", i.store)
	case 6:
		f := []fake.Fault{fake.Unavailable, fake.Unresponsive, fake.LoseResponses, fake.Slow}[w.random.IntN(4)]
		w.note("store: fault %d", f)
		w.store.SetFault(f, nil)
		w.during(w.faultTime(), func() { w.store.SetFault(0, nil) })
	case 7:
		w.note("store forgets its history")
		w.store.Compact()
	case 8:
		w.crashTarget(v)
	case 9:
		w.leaveTarget(v)
	case 10:
		w.note("one more target")
		w.addTarget(w.random.IntN(12))
	case 11:
		w.configure()
	case 12, 13:
		w.cut("path of the others to "+i.id, i.door)
	case 14:
		w.cut("path to target "+v.ID, v.door)
	}
}

// terminate stops and starts an instance in good order.
func (w *world) terminate(i *instance) {
	if w.isPaused(i) {
		return
	}
	w.note("SIGTERM %s", i.id)
	w.note("%s ended after %v", i.id, w.stop(i, syscall.SIGTERM))
	w.start(i)
}

// pause stops a process for a while.
func (w *world) pause(i *instance) {
	if w.isPaused(i) {
		return
	}
	d := time.Duration(500+w.random.IntN(3000)) * time.Millisecond
	w.note("pause %s for %v", i.id, d)
	w.setPaused(i, true)
	p := i.cmd.Process
	_ = p.Signal(syscall.SIGSTOP)
	w.during(d, func() {
		_ = p.Signal(syscall.SIGCONT)
		w.setPaused(i, false)
	})
}

func (w *world) isPaused(i *instance) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return i.paused
}

func (w *world) setPaused(i *instance, paused bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	i.paused = paused
}

// cut disturbs a path for a while.
func (w *world) cut(path string, p *proxy.Proxy) {
	f := []proxy.Fault{proxy.Delay, proxy.Reset, proxy.Silence, proxy.OneWay}[w.random.IntN(4)]
	w.note("%s: fault %d", path, f)
	p.Set(f)
	w.during(w.faultTime(), func() { p.Set(proxy.None) })
}

// faultTime returns how long a fault lasts.
func (w *world) faultTime() time.Duration {
	return minFault + time.Duration(w.random.Int64N(int64(maxFault-minFault)))
}

// during undoes a fault after a time, in which the bound on draining does not
// hold.
func (w *world) during(d time.Duration, undo func()) {
	w.ledger.SuspendDrainCheck(d + stableWindow)
	if w.serial {
		time.Sleep(d)
		undo()
		return
	}
	w.undos.Go(func() {
		time.Sleep(d)
		undo()
	})
}

// crashTarget ends a target without notice; its row is removed as by the
// platform.
func (w *world) crashTarget(v *target) {
	if !w.retire(v, "crashes") {
		return
	}
	v.Kill()
	time.Sleep(time.Second)
	w.store.Remove(platform.TableTargets, v.ID)
}

// leaveTarget lets a target leave in good order.
func (w *world) leaveTarget(v *target) {
	if !w.retire(v, "leaves") {
		return
	}
	v.Leave()
	time.AfterFunc(4*time.Second, func() {
		v.Kill()
		w.store.Remove(platform.TableTargets, v.ID)
	})
}

// retire counts a target as gone. It reports false, and leaves the target, if it
// is gone already or its service needs it.
func (w *world) retire(v *target, how string) bool {
	if v.gone || w.count(v.Service) < 3 {
		return false
	}
	w.note("target %s %s", v.ID, how)
	v.gone = true
	return true
}

// count returns the targets of a service that run.
func (w *world) count(service string) int {
	n := 0
	for _, v := range w.targets {
		if v.Service == service && !v.gone {
			n++
		}
	}
	return n
}

// configure puts a configuration in force, with a route that it alone has.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	w.note("configuration %d", w.version)
	route := fmt.Sprintf(`,{"name":"r-%d","host":"example","prefix":"/v%d/","type":"idempotent","timeout":"2500ms","slo":"800ms","priority":1,"service":"terms","attempts":2}`, w.version, w.version)
	w.store.Put(platform.TableDesired, platform.KeyDesired, fake.Configuration(w.version, route))
}

// watch checks that a process that has shown a configuration never shows an
// older one again.
func (w *world) watch(c context.Context, i *instance) {
	h := &http.Client{Timeout: deadline}
	shown, life := 0, 0
	for n := 0; c.Err() == nil; n++ {
		w.mu.Lock()
		version, present := w.version, i.life
		w.mu.Unlock()
		if present != life {
			shown, life = 0, present
		}
		if status, err := w.ask(h, i, version, n); err == nil && status == http.StatusOK {
			shown = max(shown, version)
		}
		time.Sleep(revertSlack)
		status, err := w.ask(h, i, shown-1, n)
		w.mu.Lock()
		same := i.life == life
		w.mu.Unlock()
		if same && shown > 1 && err == nil && status == http.StatusOK {
			w.breaks("instance %s serves a route of configuration %d after one of %d", i.id, shown-1, shown)
		}
	}
}

// ask requests the route that only one configuration has.
func (w *world) ask(h *http.Client, i *instance, version, n int) (int, error) {
	q, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s:18001/v%d/x", i.ip, version), nil)
	if err != nil {
		return 0, err
	}
	q.Host = "example"
	q.Header.Set(platform.HeaderAttempt, fmt.Sprintf("ask-%s-%d-%d", i.id, version, n))
	a, err := h.Do(q)
	if err != nil {
		return 0, err
	}
	readBody(a)
	return a.StatusCode, nil
}

// calm ends all faults.
func (w *world) calm() {
	w.undos.Wait()
	w.note("calm")
	w.store.SetFault(0, nil)
	w.configure()
}

// checkRecovery checks that all instances have the newest configuration in force
// and that requests are served.
func (w *world) checkRecovery() {
	h := &http.Client{Timeout: deadline}
	for _, i := range w.instances {
		w.awaitReady(i)
		status, err := w.ask(h, i, w.version, -1)
		if status == http.StatusBadGateway {
			// Both targets that may be tried have lost their answers.
			status, err = w.ask(h, i, w.version, -2)
		}
		if err != nil || status != http.StatusOK {
			w.breaks("instance %s does not serve the route of configuration %d %v after it: status %d, %v", i.id, w.version, settleTime, status, err)
		}
	}
	served := 0
	r := rand.New(rand.NewPCG(1, 1))
	for n := range calmRequests {
		if w.request(h, w.instances[n%len(w.instances)], fmt.Sprintf("calm-%d", n), r) {
			served++
		}
	}
	if float64(served) < calmServed*calmRequests {
		w.breaks("%d of %d requests are served after the faults", served, calmRequests)
	}
}
