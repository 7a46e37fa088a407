package crash_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"path/filepath"
	"strings"
	"testing"

	"daisywheel/internal/kernel/crash"
)

func TestCatchReturnsThePanic(t *testing.T) {
	if crs := crash.Catch(func() {}); crs != nil {
		t.Errorf("crash %v without a panic", crs)
	}
	crs := crash.Catch(func() { panic(strings.Repeat("odd", 1000)) })
	if crs == nil || !strings.HasPrefix(crs.Error(), "panic: oddodd") || len(crs.Error()) > 600 {
		t.Fatalf("crash %.100v, want the beginning of the text", crs)
	}
	if !strings.Contains(crs.Stack(), "TestCatchReturnsThePanic") || len(crs.Stack()) > 4000 {
		t.Errorf("stack of %d bytes %s", len(crs.Stack()), crs.Stack())
	}
}

// unguarded has the number of goroutines that need no guard, by file: they wait, accept connections, or run code of a library
// that gets no names, records or messages to interpret.
var unguarded = map[string]int{
	"internal/fleet/operatorfeed/operatorfeed.go": 1,
	"internal/peer/rpc/rpc.go":                    3,
	"internal/schedule/owner/owner.go":            1,
	"internal/schedule/owner/route.go":            1,
	"platform/process/process.go":                 1,
}

// Guards against a goroutine of the scheduler in which a panic would end the process.
func TestGoroutinesOfTheSchedulerAreGuarded(t *testing.T) {
	const root = "../../.."
	found := map[string]int{}
	for _, dir := range []string{"internal/schedule", "internal/fleet", "internal/peer", "platform"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				return err
			}
			ast.Inspect(file, func(node ast.Node) bool {
				if stm, ok := node.(*ast.GoStmt); ok && !isGuarded(stm.Call) {
					found[filepath.ToSlash(strings.TrimPrefix(path, root+"/"))]++
				}
				return true
			})
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if !maps.Equal(found, unguarded) {
		t.Errorf("goroutines without a guard: %v, want %v", found, unguarded)
	}
}

// isGuarded reports whether a call is one of a function that catches panics, or of a literal that makes one.
func isGuarded(call *ast.CallExpr) bool {
	isFound := false
	ast.Inspect(call, func(node ast.Node) bool {
		if sel, ok := node.(*ast.SelectorExpr); ok {
			switch sel.Sel.Name {
			case "guard", "catch", "Catch":
				isFound = true
			}
		}
		return !isFound
	})
	return isFound
}
