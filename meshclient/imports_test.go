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

// The client library stands above the messages of meshapi and a small package for its connections,
// and on nothing else of the mesh: a program that uses it takes no server code in.
func TestLibraryImportsNothingOfTheServers(t *testing.T) {
	const (
		httpclient = "caperarch/internal/mesh/httpclient"
		eris       = "github.com/rotisserie/eris" // wraps errors, in all of the mesh
	)
	for directory, allowed := range map[string][]string{
		".":                           {"caperarch/meshapi", httpclient, eris},
		"../meshapi":                  nil,
		"../internal/mesh/httpclient": {"golang.org/x/sys/unix"},
	} {
		for path, file := range imports(t, directory) {
			if !isStandardLibrary(path) && !slices.Contains(allowed, path) {
				t.Errorf("%s imports %s", file, path)
			}
		}
	}
}

// imports are the packages that a directory's files apart from tests import, each with one of the
// files that do.
func imports(t *testing.T, directory string) map[string]string {
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
		t.Fatalf("%s has no files that import anything", directory)
	}
	return imported
}

// isStandardLibrary reports whether a package is of the standard library: the first element of its
// path has no dot, and is not this module.
func isStandardLibrary(path string) bool {
	first, _, _ := strings.Cut(path, "/")
	return first != "caperarch" && !strings.Contains(first, ".")
}
