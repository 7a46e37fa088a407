// Package metric builds the names of metrics with labels.
package metric

import (
	"strings"
	"unicode/utf8"
)

// Name is the name of a metric, with its labels. The values of labels may have any characters; they are escaped as the
// text format of Prometheus requires, so different values give different names.
type Name string

// With returns the name with another label.
func (nam Name) With(label, value string) Name {
	if rest, hasLabels := strings.CutSuffix(string(nam), "}"); hasLabels {
		return Name(rest + "," + label + `="` + escape(value) + `"}`)
	}
	return nam + Name("{"+label+`="`+escape(value)+`"}`)
}

var escaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// escape returns the value of a label as the text format has it. The replacement of characters that are not valid UTF-8 is not
// undone by readers; names come out of JSON and have none.
func escape(value string) string {
	if strings.IndexByte(value, '\\') < 0 && strings.IndexByte(value, '"') < 0 && strings.IndexByte(value, '\n') < 0 && utf8.ValidString(value) {
		return value
	}
	return escaper.Replace(strings.ToValidUTF8(value, "\uFFFD"))
}

// String returns the name for the library of metrics.
func (nam Name) String() string { return string(nam) }
