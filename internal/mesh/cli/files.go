package cli

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"os"
	"strings"

	"github.com/goccy/go-yaml"

	"caperarch/internal/mesh/api"
	"caperarch/internal/mesh/config"
	"caperarch/meshclient"
)

// stdinName is the file name that means the standard input.
const stdinName = "-"

// readFile reads a file of at most the bytes that the mesh accepts. The limit guards against files
// that are no configuration. Its errors are usageErrors.
func (inv *invocation) readFile(name string) ([]byte, error) {
	from := inv.stdin
	if name != stdinName {
		f, err := os.Open(name)
		if err != nil {
			return nil, usageErrorf("%v", err)
		}
		defer func() { _ = f.Close() }()
		from = f
	}
	text, err := io.ReadAll(io.LimitReader(from, api.MaxChangeBytes+1))
	switch {
	case err != nil:
		return nil, usageErrorf("%v", err)
	case len(text) > api.MaxChangeBytes:
		return nil, usageErrorf("%s: over %d bytes", name, api.MaxChangeBytes)
	}
	return text, nil
}

// readDocument reads a file that holds a configuration.
func (inv *invocation) readDocument(name string) (*meshclient.Document, error) {
	text, err := inv.readFile(name)
	if err != nil {
		return nil, err
	}
	return parseDocument(text)
}

// toJSON converts a text that is JSON or YAML.
func toJSON(text []byte) ([]byte, error) {
	if trimmed := bytes.TrimSpace(text); len(trimmed) == 0 || trimmed[0] == '{' {
		return trimmed, nil
	}
	converted, err := yaml.YAMLToJSON(text)
	if err != nil {
		return nil, usageErrorf("neither JSON nor YAML: %s", firstLine(err))
	}
	return converted, nil
}

// firstLine is the first line of an error: the YAML parser quotes the source below it.
func firstLine(err error) string {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line
}

// parseDocument parses a configuration. An unknown field outside of specifications is an error, so
// that a misspelt name is found.
func parseDocument(text []byte) (*meshclient.Document, error) {
	encoded, err := toJSON(text)
	if err != nil {
		return nil, err
	}
	decoder := json.NewDecoder(bytes.NewReader(encoded))
	decoder.DisallowUnknownFields()
	doc := new(meshclient.Document)
	if err := decoder.Decode(doc); err != nil {
		return nil, usageErrorf("not a configuration: %v", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, usageErrorf("not a configuration: something follows it")
	}
	return doc, nil
}

// snapshotOf reads a configuration as the mesh does; its error is the mesh's.
func snapshotOf(doc *meshclient.Document) (*config.Snapshot, error) {
	text, err := json.Marshal(struct {
		Document *meshclient.Document `json:"document"`
	}{doc})
	if err != nil {
		return nil, err
	}
	return config.Decode(text)
}
