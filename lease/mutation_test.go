package lease

import (
	"testing"

	"github.com/leanovate/gopter"

	"dandelionrock.example/dandelionrock/config"
)

// maxWalks is the limit of walks per mutation; each seed below shows a violation
// in fewer.
const maxWalks = 1000

// mutation leaves a rule out of the walks from a seed. If focus is not empty,
// only the steps that it lists are drawn, so that the situations that need the
// rule are frequent.
type mutation struct {
	without rule
	fencing config.Fencing
	seed    int64
	focus   string
}

var mutations = []mutation{
	{ruleUpstreamClock, config.FencingChecked, 11, ""},
	{ruleSequence, config.FencingChecked, 18, "network move wait retire"},
	{ruleTerm, config.FencingChecked, 18, "network move wait takeover replace-frozen"},
	{ruleHomeRow, config.FencingChecked, 8, ""},
	{ruleHomeRow, config.FencingNone, 3, ""},
	{ruleRowVersion, config.FencingChecked, 3, ""},
	{ruleRowVersion, config.FencingNone, 3, ""},
	{ruleTakeoverWait, config.FencingChecked, 15, "replace-partitioned move wait"},
	{ruleTakeoverWait, config.FencingNone, 3, "replace-partitioned move wait"},
	{ruleMoveWait, config.FencingChecked, 3, ""},
	{ruleMoveWait, config.FencingNone, 4, ""},
	{ruleSentTime, config.FencingChecked, 17, "network replace-partitioned move wait"},
	{ruleSentTime, config.FencingNone, 24, "network replace-partitioned move wait"},
	{ruleResend, config.FencingChecked, 20, "network move wait"},
	{ruleResend, config.FencingNone, 4, "network move wait"},
	{ruleDrift, config.FencingChecked, 15, "wait move cut replace-partitioned restart"},
	{ruleDrift, config.FencingNone, 12, "wait move cut replace-partitioned restart"},
	{ruleConfirmBoot, config.FencingChecked, 10, "replace-frozen move reboot wait"},
	{ruleStatedHold, config.FencingChecked, 24, "replace-partitioned move wait"},
	{ruleStatedHold, config.FencingNone, 22, "replace-partitioned move wait"},
	{ruleRetireWait, config.FencingChecked, 22, "replace-partitioned move wait retire"},
	{ruleRetireWait, config.FencingNone, 3, "replace-partitioned move wait retire"},
	{ruleStatedLimits, config.FencingChecked, 23, "replace-partitioned move wait"},
	{ruleStatedLimits, config.FencingNone, 4, "replace-partitioned move wait"},
	{ruleFreshRows, config.FencingChecked, 9, "takeover race move wait network"},
	{ruleFreshRows, config.FencingNone, 10, "takeover race move wait network"},
}

func (m mutation) check(without rule, seed int64, n int) *gopter.TestResult {
	o := walkKind{fencing: m.fencing, without: without, focus: m.focus}
	return check(walks(o, map[string]int{}), seed, n, 0)
}

// findSeed logs the seed from 1 to n that shows a violation after the fewest
// walks.
func (m mutation) findSeed(t *testing.T, n int64) {
	b, k := maxWalks, int64(0)
	for s := int64(1); s <= n && b > 0; s++ {
		if r := m.check(m.without, s, b); !r.Passed() {
			b, k = r.Succeeded, s
		}
	}
	t.Logf("%v, %v: seed %d shows a violation after %d walks", m.without, m.fencing, k, b)
}

// Guards against a model that does not detect violations: without any one of the
// rules, walks must lead to an unsafe state, and the same walks must be safe with
// the rule.
func TestRulesAreNeeded(t *testing.T) {
	for _, m := range mutations {
		t.Run(string(m.without)+"/"+string(m.fencing), func(t *testing.T) {
			t.Parallel()
			if *findSeedFlag > 0 {
				m.findSeed(t, *findSeedFlag)
				return
			}
			r := m.check(m.without, m.seed, maxWalks)
			if r.Passed() {
				t.Fatalf("no violation in %d walks without the rule", r.Succeeded)
			}
			t.Logf("after %d walks: %v", r.Succeeded, r.Labels)
			if r = m.check(noRule, m.seed, r.Succeeded+1); !r.Passed() {
				t.Errorf("violation with the rule: %v", r.Labels)
			}
		})
	}
}
