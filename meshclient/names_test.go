package meshclient_test

import (
	"errors"
	"flag"
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"caperarch/meshclient"
)

var update = flag.Bool("update", false, "rewrite testdata/names.txt")

// A program that imports the package can determine the kind of an error with errors.Is and KindOf.
func TestErrorMatchesItsKind(t *testing.T) {
	var err error = &meshclient.Error{Kind: meshclient.Stale}
	if !errors.Is(err, meshclient.Stale) || meshclient.KindOf(err) != meshclient.Stale {
		t.Error("an Error of kind Stale does not match Stale")
	}
	client := &meshclient.Client{Addresses: []string{"10.1.0.40:8105"}}
	doc := meshclient.Document{BaseVersion: 3}
	if len(client.Addresses) != 1 || doc.BaseVersion != 3 {
		t.Error("Client or Document does not keep the values of its fields")
	}
}

// Programs depend on the exported names. The list in testdata/names.txt makes each added or removed name visible in
// review.
func TestExportedNames(t *testing.T) {
	got := strings.Join(slices.Sorted(maps.Keys(exportedNames(t, "."))), "\n") + "\n"
	const golden = "testdata/names.txt"
	if *update {
		if err := os.WriteFile(golden, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if len(want) == 0 {
		t.Fatal("the list of exported names is empty")
	}
	if got != string(want) {
		t.Errorf("exported names:\n%s\nwant:\n%s", got, want)
	}
}

// exportedNames returns the names that the package in a directory exports, without methods and fields.
func exportedNames(t *testing.T, directory string) map[string]bool {
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
			for _, name := range declaredNames(d) {
				if ast.IsExported(name) {
					names[name] = true
				}
			}
		}
	}
	return names
}

// declaredNames returns the names that a declaration declares, without methods.
func declaredNames(d ast.Decl) (names []string) {
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
