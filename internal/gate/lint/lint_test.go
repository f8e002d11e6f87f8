package lint

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"dandelionrock.example/dandelionrock/internal/gate/match"
	"dandelionrock.example/dandelionrock/platform"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// Guards against routes that are reported although requests match them, and against those
// that never match and are not reported.
func TestNeverMatches(t *testing.T) {
	prefixes := []string{"/", "/a/", "/a/b/", "/a?/", "a/", ""}
	paths := []string{"/", "/a/", "/a/b/", "/a/b/c", "/ab", "/a?/", "/a/?q"}
	p := gopter.NewProperties(nil)
	p.Property("a route is reported unless one of the paths matches it", prop.ForAll(func(seed int64) bool {
		r := rand.New(rand.NewSource(seed))
		d := &platform.Desired{}
		for i := range 1 + r.Intn(6) {
			d.Routes = append(d.Routes, platform.Route{Name: fmt.Sprint(i), Host: string(rune('x' + r.Intn(2))), Prefix: prefixes[r.Intn(len(prefixes))]})
		}
		for i := range d.Routes {
			n := &d.Routes[i]
			matches := false
			for _, path := range paths {
				matches = matches || match.Route(d.Routes, n.Host, path) == n
			}
			c := checker{config: d}
			c.checkMatch(n)
			reported := len(c.found) > 0 && strings.Contains(c.found[0].Cause.Error(), "never matches")
			if matches == reported {
				return false
			}
		}
		return true
	}, gen.Int64()))
	p.TestingRun(t)
}
