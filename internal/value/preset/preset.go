// Package preset fills in the defaults of options.
package preset

import (
	"cmp"
)

// Positive sets a number that is zero or negative to its default.
func Positive[T cmp.Ordered](p *T, v T) {
	var zero T
	if *p <= zero {
		*p = v
	}
}
