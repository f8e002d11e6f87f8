package lint

import (
	"slices"
	"strings"

	"dandelionrock.example/dandelionrock/internal/gate/depot"
	"dandelionrock.example/dandelionrock/internal/plan/realm"
	"dandelionrock.example/dandelionrock/platform"
)

func (c *checker) checkService(s platform.Service) {
	homes, named := c.homesOf(s.Name)
	ts := c.targets(s.Name)
	if !named {
		c.add(Warning, s.Place(), "", "no route names it")
	}
	if c.known.Targets != nil && len(ts) == 0 {
		c.add(Warning, s.Place(), "", "it has no targets")
	}
	if s.MaxConns < 0 {
		c.add(Error, s.Place(), platform.FieldMaxConns, "%d is negative", s.MaxConns)
	}
	if i := slices.IndexFunc(ts, func(t platform.Target) bool { return s.MaxConns > 0 && t.Slots > s.MaxConns }); i >= 0 {
		c.add(Warning, s.Place(), platform.FieldMaxConns, "%d is below the %d slots of target %q", s.MaxConns, ts[i].Slots, ts[i].ID)
	}
	if s.WarmupRate > 0 && s.HealthPath == "" {
		c.add(Warning, s.Place(), platform.FieldWarmupRate, "without %s, instances learn late that a target is cold, and exceed the rate", platform.FieldHealthPath)
	}
	if s.HealthPath != "" && !strings.HasPrefix(s.HealthPath, "/") {
		c.add(Warning, s.Place(), platform.FieldHealthPath, "%q does not begin with a slash", s.HealthPath)
	}
	if all := slices.Concat(homes...); s.Keyed && len(all) > 0 && !slices.ContainsFunc(all, realm.Of(homes...).Holds) {
		c.add(Warning, s.Place(), "", "its routes have no region of %s in common; each key is owned in one region, and requests of the other routes for it are refused", platform.FieldHomes)
	}
}

// homesOf returns the home regions of each route that may send requests to a service, and
// whether there is such a route.
func (c *checker) homesOf(service string) (homes [][]string, named bool) {
	for _, r := range c.config.Routes {
		if slices.ContainsFunc(r.Split, func(s platform.WeightedService) bool { return s.Service == service }) {
			homes, named = append(homes, r.Homes), true
		}
	}
	return homes, named
}

// checkLimits checks the limits of clients against those of the instances.
func (c *checker) checkLimits() {
	l := c.config.Limits
	for _, f := range []struct {
		field string
		value int64
	}{
		{platform.FieldMaxHeader, l.MaxHeader},
		{platform.FieldMaxBody, l.MaxBody},
		{platform.FieldHeaderTimeout, int64(l.HeaderTimeout)},
		{platform.FieldIdleTimeout, int64(l.IdleTimeout)},
	} {
		if f.value < 0 {
			c.add(Error, platform.PlaceLimits, f.field, "is negative and ignored")
		}
	}
	longest := depot.MaxBody(l.MaxBody)
	for _, i := range c.known.Instances {
		if n := depot.Capacity(i.Memory); n < longest {
			c.add(Warning, platform.PlaceLimits, platform.FieldMaxBody, "%d bytes are permitted; instance %s refuses bodies of more than %d", longest, i.Instance, n)
		}
	}
}
