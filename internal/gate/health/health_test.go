package health

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dandelionrock.example/dandelionrock/internal/gate/group"
	"dandelionrock.example/dandelionrock/internal/gate/guard"
	"dandelionrock.example/dandelionrock/internal/state/view"
	"dandelionrock.example/dandelionrock/platform"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

type fixedView struct{ v *view.View }

func (f fixedView) View() *view.View { return f.v }

// One target hangs and one is of another home. Guards against checks that pile up at a
// target that doesn't answer, against those of targets that need none, and against a
// target that is taken for warm because it doesn't answer.
func TestChecks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := view.Empty()
		v.Desired = &platform.Desired{Services: map[string]platform.Service{
			"bound": {Name: "bound", WarmupRate: 4, HealthPath: "/health"}, "free": {Name: "free", HealthPath: "/health"},
		}}
		v.Services = map[string][]*platform.Target{
			"bound": {{ID: "cold"}, {ID: "hangs"}, {ID: "other", FailureDomain: "elsewhere"}, {ID: "leaves", Leaving: true}, {ID: "evacuated", Evacuated: true}},
			"free":  {{ID: "free"}},
		}
		var mu sync.Mutex
		checked, told := map[string]int{}, map[string]time.Duration{}
		l := zerolog.New(io.Discard)
		k := New(Options{
			Views: fixedView{v}, IsHome: func(_ group.ID, domain string) bool { return domain == "" }, Log: l,
			Guard: guard.New(l, func(string) {}, func() {}),
			Held:  func() []group.Member { return nil },
			Checked: func(m group.Member, h platform.Health) {
				mu.Lock()
				defer mu.Unlock()
				told[m.Target.ID] = h.Cold
			},
			Check: func(c context.Context, e platform.Endpoint, _ string) (platform.Health, error) {
				mu.Lock()
				checked[e.ID]++
				mu.Unlock()
				if e.ID == "hangs" {
					<-c.Done()
					return platform.Health{}, errors.Wrap(c.Err(), "check")
				}
				return platform.Health{ID: e.ID, Cold: time.Second}, nil
			},
		})
		c, stop := context.WithTimeout(t.Context(), 5*time.Second)
		defer stop()
		k.Run(c)
		if len(checked) != 2 || checked["cold"] < 9 || checked["cold"] > 11 || checked["hangs"] > 11 {
			t.Errorf("checks in 5 s: %v", checked)
		}
		if len(told) != 1 || told["cold"] != time.Second {
			t.Errorf("told: %v", told)
		}
	})
}
