package router

import (
	"net/http"
	"slices"
	"testing"

	"dandelionrock.example/dandelionrock/internal/gate/fleet"
)

// Guards against requests that a report leaves out or counts twice, and against limits of
// targets that it doesn't show.
func TestReportOfServices(t *testing.T) {
	const rate, requests = 50, 24
	s := newServing(t)
	for _, v := range s.targets {
		v.SetLimit(rate)
	}
	before := total(s.mustReport(), "terms")
	for i := range requests {
		s.call(i%3, http.MethodGet, "terms", i)
	}
	s.awaitReport(0, "all requests are counted", func(r fleet.Report) bool { return total(r, "terms")-before == requests })
	s.awaitReport(1, "a limited target is shown", func(r fleet.Report) bool {
		return slices.ContainsFunc(r.Services, func(v fleet.Service) bool {
			return v.Name == "terms" && slices.ContainsFunc(v.Reduced, func(n fleet.Target) bool {
				return n.Reason == "target-limit" && n.Limit != nil && *n.Limit == rate && n.Home != ""
			})
		})
	})
}

func (s *system) mustReport() fleet.Report {
	s.t.Helper()
	r, err := s.report(0)
	if err != nil {
		s.t.Fatal(err)
	}
	return r
}

// total returns the number of requests for a service.
func total(r fleet.Report, service string) uint64 {
	var n uint64
	for _, v := range r.Services {
		if v.Name == service {
			n += v.Answered + v.Late
			for _, u := range v.Unserved {
				n += u
			}
		}
	}
	return n
}
