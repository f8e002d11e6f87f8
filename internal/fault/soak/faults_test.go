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
	// settleTime is the time after the last fault within which the system must
	// have recovered: it covers the bounds on discovery, ownership and recovery.
	settleTime = 8 * time.Second
	// recoveryRequests is the number of requests sent after settleTime, and
	// minServedShare the share of them that must be served.
	recoveryRequests = 120
	minServedShare   = 0.95
	// revertSlack is the time after an instance has served a configuration from
	// which it must not serve an older one.
	revertSlack = 250 * time.Millisecond
	// minFault and maxFault bound how long faults of the store and of paths last.
	minFault = 300 * time.Millisecond
	maxFault = 2800 * time.Millisecond
	// stableWindow is the time after the end of a fault in which the bound on
	// draining does not yet apply to the affected instances.
	stableWindow = 3 * time.Second
	// deadline is the deadline of the clients' requests.
	deadline = 3 * time.Second
)

// execute sends load, injects faults during faultPhase and checks the recovery.
func (s *soakRun) execute(faultPhase time.Duration) {
	c, stop := context.WithCancel(context.Background())
	var g sync.WaitGroup
	for n := range clients {
		r := rand.New(rand.NewPCG(s.random.Uint64(), uint64(n)))
		g.Go(func() { s.client(c, n, r) })
	}
	for _, i := range s.instances {
		g.Go(func() { s.checkVersions(c, i) })
	}
	for end := time.Now().Add(faultPhase); time.Now().Before(end); {
		s.performAction()
		time.Sleep(time.Duration(s.random.IntN(900)) * time.Millisecond)
	}
	s.endFaults()
	s.settleEvacuated()
	stop()
	g.Wait()
	s.checkRecovery()
	s.checkLapse()
}

// settle waits for settleTime. Halfway, when the bound on draining applies to all
// instances again, it drains one target of each service.
func (s *soakRun) settle() {
	time.Sleep(settleTime / 2)
	drained := map[string]bool{}
	for _, v := range s.targets {
		if !drained[v.Service] && !v.retired {
			s.drainTarget(v)
			drained[v.Service] = v.retired
		}
	}
	time.Sleep(settleTime / 2)
}

// client sends one request after the other over a kept-alive connection to an
// instance, and picks a random instance after a request that was not served.
func (s *soakRun) client(c context.Context, n int, r *rand.Rand) {
	h := &http.Client{Timeout: deadline, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer h.CloseIdleConnections()
	entry := s.instances[r.IntN(len(s.instances))]
	for i := 0; c.Err() == nil; i++ {
		if !s.request(h, entry, fmt.Sprintf("c%d-%d-%d", n, i, r.Uint32()), r) {
			entry = s.instances[r.IntN(len(s.instances))]
		}
		time.Sleep(time.Duration(r.IntN(30)) * time.Millisecond)
	}
}

// request sends a request and checks its response. It reports whether the
// request was served.
func (s *soakRun) request(h *http.Client, entry *instance, attempt string, r *rand.Rand) bool {
	service := []string{"quotes", "orders", "terms"}[r.IntN(3)]
	method := http.MethodGet
	if service == "orders" {
		method = http.MethodPost
	}
	q, err := http.NewRequest(method, "http://"+entry.ip+":18001/"+service+"/x", strings.NewReader("body"))
	if err != nil {
		s.addViolation("%v", err)
		return false
	}
	q.Host = "example"
	q.GetBody = nil
	q.Header.Set(platform.HeaderAttempt, attempt)
	q.Header.Set(platform.HeaderDeadline, fmt.Sprint(deadline.Milliseconds()))
	q.Header.Set(platform.HeaderKey, fmt.Sprint(r.IntN(platform.MaxKey+1)))
	s.mu.Lock()
	s.sent++
	s.mu.Unlock()
	a, err := h.Do(q)
	if err != nil {
		return false
	}
	body := readBody(a)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case a.StatusCode == http.StatusOK:
		s.served++
		if !strings.HasPrefix(body, attempt+" by ") || a.Header.Get(platform.HeaderDigest) != "digest-of-"+attempt {
			s.violations = append(s.violations, fmt.Sprintf("attempt %s was answered with %q", attempt, body))
		}
		return true
	case a.StatusCode == http.StatusServiceUnavailable || a.StatusCode == http.StatusTooManyRequests:
		s.refusals = append(s.refusals, attempt)
	case a.StatusCode == http.StatusNotFound:
		s.violations = append(s.violations, fmt.Sprintf("attempt %s got 404 from %s", attempt, entry.id))
	}
	return false
}

// actionCount is the number of kinds of actions, which are faults and changes.
const actionCount = 23

