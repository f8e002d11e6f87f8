package admin

import (
	"strings"

	"dandelionrock.example/dandelionrock/event"
)

// only returns the part of a status that concerns an organisation. Organisations
// share instances without knowing one another.
func (s Status) only(organisation string) Status {
	s.ConfigVersions = onlyVersion(s.ConfigVersions, organisation)
	peers := make([]Peer, 0, len(s.Peers))
	for _, p := range s.Peers {
		p.ConfigVersions = onlyVersion(p.ConfigVersions, organisation)
		peers = append(peers, p)
	}
	homes := make([]Home, 0, len(s.Homes))
	for _, h := range s.Homes {
		if h.Organisation == organisation {
			homes = append(homes, h)
		}
	}
	s.Peers, s.Homes = peers, homes
	return s
}

func onlyVersion(m map[string]uint64, organisation string) map[string]uint64 {
	r := make(map[string]uint64, 1)
	if v, ok := m[organisation]; ok {
		r[organisation] = v
	}
	return r
}

// onlyEvents returns the events that concern an organisation, or none.
func onlyEvents(l []event.Event, organisation string) []event.Event {
	r := make([]event.Event, 0, len(l))
	for _, e := range l {
		if o := organisationOf(e.Subject); o == "" || o == organisation {
			r = append(r, e)
		}
	}
	return r
}

// organisationOf returns the organisation in the subject of an event: a table
// key such as "home/guild/quotes/quote-01", a service such as "guild/quotes", or
// the id of an instance, which belongs to no organisation.
func organisationOf(subject string) string {
	p := strings.Split(subject, "/")
	if len(p) == 1 {
		return ""
	}
	switch p[0] {
	case "home", "block", "config":
		return p[1]
	}
	return p[0]
}
