package main

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// kill kills the victims with SIGKILL. Upstreams that share a process close all
// connections instead, so that the process keeps its counts of executions.
func (c *gapsCommand) kill(l failure) error {
	p := cloneStrings(l.instances)
	for _, u := range c.victims(l) {
		if u.Process != u.Name {
			if err := setFaults(u, `{"outage":true,"restart":true}`); err != nil {
				return err
			}
			continue
		}
		p = append(p, u.Process)
	}
	for _, n := range p {
		if err := c.killProcess(n); err != nil {
			return err
		}
	}
	return nil
}

func cloneStrings(l []string) []string { return append([]string(nil), l...) }

// victims returns the upstreams of a failure.
func (c *gapsCommand) victims(l failure) []upstream {
	var r []upstream
	for _, s := range c.layout.Services {
		for _, u := range s.Upstreams {
			for _, n := range l.upstreams {
				if n == u.Name {
					r = append(r, u)
				}
			}
		}
	}
	return r
}

// killProcess kills a process by the id that the script has recorded.
func (c *gapsCommand) killProcess(name string) error {
	n, err := processID(c.Dir, name)
	if err != nil {
		return err
	}
	return syscall.Kill(n, syscall.SIGKILL)
}

// restore requests the script to start the killed processes again, and clears
// the faults of upstreams that share a process.
func (c *gapsCommand) restore(l failure) error {
	p := cloneStrings(l.instances)
	for _, u := range c.victims(l) {
		if u.Process != u.Name {
			if err := setFaults(u, `{"outage":false,"restart":true}`); err != nil {
				return err
			}
			continue
		}
		p = append(p, u.Process)
	}
	for _, n := range p {
		if err := os.WriteFile(filepath.Join(c.Dir, "restart", n), nil, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// setFaults changes the faults of an upstream that shares a process with others.
func setFaults(u upstream, text string) error {
	k := http.Client{Timeout: 2 * time.Second}
	r, err := k.Post("http://"+loopbackAddress(controlPort)+"/upstreams/"+u.Name+"/faults", "application/json", strings.NewReader(text))
	if err != nil {
		return err
	}
	defer func() { _ = r.Body.Close() }()
	if r.StatusCode >= 300 {
		return errors.Newf("faults of %s: status %d", u.Name, r.StatusCode)
	}
	return nil
}
