package config

import (
	"slices"
	"strings"

	"github.com/pmezard/go-difflib/difflib"
)

// Diff returns the difference from a to b in unified format without file
// names, with three lines around each change; empty where there is none. A
// newline at the end of a text makes no difference.
func Diff(a, b []byte) string {
	s, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{A: splitLines(a), B: splitLines(b), Context: 3})
	if err != nil {
		return err.Error()
	}
	return s
}

func splitLines(b []byte) []string {
	return slices.Collect(strings.Lines(strings.TrimSuffix(string(b), "\n") + "\n"))
}
