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

// kill ends the victims with SIGKILL. Upstreams that share a process close all
// connections instead, so that their counts of runs survive.
func (c *gapsCommand) kill(l loss) error {
	p := slicesOf(l.instances)
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

func slicesOf(l []string) []string { return append([]string(nil), l...) }

// victims returns the upstreams of a loss.
func (c *gapsCommand) victims(l loss) []upstream {
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

// killProcess ends a process by the id that the script has recorded.
func (c *gapsCommand) killProcess(name string) error {
	n, err := processID(c.Dir, name)
	if err != nil {
		return err
	}
	return syscall.Kill(n, syscall.SIGKILL)
}

// revive asks the script to start the victims again and ends their faults.
func (c *gapsCommand) revive(l loss) error {
	p := slicesOf(l.instances)
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

// setFaults changes the faults of an upstream of a group.
func setFaults(u upstream, text string) error {
	k := http.Client{Timeout: 2 * time.Second}
	r, err := k.Post("http://"+at(controlPort)+"/upstreams/"+u.Name+"/faults", "application/json", strings.NewReader(text))
	if err != nil {
		return err
	}
	defer func() { _ = r.Body.Close() }()
	if r.StatusCode >= 300 {
		return errors.Newf("faults of %s: status %d", u.Name, r.StatusCode)
	}
	return nil
}
