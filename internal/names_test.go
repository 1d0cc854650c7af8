package internal_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// roots are the directories whose Go files the checks read, with all below them: the whole module.
// Generated files are left out.
var roots = []string{".."}

// source is a Go file.
type source struct {
	path  string
	set   *token.FileSet
	file  *ast.File
	tests bool
}

// at returns where a node stands, for messages.
func (s source) at(p token.Pos) string {
	position := s.set.Position(p)
	return filepath.ToSlash(position.Filename) + ":" + position.String()[len(position.Filename)+1:]
}

// sources returns all Go files below the roots.
func sources(t *testing.T) []source {
	t.Helper()
	var all []source
	for _, root := range roots {
		err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || filepath.Ext(path) != ".go" {
				return err
			}
			set := token.NewFileSet()
			file, err := parser.ParseFile(set, path, nil, parser.ParseComments)
			if err != nil || ast.IsGenerated(file) {
				return err
			}
			all = append(all, source{path, set, file, strings.HasSuffix(path, "_test.go")})
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return all
}

// Each package has a comment, and so has each exported name: functions, methods of exported types,
// types, constants and variables. One comment on a group of constants or variables is enough.
func TestExportedNamesAreDocumented(t *testing.T) {
	documented := map[string]bool{} // packages by their directory
	for _, s := range sources(t) {
		if s.tests {
			continue
		}
		directory := filepath.Dir(s.path)
		documented[directory] = documented[directory] || s.file.Doc != nil
		for _, declaration := range s.file.Decls {
			for _, name := range undocumented(declaration) {
				t.Errorf("%s: %s has no comment", s.at(name.Pos()), name.Name)
			}
		}
	}
	for directory, ok := range documented {
		if !ok {
			t.Errorf("the package in %s has no comment", directory)
		}
	}
}

// undocumented returns the exported names of a declaration that have no comment.
func undocumented(declaration ast.Decl) []*ast.Ident {
	switch d := declaration.(type) {
	case *ast.FuncDecl:
		if d.Name.IsExported() && d.Doc == nil && ast.IsExported(receiver(d)) {
			return []*ast.Ident{d.Name}
		}
	case *ast.GenDecl:
		if d.Doc == nil || d.Tok == token.TYPE && d.Lparen.IsValid() {
			return undocumentedSpecs(d.Specs)
		}
	}
	return nil
}

func undocumentedSpecs(specs []ast.Spec) []*ast.Ident {
	var found []*ast.Ident
	for _, spec := range specs {
		switch s := spec.(type) {
		case *ast.TypeSpec:
			if s.Name.IsExported() && s.Doc == nil {
				found = append(found, s.Name)
			}
		case *ast.ValueSpec:
			for _, name := range s.Names {
				if name.IsExported() && s.Doc == nil && s.Comment == nil {
					found = append(found, name)
				}
			}
		}
	}
	return found
}

// receiver returns the name of a method's type, and a function's own name where there is none.
func receiver(d *ast.FuncDecl) string {
	if d.Recv == nil {
		return d.Name.Name
	}
	kind := d.Recv.List[0].Type
	for {
		switch k := kind.(type) {
		case *ast.StarExpr:
			kind = k.X
		case *ast.IndexExpr:
			kind = k.X
		case *ast.IndexListExpr:
			kind = k.X
		case *ast.Ident:
			return k.Name
		default:
			return d.Name.Name
		}
	}
}

// withdrawn are the words of an earlier house style, whole or as parts of longer names.
var withdrawn = regexp.MustCompile(`(?i)charter|carrel|athenaeum|sequencer|stacks|catalogue|purse|librarian|dealer|crumbs|archivist`)

// keys are where withdrawn words stay, since running processes know them: keys of messages, as tags
// and in JSON that is written out. charter is a configuration on its way to a sidecar and the version
// that one has, catalogue a change of the registry on the same way, sequencer the leader's address
// in the answer to a lease.
var keys = regexp.MustCompile(`"(charter|catalogue|sequencer)(,omitempty)?"`)

// The withdrawn words stand in no name, comment or text.
func TestWithdrawnWordsStayAway(t *testing.T) {
	for _, s := range sources(t) {
		if filepath.Base(s.path) == "names_test.go" && s.file.Name.Name == "internal_test" {
			continue // it lists them
		}
		for _, group := range s.file.Comments {
			if word := withdrawn.FindString(group.Text()); word != "" {
				t.Errorf("%s: a comment says %q", s.at(group.Pos()), word)
			}
		}
		ast.Inspect(s.file, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.Ident:
				if withdrawn.MatchString(n.Name) {
					t.Errorf("%s: the name %s", s.at(n.Pos()), n.Name)
				}
			case *ast.BasicLit:
				if word := withdrawn.FindString(keys.ReplaceAllString(n.Value, "")); word != "" {
					t.Errorf("%s: the text %.60s says %q", s.at(n.Pos()), n.Value, word)
				}
			}
			return true
		})
	}
}