// performAction performs one random action. A fault that lasts overlaps with the
// next actions, unless the run is serial.
func (s *soakRun) performAction() {
	i := s.instances[s.random.IntN(len(s.instances))]
	v := s.targets[s.random.IntN(len(s.targets))]
	s.backups = append(s.backups, s.store.Backup())
	switch s.random.IntN(s.kinds) {
	case 0:
		s.logAction("kill %s", i.id)
		s.stop(i, syscall.SIGKILL)
		s.start(i)
	case 1:
		s.terminate(i)
	case 2:
		s.pause(i)
	case 3:
		s.logAction("SIGHUP %s", i.id)
		_ = i.cmd.Process.Signal(syscall.SIGHUP)
	case 4, 5:
		s.injectPathFault("path of "+i.id+" to the store", i.storeProxy)
	case 6:
		f := []fake.Fault{fake.Unavailable, fake.Unresponsive, fake.LoseResponses, fake.Slow}[s.random.IntN(4)]
		s.logAction("store: fault %d", f)
		s.store.SetFault(f, nil)
		s.undoAfter(s.randomFaultTime(), func() { s.store.SetFault(0, nil) })
	case 7:
		s.logAction("store: compaction")
		s.store.Compact()
	case 8:
		s.crashTarget(v)
	case 9:
		s.drainTarget(v)
	case 10:
		s.logAction("add a target")
		s.addTarget(s.random.IntN(12))
	case 11:
		s.configure()
	case 12, 13:
		s.injectPathFault("path of the other instances to "+i.id, i.peerProxy)
	case 14:
		s.injectPathFault("path to target "+v.ID, v.proxy)
	case 15:
		s.restoreStore()
	case 16:
		s.limitTarget(v)
	case 17:
		s.tellLeaving(v)
	case 18:
		s.denyStore()
	case 19:
		s.severPeers()
	case 20:
		s.restartLeaving(v)
	case 21:
		s.evacuate(minFault + time.Duration(s.random.Int64N(int64(7*time.Second))))
	case 22:
		s.turnCold()
	}
}

// terminate ends an instance with SIGTERM and starts it again.
func (s *soakRun) terminate(i *instance) {
	if s.isPaused(i) {
		return
	}
	s.logAction("SIGTERM %s", i.id)
	s.logAction("%s ended after %v", i.id, s.stop(i, syscall.SIGTERM))
	s.start(i)
}

// pause stops a process with SIGSTOP for a random time.
func (s *soakRun) pause(i *instance) {
	if s.isPaused(i) {
		return
	}
	d := time.Duration(500+s.random.IntN(3000)) * time.Millisecond
	s.logAction("pause %s for %v", i.id, d)
	s.setPaused(i, true)
	p := i.cmd.Process
	_ = p.Signal(syscall.SIGSTOP)
	s.undoAfter(d, func() {
		_ = p.Signal(syscall.SIGCONT)
		s.setPaused(i, false)
	})
}

func (s *soakRun) isPaused(i *instance) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return i.paused
}

func (s *soakRun) setPaused(i *instance, paused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i.paused = paused
}

// injectPathFault sets a random fault of a proxy for a random time.
func (s *soakRun) injectPathFault(path string, p *proxy.Proxy) {
	f := []proxy.Fault{proxy.Delay, proxy.Reset, proxy.Silence, proxy.OneWay}[s.random.IntN(4)]
	s.logAction("%s: fault %d", path, f)
	p.Set(f)
	s.undoAfter(s.randomFaultTime(), func() { p.Set(proxy.None) })
}

// randomFaultTime returns a time between minFault and maxFault.
func (s *soakRun) randomFaultTime() time.Duration {
	return minFault + time.Duration(s.random.Int64N(int64(maxFault-minFault)))
}

// undoAfter undoes a fault after d. It suspends the check of draining until
// stableWindow after that.
func (s *soakRun) undoAfter(d time.Duration, undo func()) {
	s.ledger.SuspendDrainCheck(d + stableWindow)
	s.after(d, undo)
}

// after calls f after d: in the background, unless the run is serial.
func (s *soakRun) after(d time.Duration, f func()) {
	if s.serial {
		time.Sleep(d)
		f()
		return
	}
	s.pendingUndos.Go(func() {
		time.Sleep(d)
		f()
	})
}

// crashTarget ends a target without draining it. Its row is removed a second
// later, as by the platform.
func (s *soakRun) crashTarget(v *target) {
	if !s.markRetired(v, "crashes") {
		return
	}
	v.Kill()
	time.Sleep(time.Second)
	s.store.Remove(platform.TableTargets, v.ID)
}

// drainTarget makes a target announce that it drains, and ends it 4 s later.
func (s *soakRun) drainTarget(v *target) { s.retire(v, "leaves", v.Leave) }

// tellLeaving is like drainTarget, but the target says so only in its responses.
func (s *soakRun) tellLeaving(v *target) {
	s.retire(v, "says in its responses that it leaves", v.LeaveInResponses)
}

// retire makes a target leave, and ends it 4 s later.
func (s *soakRun) retire(v *target, how string, leave func()) {
	if !s.markRetired(v, how) {
		return
	}
	leave()
	time.AfterFunc(4*time.Second, func() {
		v.Kill()
		s.store.Remove(platform.TableTargets, v.ID)
	})
}

