package peer

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Place is where an upstream runs.
type Place struct {
	Region        string
	FailureDomain string
}

// Successor returns the live instances in the order in which they take over
// the upstream of the given name, which must be unique among all upstreams,
// such as its home's table key.
//
// Instances in the upstream's region come first, those outside of its failure
// domain before those inside, because a failure domain can fail as a whole.
// Within these groups, the order follows weighted rendezvous hashing. It
// depends only on the ids, places and weights of the instances.
func Successor(upstream string, at Place, live []Instance) []Instance {
	return ranked(upstream, live, func(i Instance) int { return group(at, i) })
}

// Nearest returns the live instances in the order in which they serve the
// target of the given name: those in its failure domain first, then those in
// its region, then the others, each by weighted rendezvous hashing.
func Nearest(name string, at Place, live []Instance) []Instance {
	return ranked(name, live, func(i Instance) int {
		switch {
		case i.FailureDomain == at.FailureDomain:
			return 0
		case i.Region == at.Region:
			return 1
		default:
			return 2
		}
	})
}

// ranked orders instances by group, then by score.
func ranked(name string, live []Instance, group func(Instance) int) []Instance {
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

// Assignee returns the instance that plans for a service, whose name must be
// unique among all organisations. It reports false if there is no instance.
func Assignee(service string, live []Instance) (Instance, bool) {
	if len(live) == 0 {
		return Instance{}, false
	}
	return slices.MinFunc(live, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(score(service, b), score(service, a)), cmp.Compare(a.ID, b.ID))
	}), true
}

func group(at Place, i Instance) int {
	switch {
	case i.Region != at.Region:
		return 2
	case i.FailureDomain == at.FailureDomain:
		return 1
	default:
		return 0
	}
}

// score returns the weighted rendezvous score, -weight/ln(h) for a hash h that
// is spread evenly over 0 to 1: the highest score falls on each instance with
// a probability in proportion to its weight.
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
