package lease

import (
	"testing"

	"github.com/leanovate/gopter"

	"dandelionrock.example/dandelionrock/config"
)

// maxWalks is more than any seed below needs to show a violation.
const maxWalks = 1000

// mutation leaves a rule out of the walks from a seed. The focus makes the
// situations frequent that the rule is for.
type mutation struct {
	without rule
	fencing config.Fencing
	seed    int64
	focus   string
}

var mutations = []mutation{
	{ruleUpstreamClock, config.FencingChecked, 11, ""},
	{ruleSequence, config.FencingChecked, 18, "network move wait retire"},
	{ruleTerm, config.FencingChecked, 18, "network move wait takeover depose"},
	{ruleHomeRow, config.FencingChecked, 8, ""},
	{ruleHomeRow, config.FencingNone, 3, ""},
	{ruleRowVersion, config.FencingChecked, 3, ""},
	{ruleRowVersion, config.FencingNone, 3, ""},
	{ruleTakeoverWait, config.FencingChecked, 15, "usurp move wait"},
	{ruleTakeoverWait, config.FencingNone, 3, "usurp move wait"},
	{ruleLapse, config.FencingChecked, 3, ""},
	{ruleLapse, config.FencingNone, 4, ""},
	{ruleSentTime, config.FencingChecked, 17, "network usurp move wait"},
	{ruleSentTime, config.FencingNone, 24, "network usurp move wait"},
	{ruleSettle, config.FencingChecked, 20, "network move wait"},
	{ruleSettle, config.FencingNone, 4, "network move wait"},
	{ruleDrift, config.FencingChecked, 15, "wait move cut usurp restart"},
	{ruleDrift, config.FencingNone, 12, "wait move cut usurp restart"},
	{ruleConfirmBoot, config.FencingChecked, 10, "depose move reboot wait"},
	{ruleStatedHold, config.FencingChecked, 24, "usurp move wait"},
	{ruleStatedHold, config.FencingNone, 22, "usurp move wait"},
	{ruleRetireWait, config.FencingChecked, 22, "usurp move wait retire"},
	{ruleRetireWait, config.FencingNone, 3, "usurp move wait retire"},
	{ruleStatedLimits, config.FencingChecked, 23, "usurp move wait"},
	{ruleStatedLimits, config.FencingNone, 4, "usurp move wait"},
	{ruleFreshRows, config.FencingChecked, 9, "takeover race move wait network"},
	{ruleFreshRows, config.FencingNone, 10, "takeover race move wait network"},
}

func (m mutation) check(without rule, seed int64, n int) *gopter.TestResult {
	o := outline{fencing: m.fencing, without: without, focus: m.focus}
	return check(walks(o, map[string]int{}), seed, n, 0)
}

// hunt reports the seed, up to n, that shows a violation after the fewest walks.
func (m mutation) hunt(t *testing.T, n int64) {
	b, k := maxWalks, int64(0)
	for s := int64(1); s <= n && b > 0; s++ {
		if r := m.check(m.without, s, b); !r.Passed() {
			b, k = r.Succeeded, s
		}
	}
	t.Logf("%v, %v: seed %d shows a violation after %d walks", m.without, m.fencing, k, b)
}

// Guards against an oracle that is blind: each rule, left out of the model,
// must lead to an unsafe state, and the same walks must be safe with the rule.
func TestRulesAreNeeded(t *testing.T) {
	for _, m := range mutations {
		t.Run(string(m.without)+"/"+string(m.fencing), func(t *testing.T) {
			t.Parallel()
			if *huntFlag > 0 {
				m.hunt(t, *huntFlag)
				return
			}
			r := m.check(m.without, m.seed, maxWalks)
			if r.Passed() {
				t.Fatalf("no violation in %d walks", r.Succeeded)
			}
			t.Logf("after %d walks: %v", r.Succeeded, r.Labels)
			if r = m.check(noRule, m.seed, r.Succeeded+1); !r.Passed() {
				t.Errorf("with the rule: %v", r.Labels)
			}
		})
	}
}
