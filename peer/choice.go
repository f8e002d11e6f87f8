package peer

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Place is a location, such as that of an upstream.
type Place struct {
	Region        string
	FailureDomain string
}

// Successor returns the live instances in the order in which they take over an
// upstream at the given place. The name of the upstream must be unique among all
// upstreams, such as the table key of its home.
//
// Instances in the upstream's region come first. Among these, the ones outside of
// its failure domain precede the ones inside, because a failure domain can fail as
// a whole. Within each of these groups, instances are ordered by weighted
// rendezvous hashing. The order depends only on the IDs, places and weights of the
// instances.
func Successor(upstream string, at Place, live []Instance) []Instance {
	return rank(upstream, live, func(i Instance) int { return successorGroup(at, i) })
}

// Nearest returns the live instances ordered by their distance from a place:
// first those in its failure domain, then those in its region, then the others.
// Instances at the same distance are ordered by weighted rendezvous hashing with
// the given name, so that different names spread over different instances.
func Nearest(name string, at Place, live []Instance) []Instance {
	return rank(name, live, func(i Instance) int { return nearestGroup(at, i) })
}

// First returns the first instance in the order of Nearest, without sorting them. It
// returns false if live is empty.
func First(name string, at Place, live []Instance) (Instance, bool) {
	var best Instance
	found, bestGroup, bestScore := false, 0, 0.0
	for _, i := range live {
		g := nearestGroup(at, i)
		if found && g > bestGroup {
			continue
		}
		s := score(name, i)
		if !found || g < bestGroup || s > bestScore || s == bestScore && i.ID < best.ID {
			best, found, bestGroup, bestScore = i, true, g, s
		}
	}
	return best, found
}

// nearestGroup returns the group of an instance in the order of Nearest; lower groups come
// first.
func nearestGroup(at Place, i Instance) int {
	switch {
	case i.FailureDomain == at.FailureDomain:
		return 0
	case i.Region == at.Region:
		return 1
	default:
		return 2
	}
}

// rank returns the instances sorted by ascending group, then by descending score
// for the name.
func rank(name string, live []Instance, group func(Instance) int) []Instance {
	type candidate struct {
		Instance
		group int
		score float64
	}
	c := make([]candidate, len(live))
	for i, v := range live {
		c[i] = candidate{v, group(v), score(name, v)}
	}
	slices.SortFunc(c, func(a, b candidate) int {
		return cmp.Or(a.group-b.group, cmp.Compare(b.score, a.score), cmp.Compare(a.ID, b.ID))
	})
	r := make([]Instance, len(c))
	for i := range c {
		r[i] = c[i].Instance
	}
	return r
}

// Assignee returns the instance to which a task is assigned, such as planning for
// a service. It is chosen by weighted rendezvous hashing, so that callers with the
// same live instances agree. The name of the task must be unique among all tasks.
// Assignee returns false if live is empty.
func Assignee(task string, live []Instance) (Instance, bool) {
	if len(live) == 0 {
		return Instance{}, false
	}
	return slices.MinFunc(live, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(score(task, b), score(task, a)), cmp.Compare(a.ID, b.ID))
	}), true
}

// successorGroup returns the group of an instance in the order of Successor; lower
// groups come first.
func successorGroup(at Place, i Instance) int {
	switch {
	case i.Region != at.Region:
		return 2
	case i.FailureDomain == at.FailureDomain:
		return 1
	default:
		return 0
	}
}

// score returns the weighted rendezvous score -weight/ln(h), where h is a hash
// that is uniformly distributed between 0 and 1. The probability that an instance
// has the highest score is proportional to its weight.
func score(name string, i Instance) float64 {
	var x xxhash.Digest
	x.ResetWithSeed(xxhash.Sum64String(name))
	_, _ = x.WriteString(i.ID)
	w := i.Weight
	if w <= 0 {
		w = 1
	}
	h := (float64(x.Sum64()>>11) + 0.5) / (1 << 53)
	return -w / math.Log(h)
}
