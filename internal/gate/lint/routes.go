package lint

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"dandelionrock.example/dandelionrock/internal/gate/match"
	"dandelionrock.example/dandelionrock/internal/plan/realm"
	"dandelionrock.example/dandelionrock/platform"
)

func (c *checker) checkRoutes() {
	if len(c.config.Routes) == 0 {
		c.add(Warning, platform.PlaceWhole, "", "it has no routes; all requests are refused")
	}
	names := map[string]bool{}
	for i := range c.config.Routes {
		r := &c.config.Routes[i]
		if names[r.Name] {
			c.add(Warning, r.Place(), "", "an earlier route has this name; the two share their counts and measured times")
		}
		names[r.Name] = true
		c.checkMatch(r)
		c.checkTimes(r)
		c.checkSplit(r)
		c.checkHomes(r)
	}
}

// checkMatch checks that there are requests for a route. If the shortest path with its
// prefix goes to another route, all of them do.
func (c *checker) checkMatch(r *platform.Route) {
	if r.Host == "" {
		c.add(Error, r.Place(), platform.FieldHost, "is missing; clients name a host in each request")
	}
	shortest := cmp.Or(r.Prefix, "/")
	switch best := match.Route(c.config.Routes, r.Host, shortest); {
	case !strings.HasPrefix(shortest, "/"):
		c.add(Warning, r.Place(), platform.FieldPrefix, "%q never matches: it does not begin with a slash", r.Prefix)
	case best == nil || len(best.Prefix) < len(r.Prefix):
		c.add(Warning, r.Place(), platform.FieldPrefix, "%q never matches: it is not a path", r.Prefix)
	case best != r:
		c.add(Warning, r.Place(), platform.FieldPrefix, "%q never matches: %s gets all requests for it", r.Prefix, best.Place())
	case !strings.HasSuffix(shortest, "/"):
		c.add(Warning, r.Place(), platform.FieldPrefix, "%q does not end with a slash, and matches within a segment of a path", r.Prefix)
	}
}

// checkTimes checks the limits of a route against each other.
func (c *checker) checkTimes(r *platform.Route) {
	switch {
	case r.Timeout <= 0:
		c.add(Error, r.Place(), platform.FieldTimeout, "%v leaves requests no time", r.Timeout)
	case r.Objective > r.Timeout:
		c.add(Warning, r.Place(), platform.FieldObjective, "%v is above %s %v", r.Objective, platform.FieldTimeout, r.Timeout)
	case r.Objective > 0 && time.Duration(r.Attempts-1) > (r.Timeout-1)/r.Objective:
		c.add(Warning, r.Place(), platform.FieldAttempts, "%d don't fit into %s %v if each takes %s %v", r.Attempts, platform.FieldTimeout, r.Timeout, platform.FieldObjective, r.Objective)
	}
	if r.Objective < 0 {
		c.add(Error, r.Place(), platform.FieldObjective, "%v is negative and ignored", r.Objective)
	}
	if r.Priority < 0 {
		c.add(Error, r.Place(), platform.FieldPriority, "%d is negative; 0 is the highest", r.Priority)
	}
	for _, i := range c.known.Instances {
		if r.Attempts > 1 && i.RetryRatio == 0 && i.RetryAllowance == 0 {
			c.add(Warning, r.Place(), platform.FieldAttempts, "%d are never made: the retry budget of instance %s is empty", r.Attempts, i.Instance)
		}
	}
}

// checkSplit checks the services of a route.
func (c *checker) checkSplit(r *platform.Route) {
	weighted := slices.ContainsFunc(r.Split, func(s platform.WeightedService) bool { return s.Weight > 0 })
	if !weighted {
		c.add(Warning, r.Place(), platform.FieldSplit, "no weight is above 0; service %q gets all requests", r.Split[0].Service)
	}
	for _, s := range r.Split {
		switch {
		case s.Weight < 0:
			c.add(Error, r.Place(), platform.FieldSplit, "weight %d of service %q is negative", s.Weight, s.Service)
		case s.Weight == 0 && weighted:
			c.add(Warning, r.Place(), platform.FieldSplit, "service %q gets no requests: its weight is 0", s.Service)
		}
		if n := len(c.targets(s.Service)); n > 0 && r.Attempts > n && !c.config.Services[s.Service].Keyed {
			c.add(Warning, r.Place(), platform.FieldAttempts, "%d exceed the number of targets of service %q, %d, each of which gets a request once", r.Attempts, s.Service, n)
		}
	}
}

// checkHomes checks that the regions to which a route is bound exist, and have targets.
func (c *checker) checkHomes(r *platform.Route) {
	if len(c.regions) == 0 || len(r.Homes) == 0 {
		return
	}
	for _, h := range r.Homes {
		known := false
		for _, v := range c.regions {
			known = known || v == h
		}
		if !known {
			c.add(Warning, r.Place(), platform.FieldHomes, "region %q is not in the settings of the instances", h)
		}
	}
	homes := realm.Of(r.Homes)
	for _, s := range r.Split {
		ts := c.targets(s.Service)
		if len(ts) > 0 && !slices.ContainsFunc(ts, func(t platform.Target) bool { return homes.Holds(c.regions[t.FailureDomain]) }) {
			c.add(Warning, r.Place(), platform.FieldHomes, "service %q has no targets in %s; its requests are refused", s.Service, strings.Join(r.Homes, ", "))
		}
	}
}

// targets returns the known targets of a service.
func (c *checker) targets(service string) []platform.Target {
	var ts []platform.Target
	for _, t := range c.known.Targets {
		if t.Service == service && t.Open() {
			ts = append(ts, t)
		}
	}
	return ts
}
