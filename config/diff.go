package config

import (
	"slices"
	"strings"

	"github.com/pmezard/go-difflib/difflib"
)

// Diff returns the difference from a to b in unified format, with three lines of
// context and without file names. It is empty if the texts are equal. A newline at
// the end of a text is ignored.
func Diff(a, b []byte) string {
	s, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{A: splitLines(a), B: splitLines(b), Context: 3})
	if err != nil {
		return err.Error()
	}
	return s
}

// splitLines returns the lines of b, each with its newline.
func splitLines(b []byte) []string {
	return slices.Collect(strings.Lines(strings.TrimSuffix(string(b), "\n") + "\n"))
}
