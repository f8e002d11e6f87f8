package config

import (
	"slices"
	"strings"

	"dandelionrock.example/dandelionrock/schema"
)

// references checks a list of service names.
func (c *checker) references(p path, k string, names []string, services map[string]int) {
	seen := map[string]int{}
	for i, n := range names {
		q := p.index(i)
		if !c.stated(q) {
			continue
		}
		unique(c, seen, n, q, "%s lists %q twice", k, n)
		if _, ok := services[n]; !ok {
			c.fault(q, "%s names the unknown service %q", k, n)
		}
	}
}

// dependencies checks that every dependency exists and that none is cyclic.
// Each cycle is reported where it closes.
func (c *checker) dependencies(services []*schema.Service) {
	const entered, done = 1, 2
	at, lines, state := map[string]int{}, map[string]int{}, map[string]int{}
	p := path("").key("services")
	for i, s := range services {
		if _, ok := at[s.GetName()]; !ok {
			at[s.GetName()], lines[s.GetName()] = i, 0
		}
	}
	for i, s := range services {
		c.references(p.index(i).key("depends-on"), "depends-on", s.GetDependsOn(), lines)
	}
	var visit func(n string, chain []string)
	visit = func(n string, chain []string) {
		chain, state[n] = append(chain, n), entered
		for j, d := range services[at[n]].GetDependsOn() {
			if _, ok := at[d]; !ok || state[d] == done {
				continue
			}
			if state[d] != entered {
				visit(d, chain)
				continue
			}
			l := append(slices.Clone(chain[slices.Index(chain, d):]), d)
			c.fault(p.index(at[n]).key("depends-on").index(j), "depends-on is cyclic: %s", strings.Join(l, " -> "))
		}
		state[n] = done
	}
	for _, s := range services {
		if state[s.GetName()] == 0 {
			visit(s.GetName(), nil)
		}
	}
}
