// Package core_test checks that the packages under internal/core do no input or output, start no goroutines and read no
// clock.
package core_test

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

const (
	modulePath = "github.com/guavastack/guavastack/"
	corePath   = modulePath + "internal/core"
)

// forbiddenImports are packages for input and output, concurrency, logging and random numbers.
var forbiddenImports = []string{
	"net", "os", "io/fs", "sync", "log", "context", "syscall", "math/rand", "math/rand/v2", "crypto/rand", "time/tzdata",
}

// forbiddenTimeCalls read the clock or start timers.
var forbiddenTimeCalls = map[string]bool{
	"Now": true, "Since": true, "Until": true, "After": true, "AfterFunc": true, "Tick": true,
	"NewTimer": true, "NewTicker": true, "Sleep": true,
}

func TestCoreHasNoSideEffects(t *testing.T) {
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		checkFile(t, path)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

func checkFile(t *testing.T, path string) {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, spec := range file.Imports {
		name, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			t.Fatal(err)
		}
		if isForbidden(name) {
			t.Errorf("%s imports the forbidden package %s", path, name)
		}
	}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			t.Errorf("%s starts a goroutine", path)
		case *ast.SelectorExpr:
			pkg, ok := n.X.(*ast.Ident)
			if ok && pkg.Name == "time" && forbiddenTimeCalls[n.Sel.Name] {
				t.Errorf("%s calls time.%s", path, n.Sel.Name)
			}
		}
		return true
	})
}

func isForbidden(name string) bool {
	for _, f := range forbiddenImports {
		if name == f || strings.HasPrefix(name, f+"/") {
			return true
		}
	}
	return strings.HasPrefix(name, modulePath) && !strings.HasPrefix(name, corePath)
}