// severPeers silences all open connections between instances for good.
func (s *soakRun) severPeers() {
	s.logAction("the connections between instances go silent")
	s.ledger.SuspendDrainCheck(stableWindow)
	for _, i := range s.instances {
		i.peerProxy.Sever()
	}
}

// restartLeaving drains a target, which crashes and starts again under its id, still to
// leave.
func (s *soakRun) restartLeaving(v *target) {
	if !s.markRetired(v, "leaves, crashes and starts again") {
		return
	}
	v.Leave()
	time.Sleep(100 * time.Millisecond)
	v.Kill()
	time.Sleep(time.Duration(s.random.IntN(1500)) * time.Millisecond)
	n, err := v.Restart()
	if err != nil {
		s.addViolation("target %s can't be started again: %v", v.ID, err)
		return
	}
	n.Leave()
	time.AfterFunc(4*time.Second, func() {
		n.Kill()
		s.store.Remove(platform.TableTargets, n.ID)
	})
}

// denyStore makes the store unreachable for a random half of the instances.
func (s *soakRun) denyStore() {
	f := []proxy.Fault{proxy.Reset, proxy.Silence}[s.random.IntN(2)]
	d := s.randomFaultTime()
	var denied []*proxy.Proxy
	for _, n := range s.random.Perm(len(s.instances))[:(len(s.instances)+1)/2] {
		i := s.instances[n]
		s.logAction("path of %s to the store: fault %d", i.id, f)
		i.storeProxy.Set(f)
		denied = append(denied, i.storeProxy)
	}
	s.undoAfter(d, func() {
		for _, p := range denied {
			p.Set(proxy.None)
		}
	})
}

// markRetired marks a target as retired. It reports false and changes nothing if
// the target is retired already or its service has fewer than 3 running targets.
func (s *soakRun) markRetired(v *target, how string) bool {
	if v.retired || s.runningTargets(v.Service) < 3 {
		return false
	}
	s.logAction("target %s %s", v.ID, how)
	v.retired = true
	return true
}

// runningTargets returns the number of targets of a service that are not retired.
func (s *soakRun) runningTargets(service string) int {
	n := 0
	for _, v := range s.targets {
		if v.Service == service && !v.retired {
			n++
		}
	}
	return n
}

// configure stores a new version of the configuration, with a route that no other
// version has.
func (s *soakRun) configure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.logAction("configuration %d", s.version)
	route := fmt.Sprintf(`,{"name":"r-%d","host":"example","prefix":"/v%d/","type":"idempotent","timeout":"2500ms","slo":"800ms","priority":1,"service":"terms","attempts":2}`, s.version, s.version)
	s.store.Put(platform.TableDesired, platform.KeyDesired, fake.Configuration(s.version, route))
}

// checkVersions checks that a process that has served a configuration does not
// serve an older one later.
func (s *soakRun) checkVersions(c context.Context, i *instance) {
	h := &http.Client{Timeout: deadline}
	seen, starts := 0, 0
	for n := 0; c.Err() == nil; n++ {
		s.mu.Lock()
		version, current := s.version, i.starts
		s.mu.Unlock()
		if current != starts {
			seen, starts = 0, current
		}
		if status, err := s.requestVersion(h, i, version, n); err == nil && status == http.StatusOK {
			seen = max(seen, version)
		}
		time.Sleep(revertSlack)
		status, err := s.requestVersion(h, i, seen-1, n)
		s.mu.Lock()
		same := i.starts == starts
		s.mu.Unlock()
		if same && seen > 1 && err == nil && status == http.StatusOK {
			s.addViolation("instance %s serves a route of configuration %d after one of %d", i.id, seen-1, seen)
		}
	}
}

// requestVersion requests the route that only this version of the configuration
// has, and returns the status.
func (s *soakRun) requestVersion(h *http.Client, i *instance, version, n int) (int, error) {
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

// endFaults waits until all faults are undone, and stores a new configuration for
// checkRecovery.
func (s *soakRun) endFaults() {
	s.pendingUndos.Wait()
	s.logAction("end of all faults")
	s.store.SetFault(0, nil)
	s.configure()
}

// checkRecovery checks that all instances serve the newest configuration and that
// enough requests are served.
func (s *soakRun) checkRecovery() {
	h := &http.Client{Timeout: deadline}
	for _, i := range s.instances {
		s.awaitReady(i)
		status, err := s.requestVersion(h, i, s.version, -1)
		if status == http.StatusBadGateway {
			// Both targets that were tried lost their responses (lostResponseShare).
			status, err = s.requestVersion(h, i, s.version, -2)
		}
		if err != nil || status != http.StatusOK {
			s.addViolation("instance %s does not serve the route of configuration %d %v after it was stored: status %d, %v", i.id, s.version, settleTime, status, err)
		}
	}
	served := 0
	r := rand.New(rand.NewPCG(1, 1))
	for n := range recoveryRequests {
		if s.request(h, s.instances[n%len(s.instances)], fmt.Sprintf("calm-%d", n), r) {
			served++
		}
	}
	if float64(served) < minServedShare*recoveryRequests {
		s.addViolation("%d of %d requests were served after the faults", served, recoveryRequests)
	}
}
