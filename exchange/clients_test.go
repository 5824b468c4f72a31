package exchange_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestClientsUseTransport guards against a client of the project that reads responses without Transport: a literal of an http.Transport that is not
// passed to New, an http.Client without a transport, or a function of net/http that uses its default one.
func TestClientsUseTransport(t *testing.T) {
	defaults := []string{"DefaultClient", "DefaultTransport", "Get", "Head", "Post", "PostForm", "ReadResponse"}
	set := token.NewFileSet()
	files := 0
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (entry.Name() == "review" || path != ".." && strings.HasPrefix(entry.Name(), ".")) {
			return fs.SkipDir // stand-ins of the reviews are a module of their own
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		files++
		file, err := parser.ParseFile(set, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		allowed := map[ast.Node]bool{}
		ast.Inspect(file, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.CallExpr:
				if isSelector(n.Fun, "exchange", "New") || isIdent(n.Fun, "newHTTPClient") {
					allowed[literalOf(n.Args[0])] = true
				}
			case *ast.CompositeLit:
				hasTransport := slices.ContainsFunc(n.Elts, func(e ast.Expr) bool {
					field, ok := e.(*ast.KeyValueExpr)
					return ok && isIdent(field.Key, "Transport")
				})
				isBare := isSelector(n.Type, "http", "Transport") && !allowed[n] || isSelector(n.Type, "http", "Client") && !hasTransport
				qt.Check(t, isBare, qt.IsFalse, qt.Commentf("%v", set.Position(n.Pos())))
			case *ast.SelectorExpr:
				isDefault := isIdent(n.X, "http") && slices.Contains(defaults, n.Sel.Name)
				qt.Check(t, isDefault, qt.IsFalse, qt.Commentf("%v", set.Position(n.Pos())))
			}
			return true
		})
		return nil
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, files > 100, qt.IsTrue, qt.Commentf("%d files", files))
}

func isIdent(e ast.Expr, name string) bool {
	i, ok := e.(*ast.Ident)
	return ok && i.Name == name
}

func isSelector(e ast.Expr, x, name string) bool {
	s, ok := e.(*ast.SelectorExpr)
	return ok && isIdent(s.X, x) && s.Sel.Name == name
}

// literalOf returns the composite literal whose address an expression takes.
func literalOf(e ast.Expr) ast.Node {
	if u, ok := e.(*ast.UnaryExpr); ok {
		return u.X
	}
	return e
}
