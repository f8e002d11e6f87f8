package parts

import (
	"math/rand"
	"reflect"
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// text returns a random text with a few names, some of them several times.
func text(r *rand.Rand) []Part {
	ps := make([]Part, r.Intn(6))
	for i := range ps {
		ps[i].Name = string(rune('a' + r.Intn(4)))
		for _, n := range []string{"x", "y", "z"} {
			if r.Intn(3) > 0 {
				ps[i].Fields = append(ps[i].Fields, Field{n, string(rune('0' + r.Intn(3)))})
			}
		}
	}
	return ps
}

// flat returns the values of a text by part and field, and an empty one for each part.
func flat(ps []Part) map[[2]string]string {
	m := map[[2]string]string{}
	ids, byID := index(ps)
	for _, k := range ids {
		m[[2]string{k.String()}] = ""
		for _, f := range byID[k].Fields {
			m[[2]string{k.String(), f.Name}] = f.Value
		}
	}
	return m
}

// apply makes the changes to the values of a text.
func apply(m map[[2]string]string, changes []Change) {
	for _, c := range changes {
		for _, f := range c.Old {
			delete(m, [2]string{c.Name, f.Name})
		}
		if m[[2]string{c.Name}] = ""; c.Removed {
			delete(m, [2]string{c.Name})
		}
		for _, f := range c.New {
			m[[2]string{c.Name, f.Name}] = f.Value
		}
	}
}

// Guards against differences that are left out, and against changes that aren't any.
func TestDiff(t *testing.T) {
	p := gopter.NewProperties(nil)
	p.Property("changes lead from the old text to the new one", prop.ForAll(func(seed int64) bool {
		r := rand.New(rand.NewSource(seed))
		a, b := text(r), text(r)
		m := flat(a)
		apply(m, Diff(a, b))
		return reflect.DeepEqual(m, flat(b))
	}, gen.Int64()))
	p.Property("equal texts have none, in any order of names", prop.ForAll(func(seed int64) bool {
		r := rand.New(rand.NewSource(seed))
		a := text(r)
		b := slices.Clone(a)
		slices.SortStableFunc(b, func(x, y Part) int { return int(y.Name[0]) - int(x.Name[0]) })
		return len(Diff(a, b)) == 0
	}, gen.Int64()))
	p.TestingRun(t)
}
