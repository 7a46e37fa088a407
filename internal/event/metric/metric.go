// Package metric builds the names of metrics with labels.
package metric

import "strings"

// Name is the name of a metric, with its labels. The values of labels may have any characters; they are escaped as the
// text format of Prometheus requires, so different values give different names.
type Name string

// With returns the name with another label.
func (nam Name) With(label, value string) Name {
	var text strings.Builder
	if rest, hasLabels := strings.CutSuffix(string(nam), "}"); hasLabels {
		text.WriteString(rest + ",")
	} else {
		text.WriteString(string(nam) + "{")
	}
	text.WriteString(label + `="`)
	_, _ = escaper.WriteString(&text, strings.ToValidUTF8(value, "\uFFFD")) // a Builder returns no error
	text.WriteString(`"}`)
	return Name(text.String())
}

var escaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// String returns the name for the library of metrics.
func (nam Name) String() string { return string(nam) }
