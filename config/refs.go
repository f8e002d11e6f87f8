package config

import (
	"slices"
	"strings"

	"dandelionrock.example/dandelionrock/schema"
)

// references checks that a list names only known services, each once. The keys of
// services are the known names.
func (c *checker) references(p path, k string, names []string, services map[string]int) {
	seen := map[string]int{}
	for i, n := range names {
		q := p.index(i)
		if !c.hasValue(q) {
			continue
		}
		unique(c, seen, n, q, "%s lists %q twice", k, n)
		if _, ok := services[n]; !ok {
			c.fault(q, "%s names the unknown service %q", k, n)
		}
	}
}

// dependencies checks that the services in all depends-on lists exist and that the
// dependencies have no cycle. A cycle is reported at the element that closes it.
func (c *checker) dependencies(services []*schema.Service) {
	const visiting, visited = 1, 2
	position, lines, state := map[string]int{}, map[string]int{}, map[string]int{}
	p := path("").key("services")
	for i, s := range services {
		if _, ok := position[s.GetName()]; !ok {
			position[s.GetName()], lines[s.GetName()] = i, 0
		}
	}
	for i, s := range services {
		c.references(p.index(i).key("depends-on"), "depends-on", s.GetDependsOn(), lines)
	}
	var visit func(n string, chain []string)
	visit = func(n string, chain []string) {
		chain, state[n] = append(chain, n), visiting
		for j, d := range services[position[n]].GetDependsOn() {
			if _, ok := position[d]; !ok || state[d] == visited {
				continue
			}
			if state[d] != visiting {
				visit(d, chain)
				continue
			}
			l := append(slices.Clone(chain[slices.Index(chain, d):]), d)
			c.fault(p.index(position[n]).key("depends-on").index(j), "depends-on is cyclic: %s", strings.Join(l, " -> "))
		}
		state[n] = visited
	}
	for _, s := range services {
		if state[s.GetName()] == 0 {
			visit(s.GetName(), nil)
		}
	}
}
