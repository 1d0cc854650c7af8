package meshclient_test

import (
	"go/parser"
	"go/token"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// The client library may import only package meshapi and the small package httpclient of the mesh, so that a program
// that uses the library does not link server code.
func TestLibraryImportsNoServerPackages(t *testing.T) {
	const (
		httpclient = "caperarch/internal/mesh/httpclient"
		eris       = "github.com/rotisserie/eris" // error wrapping, used in the whole mesh
	)
	for directory, allowed := range map[string][]string{
		".":                           {"caperarch/meshapi", httpclient, eris},
		"../meshapi":                  nil,
		"../internal/mesh/httpclient": {"golang.org/x/sys/unix"},
	} {
		for path, file := range importedPackages(t, directory) {
			if !isStandardLibrary(path) && !slices.Contains(allowed, path) {
				t.Errorf("%s imports %s, which is not allowed", file, path)
			}
		}
	}
}

// importedPackages returns the import paths of the non-test files in a directory. Each path is mapped to a file that
// imports it.
func importedPackages(t *testing.T, directory string) map[string]string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(directory, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	imported := make(map[string]string)
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ImportsOnly)
		if err != nil {
			t.Fatal(err)
		}
		for _, spec := range file.Imports {
			path, err := strconv.Unquote(spec.Path.Value)
			if err != nil {
				t.Fatal(err)
			}
			imported[path] = name
		}
	}
	if len(imported) == 0 {
		t.Fatalf("no file in %s has imports", directory)
	}
	return imported
}

// isStandardLibrary reports whether a package belongs to the standard library. The first element of the path of such
// a package contains no dot and is not the name of this module.
func isStandardLibrary(path string) bool {
	first, _, _ := strings.Cut(path, "/")
	return first != "caperarch" && !strings.Contains(first, ".")
}
