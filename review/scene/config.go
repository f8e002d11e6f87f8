package main

import (
	"fmt"
	"strings"

	"dandelionrock.example/dandelionrock/platform"
)

// route is a route of the desired state.
type route struct {
	name, prefix, kind, service string
	timeout                     string
}

// configure writes a desired state as the operator does. Service names that begin with
// "quotes" are divided by key.
func (s *scene) configure(version int, services []string, routes ...route) {
	var rs, ss []string
	for _, n := range services {
		sharded := ""
		if strings.HasPrefix(n, "quotes") {
			sharded = `,"sharded":true,"warm":"2s","grants":"rpc"`
		}
		ss = append(ss, fmt.Sprintf(`{"name":"%s","health-path":"/healthz","max-conns":130,"protocol":"h1","tls":false%s}`, n, sharded))
	}
	for _, r := range routes {
		rs = append(rs, fmt.Sprintf(`{"name":"%s","host":"example","prefix":"%s","type":"%s","timeout":"%s","slo":"800ms","priority":1,"service":"%s","attempts":2}`,
			r.name, r.prefix, r.kind, r.timeout, r.service))
	}
	text := fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout":"3000ms","idle-timeout":"15000ms"}}`,
		version, strings.Join(rs, ","), strings.Join(ss, ","))
	s.store.Put(platform.TableDesired, platform.KeyDesired, []byte(text))
	s.logf("the operator's desired state %d is confirmed", version)
}
