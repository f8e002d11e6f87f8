package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionrock.example/dandelionrock/internal/header"
)

const (
	// restartTime is the time from the end of an upstream until it is started
	// again.
	restartTime = 10 * time.Second
	// restartKeys is the number of keys whose owners are compared.
	restartKeys    = 1024
	restartWorkers = 32
	// restartEvacuateAfter is evacuate-after of the services of the cooperative.
	restartEvacuateAfter = "15s"
)

// restart kills an upstream of the last service, has it started again after
// restartTime and compares the owners of keys before and after.
func (c *gapsCommand) restart(x context.Context) error {
	if c.Figures != "" && !strings.Contains(c.Figures, "churn-restart-share") {
		return nil
	}
	s := c.layout.Services[len(c.layout.Services)-1]
	l := failure{kind: "restart", upstreams: []string{s.Upstreams[c.random.IntN(len(s.Upstreams))].Name}}
	before, err := c.keyOwners(s.Name)
	if err != nil {
		return err
	}
	if err := c.kill(l); err != nil {
		return err
	}
	time.Sleep(restartTime)
	if err := c.restore(l); err != nil {
		return err
	}
	time.Sleep(settleTime)
	y, f := context.WithTimeout(x, recoveryLimit)
	defer f()
	if err := c.layout.waitServed(y); err != nil {
		return err
	}
	after, err := c.keyOwners(s.Name)
	if err != nil {
		return err
	}
	n := 0
	for _, o := range before {
		if o == l.upstreams[0] {
			n++
		}
	}
	newPrinter(c.common).print("churn-restart-share", movedShare(before, after), "share of keys",
		fmt.Sprintf("%d keys, of which the upstream that was killed owned %d; it ran again after %s; evacuate-after %s",
			restartKeys, n, restartTime, restartEvacuateAfter))
	return nil
}

// keyOwners returns the upstream that answers requests for each key.
func (c *gapsCommand) keyOwners(service string) ([]string, error) {
	l, e := make([]string, restartKeys), make([]error, restartWorkers)
	var g sync.WaitGroup
	for w := range restartWorkers {
		g.Go(func() {
			for i := w; i < restartKeys; i += restartWorkers {
				r := c.probes.balancer.do(lookup(service, i, w, i))
				if r.outcome != header.Answered {
					e[w] = errors.Newf("lookup of key %d is %s %s", i, r.outcome, r.reason)
				}
				l[i] = r.upstream
			}
		})
	}
	g.Wait()
	return l, errors.Join(e...)
}
