package metric_test

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/VictoriaMetrics/metrics"

	"daisywheel/internal/event/metric"
)

var unescaper = strings.NewReplacer(`\\`, `\`, `\"`, `"`, `\n`, "\n")

// line matches a sample of a metric with the labels a and b.
var line = regexp.MustCompile(`^m\{a="((?:[^"\\\n]|\\[\\"n])*)",b="((?:[^"\\\n]|\\[\\"n])*)"\} 1$`)

// A pool whose name has a quotation mark ended the process. Any value gives one sample, out of which it can be read.
func FuzzWith(f *testing.F) {
	for _, value := range []string{"", "gate", `mill "B"`, `\`, `\"`, "\n", "\r", `",b="`, "}", "{", ",", "café", "\x00", "\xff", " = "} {
		f.Add(value, "x")
		f.Add("x", value)
	}
	f.Fuzz(func(t *testing.T, one, two string) {
		name := metric.Name("m").With("a", one).With("b", two).String()
		if err := metrics.ValidateMetric(name); err != nil {
			t.Fatalf("%q: %v", name, err)
		}
		set := metrics.NewSet()
		set.GetOrCreateCounter(name).Inc()
		var text bytes.Buffer
		set.WritePrometheus(&text)
		found := line.FindStringSubmatch(strings.TrimSuffix(text.String(), "\n"))
		if found == nil {
			t.Fatalf("%q and %q give the sample %q", one, two, text.String())
		}
		for i, want := range []string{one, two} {
			if got := unescaper.Replace(found[i+1]); utf8.ValidString(want) && got != want {
				t.Errorf("%q is read as %q", want, got)
			}
		}
		set.GetOrCreateHistogram(metric.Name("h").With("a", one).String()).Update(1)
		set.WritePrometheus(&text)
	})
}

// labelled matches the literal of a metric with the beginning of its labels.
var labelled = regexp.MustCompile(`daisywheel_\w*\{`)

var creators = regexp.MustCompile(`^(GetOrCreate|New|Register)(Float)?(Counter|Gauge|Histogram|Summary)(Ext)?$|^(GetOrCreate|New)PrometheusHistogram(Ext)?$`)

// Guards against labels that are joined by hand: a metric is named by a literal without labels, or by Name.With.
func TestMetricsAreNamedByThisPackage(t *testing.T) {
	files := 0
	err := filepath.WalkDir("../../..", func(path string, ent fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if ent.IsDir() && (ent.Name() == "review" || ent.Name() == ".git" || ent.Name() == "target") {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		files++
		set := token.NewFileSet()
		file, err := parser.ParseFile(set, path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(node ast.Node) bool {
			switch nod := node.(type) {
			case *ast.BasicLit:
				if nod.Kind == token.STRING && labelled.MatchString(nod.Value) {
					t.Errorf("%s: %s has labels", set.Position(nod.Pos()), nod.Value)
				}
			case *ast.CallExpr:
				if sel, ok := nod.Fun.(*ast.SelectorExpr); ok && creators.MatchString(sel.Sel.Name) && len(nod.Args) > 0 && !isNamed(nod.Args[0]) {
					t.Errorf("%s: the metric is not named by metric.Name", set.Position(nod.Pos()))
				}
			}
			return true
		})
		return nil
	})
	if err != nil || files < 100 {
		t.Errorf("%d files read, %v", files, err)
	}
}

// isNamed reports whether the argument is a literal, or the text of a Name. No other type here has a text that is a metric.
func isNamed(arg ast.Expr) bool {
	call, ok := arg.(*ast.CallExpr)
	if !ok {
		_, ok = arg.(*ast.BasicLit)
		return ok
	}
	sel, ok := call.Fun.(*ast.SelectorExpr)
	return ok && sel.Sel.Name == "String" && len(call.Args) == 0
}

func BenchmarkWith(b *testing.B) {
	for b.Loop() {
		_ = metric.Name("daisywheel_platform_calls_total").With("call", "start").With("status", "200").String()
	}
}
