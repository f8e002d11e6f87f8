package main

import (
	"math"
	"testing"
)

// Guards against a slope, intercept or residual that does not fit the points.
func TestFit(t *testing.T) {
	for _, x := range []struct {
		points []point
		want   line
	}{
		{[]point{{1, 5}, {2, 7}, {10, 23}}, line{2, 3, 0}},
		{[]point{{0, 0}, {1, 3}, {2, 0}}, line{0, 1, 2. / 3}},
		{[]point{{1, 0}, {2, 0}}, line{}},
	} {
		f := fit(x.points)
		if math.Abs(f.slope-x.want.slope)+math.Abs(f.intercept-x.want.intercept)+math.Abs(f.residual-x.want.residual) > 1e-9 {
			t.Errorf("fit(%v) = %+v, want %+v", x.points, f, x.want)
		}
	}
}
