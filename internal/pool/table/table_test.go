package table

import (
	"bytes"
	"strings"
	"testing"
)

const good = "pool,service,weight,takeSlots,lendSlots,takeVMs,lendVMs,downVMs,queue,deadlineMs,note\n" +
	"gate,gate,10,200,50,4,1,2,200,4000,\noffice,office,1,200,90,4,5,2,200,4000,spare pool\n"

func TestGoodTables(t *testing.T) {
	for name, text := range map[string]string{
		"plain":          good,
		"CRLF":           strings.ReplaceAll(good, "\n", "\r\n"),
		"byte order":     "\xef\xbb\xbf" + good,
		"no note column": "pool,service,weight,takeSlots,lendSlots,takeVMs,lendVMs,downVMs,queue,deadlineMs\ngate,gate,10,200,50,4,1,2,200,4000\n",
		"other order":    "service,pool,weight,takeSlots,lendSlots,takeVMs,lendVMs,downVMs,queue,deadlineMs\ngate,gate,10,200,50,4,1,2,200,4000\n",
	} {
		tbl, err := Parse([]byte(text))
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		again, err := Parse(tbl.Format())
		if err != nil || !bytes.Equal(again.Format(), tbl.Format()) {
			t.Errorf("%s: table changed after Format and Parse: %v", name, err)
		}
	}
}

func TestBadTables(t *testing.T) {
	row := func(text string) string { return strings.SplitAfter(good, "\n")[0] + text + "\n" }
	for _, tst := range []struct{ name, text, want string }{
		{"empty", "", "header is missing"},
		{"unknown column", strings.Replace(good, "weight", "wieght", 1), `line 1: unknown column "wieght"`},
		{"twice", strings.Replace(good, "service", "pool", 1), `line 1: column "pool" appears twice`},
		{"missing", strings.Replace(good, "weight,", "", 1), `column "weight" is missing`},
		{"no number", row("gate,gate,ten,200,50,4,1,2,200,4000,"), `line 2: column weight is "ten"`},
		{"overflow", row("gate,gate,99999999999999999999,200,50,4,1,2,200,4000,"), "line 2: column weight"},
		{"too large", row("gate,gate,5000,200,50,4,1,2,200,4000,"), "column weight is 5000, must be 1 to 1000"},
		{"lends over all", row("gate,gate,5,200,150,4,1,2,200,4000,"), "column lendSlots is 150, must be 0 to 100"},
		{"bad name", row("ga te,gate,5,200,50,4,1,2,200,4000,"), "column pool must be"},
		{"two rows", good + "gate,other,10,200,50,4,1,2,200,4000,\n", `pool "gate" has two rows`},
		{"two pools", good + "third,gate,10,200,50,4,1,2,200,4000,\n", `service "gate" is served by pools`},
		{"short row", row("gate,gate"), "line 2: has 2 columns, must have 11"},
		{"UTF-16", "\xff\xfep\x00", "not UTF-8"},
		{"Latin-1", row("gate,gate,10,200,50,4,1,2,200,4000,caf\xe9"), "not UTF-8"},
		{"open quote", row(`gate,gate,10,200,50,4,1,2,200,4000,"x`), "quote"},
		{"huge", strings.Repeat("x", maxBytes+1), "must have at most"},
	} {
		_, err := Parse([]byte(tst.text))
		if err == nil || !strings.Contains(err.Error(), tst.want) {
			t.Errorf("%s: got %v, want %q", tst.name, err, tst.want)
		}
	}
}

// FuzzParse checks that any input gives either an error or a table that is the same
// after it is formatted and parsed again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte("\xef\xbb\xbfpool,service\r\n"))
	f.Add([]byte(strings.ReplaceAll(good, "gate", "\"ga\"\"te\"")))
	f.Fuzz(func(t *testing.T, data []byte) {
		tbl, err := Parse(data)
		if err != nil {
			return
		}
		again, err := Parse(tbl.Format())
		if err != nil || !bytes.Equal(again.Format(), tbl.Format()) {
			t.Fatalf("table changed after Format and Parse: %v", err)
		}
	})
}
