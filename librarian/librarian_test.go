package librarian

import (
	"errors"
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strings"
	"testing"

	"caperarch/meshclient"
)

// What an older program makes with the former package is the same as the new one's.
func TestSameValues(t *testing.T) {
	var err error = &meshclient.Error{Kind: meshclient.Stale}
	if !errors.Is(err, Stale) || KindOf(err) != meshclient.Stale {
		t.Error("the kinds differ")
	}
	var client *meshclient.Client = &Client{Addresses: []string{"10.1.0.40:8105"}}
	var doc meshclient.Document = Document{BaseVersion: 3}
	if len(client.Addresses) != 1 || doc.BaseVersion != 3 {
		t.Error("the types differ")
	}
}

// No exported name of the new package is missing here.
func TestAllNames(t *testing.T) {
	here, there := exported(t, "."), exported(t, "../meshclient")
	if len(there) == 0 {
		t.Fatal("no names")
	}
	for name := range there {
		if !here[name] {
			t.Errorf("%s is missing", name)
		}
	}
}

// exported are the names that a package exports, methods apart.
func exported(t *testing.T, directory string) map[string]bool {
	t.Helper()
	files, err := filepath.Glob(directory + "/*.go")
	if err != nil {
		t.Fatal(err)
	}
	names := make(map[string]bool)
	for _, path := range files {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, d := range file.Decls {
			for _, name := range declared(d) {
				if ast.IsExported(name) {
					names[name] = true
				}
			}
		}
	}
	return names
}

// declared are the names that a declaration makes.
func declared(d ast.Decl) (names []string) {
	switch d := d.(type) {
	case *ast.FuncDecl:
		if d.Recv == nil {
			names = append(names, d.Name.Name)
		}
	case *ast.GenDecl:
		for _, s := range d.Specs {
			switch s := s.(type) {
			case *ast.TypeSpec:
				names = append(names, s.Name.Name)
			case *ast.ValueSpec:
				for _, n := range s.Names {
					names = append(names, n.Name)
				}
			}
		}
	}
	return names
}
