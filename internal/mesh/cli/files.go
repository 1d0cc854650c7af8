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

// stdinName is the file name that stands for the standard input.
const stdinName = "-"

// readFile reads a file of at most api.MaxChangeBytes, which is the largest change that the mesh accepts. The limit
// prevents reading large files that are not configurations into memory. The error is a usageError.
func (inv *invocation) readFile(name string) ([]byte, error) {
	input := inv.stdin
	if name != stdinName {
		f, err := os.Open(name)
		if err != nil {
			return nil, usageErrorf("%v", err)
		}
		defer func() { _ = f.Close() }()
		input = f
	}
	text, err := io.ReadAll(io.LimitReader(input, api.MaxChangeBytes+1))
	switch {
	case err != nil:
		return nil, usageErrorf("%v", err)
	case len(text) > api.MaxChangeBytes:
		return nil, usageErrorf("%s: file is larger than %d bytes", name, api.MaxChangeBytes)
	}
	return text, nil
}

// readDocument reads and parses a configuration file.
func (inv *invocation) readDocument(name string) (*meshclient.Document, error) {
	text, err := inv.readFile(name)
	if err != nil {
		return nil, err
	}
	return parseDocument(text)
}

// toJSON converts a JSON or YAML text to JSON. The error is a usageError.
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

// firstLine returns the first line of an error message. The YAML parser quotes the source text in the lines after it.
func firstLine(err error) string {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line
}

// parseDocument parses a configuration in JSON or YAML. It rejects unknown fields outside of specifications, so that
// misspelled field names are reported.
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
		return nil, usageErrorf("not a configuration: unexpected data after the JSON value")
	}
	return doc, nil
}

// decodeSnapshot decodes and validates a configuration as the machines of the mesh do. The error has the text that
// the mesh would return.
func decodeSnapshot(doc *meshclient.Document) (*config.Snapshot, error) {
	text, err := json.Marshal(struct {
		Document *meshclient.Document `json:"document"`
	}{doc})
	if err != nil {
		return nil, err
	}
	return config.Decode(text)
}
