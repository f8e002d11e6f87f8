// Package preset sets options that are unset to their defaults.
package preset

import (
	"cmp"
)

// Positive sets *p to the default v if it is zero or negative.
func Positive[T cmp.Ordered](p *T, v T) {
	var zero T
	if *p <= zero {
		*p = v
	}
}
