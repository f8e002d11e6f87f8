package admin

import (
	"strings"

	"dandelionrock.example/dandelionrock/event"
)

// visibleTo returns the part of a status that operators of an organisation may
// see. Organisations share instances, but must not learn of one another.
func (s Status) visibleTo(organisation string) Status {
	s.ConfigVersions = versionOf(s.ConfigVersions, organisation)
	peers := make([]Peer, 0, len(s.Peers))
	for _, p := range s.Peers {
		p.ConfigVersions = versionOf(p.ConfigVersions, organisation)
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

// versionOf returns the entry of m for an organisation, as a map.
func versionOf(m map[string]uint64, organisation string) map[string]uint64 {
	r := make(map[string]uint64, 1)
	if v, ok := m[organisation]; ok {
		r[organisation] = v
	}
	return r
}

// eventsOf returns the events that concern the organisation or no organisation.
func eventsOf(l []event.Event, organisation string) []event.Event {
	r := make([]event.Event, 0, len(l))
	for _, e := range l {
		if o := organisationOf(e.Subject); o == "" || o == organisation {
			r = append(r, e)
		}
	}
	return r
}

// organisationOf returns the organisation in the subject of an event, which is a
// table key such as "home/guild/quotes/quote-01" or a service such as
// "guild/quotes". It returns "" for the id of an instance, which belongs to no
// organisation.
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
