package primrosereach

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

const module = "github.com/primrosereach/primrosereach/"

// layers lists the folders of the layers from the lowest to the highest.
var layers = []string{"state", "coordination", "protocol", "transport"}

// forbiddenImports lists the standard packages that a layer must not import, because
// its decisions would then depend on more than their arguments.
var forbiddenImports = map[string][]string{
	"state":        {"net", "net/http", "time"},
	"coordination": {"net", "net/http", "os", "encoding/json", "math/rand"},
}

// exemptImports lists, by folder, an import that is allowed in that folder although
// its layer forbids it.
var exemptImports = map[string]string{
	"state/storage": "time",
}

func layerOf(path string) int {
	for i, l := range layers {
		if path == l || strings.HasPrefix(path, l+"/") {
			return i
		}
	}
	return -1
}

func forEachImport(t *testing.T, f func(file, dir, imported string)) {
	t.Helper()
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && (d.Name() == "tools" || strings.HasPrefix(d.Name(), ".") && path != ".") {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, im := range parsed.Imports {
			name, err := strconv.Unquote(im.Path.Value)
			if err != nil {
				return err
			}
			f(path, filepath.ToSlash(filepath.Dir(path)), name)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against a lower layer that imports a higher one, which ties decisions to one
// front end.
func TestLayersImportDownwards(t *testing.T) {
	forEachImport(t, func(file, dir, imported string) {
		from := layerOf(dir)
		if from < 0 || !strings.HasPrefix(imported, module) {
			return
		}
		if to := layerOf(strings.TrimPrefix(imported, module)); to > from {
			t.Errorf("%s: layer %s imports %s of the higher layer %s", file, layers[from], imported, layers[to])
		}
	})
}

// Guards against decisions that read a clock, a socket or a file, which can't be
// replayed in tests.
func TestLowerLayersHaveNoIO(t *testing.T) {
	forEachImport(t, func(file, dir, imported string) {
		l := layerOf(dir)
		if l < 0 {
			return
		}
		for _, f := range forbiddenImports[layers[l]] {
			if imported == f && exemptImports[dir] != f {
				t.Errorf("%s: layer %s must not import %s", file, layers[l], imported)
			}
		}
	})
}

// Guards against clocks and timers of package time in coordination, which would add a
// second clock to the one that each step gets as an argument.
func TestCoordinationReadsNoClock(t *testing.T) {
	err := filepath.WalkDir("coordination", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(parsed, func(n ast.Node) bool {
			sel, ok := n.(*ast.SelectorExpr)
			if !ok {
				return true
			}
			pkg, ok := sel.X.(*ast.Ident)
			if ok && pkg.Name == "time" && clockFunctions[sel.Sel.Name] {
				t.Errorf("%s: coordination must not use time.%s", path, sel.Sel.Name)
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// clockFunctions lists the functions of package time that read a clock or start a timer.
var clockFunctions = map[string]bool{"Now": true, "Since": true, "Until": true, "After": true, "AfterFunc": true, "NewTimer": true, "NewTicker": true, "Sleep": true, "Tick": true}

// Guards against dependencies on the platform adapter outside the commands, and of the
// adapter on the transport. Either would make the adapter hard to replace.
func TestOnlyCommandsImportThePlatform(t *testing.T) {
	forEachImport(t, func(file, dir, imported string) {
		if strings.HasPrefix(imported, module+"platform") && !strings.HasPrefix(dir, "cmd/") {
			t.Errorf("%s: only commands may import %s", file, imported)
		}
		if dir == "platform" && strings.HasPrefix(imported, module+"transport") {
			t.Errorf("%s: the platform adapter must not import %s", file, imported)
		}
	})
}
