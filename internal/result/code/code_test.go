package code_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"daisywheel/internal/result/code"
)

// TestCodesPage compares docs/codes.md with the codes. go test -update rewrites the
// page.
func TestCodesPage(t *testing.T) {
	var page strings.Builder
	page.WriteString("# Result codes\n\nThe hundreds digit names the area: 1 callers, 2 table, 3 pools and waves, 4 jobs,\n" +
		"5 platform, 6 settings and command line. A number never gets a second meaning.\n" +
		"This page is written by `go test ./internal/result/code -update`.\n\n" +
		"| code | name | HTTP status | what to do |\n|---|---|---|---|\n")
	for _, cd := range code.All() {
		fmt.Fprintf(&page, "| %d | %s | %d | %s |\n", int(cd), cd.Name(), cd.HTTPStatus(), cd.Fix())
	}
	gld := goldie.New(t, goldie.WithFixtureDir("../../../docs"), goldie.WithNameSuffix(".md"))
	gld.Assert(t, "codes", []byte(page.String()))
}

func TestEveryCodeHasANameAndAFix(t *testing.T) {
	seen := map[string]bool{}
	for _, cd := range code.All() {
		if seen[cd.Name()] || cd.Fix() == "" {
			t.Errorf("code %d: name %q, fix %q", int(cd), cd.Name(), cd.Fix())
		}
		seen[cd.Name()] = true
	}
}
