package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"

	"caperarch/internal/mesh/api"
	"caperarch/internal/mesh/config"
	"caperarch/internal/mesh/settings"
	"caperarch/meshclient"
)

// load reads the file that is named, of at most the bytes that the mesh takes. The limit guards against files that are no configuration.
func (d *errand) load(name string) ([]byte, error) {
	from := d.in
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, wrongly("%v", err)
		}
		defer func() { _ = f.Close() }()
		from = f
	}
	text, err := io.ReadAll(io.LimitReader(from, api.MaxChangeBytes+1))
	switch {
	case err != nil:
		return nil, wrongly("%v", err)
	case len(text) > api.MaxChangeBytes:
		return nil, wrongly("%s: over %d bytes", name, api.MaxChangeBytes)
	}
	return text, nil
}

// tree gives a file's text as JSON.
func tree(text []byte) ([]byte, error) {
	if trimmed := bytes.TrimSpace(text); len(trimmed) == 0 || trimmed[0] == '{' {
		return trimmed, nil
	}
	converted, err := yaml.YAMLToJSON(text)
	if err != nil {
		return nil, wrongly("neither JSON nor YAML: %s", firstLine(err))
	}
	return converted, nil
}

// firstLine gives an error's first line: the YAML reader quotes the source under it.
func firstLine(err error) string {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line
}

// document reads a configuration. A field that no configuration has is refused outside of specifications, so that a slip of the pen is not passed over.
func document(text []byte) (*meshclient.Document, error) {
	whole, err := tree(text)
	if err != nil {
		return nil, err
	}
	read := json.NewDecoder(bytes.NewReader(whole))
	read.DisallowUnknownFields()
	doc := new(meshclient.Document)
	if err := read.Decode(doc); err != nil {
		return nil, wrongly("not a configuration: %v", err)
	}
	if _, err := read.Token(); !errors.Is(err, io.EOF) {
		return nil, wrongly("not a configuration: something follows it")
	}
	return doc, nil
}

// charterOf reads a configuration as the mesh does.
func charterOf(doc *meshclient.Document) (*config.Snapshot, error) {
	text, err := json.Marshal(struct {
		Document *meshclient.Document `json:"document"`
	}{doc})
	if err != nil {
		return nil, err
	}
	return config.Decode(text)
}

// check tells the faults of a file.
func check(_ context.Context, d *errand) error {
	text, err := d.load(d.args[0])
	if err != nil {
		return err
	}
	whole, err := tree(text)
	if err != nil {
		return err
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(whole, &fields); err != nil {
		return wrongly("neither settings nor a configuration: %v", err)
	}
	kind, faults := "configuration", []string(nil)
	if _, ok := fields["self"]; ok || fields["network"] != nil {
		kind = "settings"
		if _, err := settings.Parse(text); err != nil {
			faults = []string{err.Error()}
		}
	} else {
		doc, err := document(text)
		if err != nil {
			return err
		}
		if faults, err = faultsOf(doc); err != nil {
			return err
		}
	}
	err = d.write(struct {
		Kind   string   `json:"kind"`
		Faults []string `json:"faults"`
	}{kind, append([]string{}, faults...)}, func(w io.Writer) error {
		if len(faults) == 0 {
			fmt.Fprintf(w, "%s: no fault was found\n", kind)
		}
		for _, f := range faults {
			fmt.Fprintln(w, f)
		}
		return nil
	})
	if err == nil && len(faults) > 0 {
		err = wrongly("faults in the %s: %d", kind, len(faults))
	}
	return err
}

// faultsOf gives the faults of a configuration: of each item its first one; and where the items have none, the first that lies between them.
func faultsOf(doc *meshclient.Document) ([]string, error) {
	if doc.Resources == nil {
		return []string{"resources: the list is missing"}, nil
	}
	services := make(map[string]meshclient.Resource)
	for _, r := range doc.Resources {
		if r.ResourceType == meshclient.Services {
			stub, err := meshclient.NewResource(meshclient.Services, r.Metadata.Name, struct{}{})
			if err != nil {
				return nil, err
			}
			services[r.Metadata.Name] = stub
		}
	}
	var faults []string
	if doc.ConfigVersion < 1 {
		faults = append(faults, fmt.Sprintf("configVersion: %d is not above 0", doc.ConfigVersion))
	}
	for _, r := range doc.Resources {
		// An item is read with those services only that it names and the file has.
		alone := meshclient.Document{ConfigVersion: 1, Resources: []meshclient.Resource{r}}
		for _, name := range named(r) {
			if stub, ok := services[name]; ok {
				alone.Resources = append(alone.Resources, stub)
			}
		}
		if _, err := charterOf(&alone); err != nil {
			faults = append(faults, fmt.Sprintf("%s %q: %s", r.ResourceType, r.Metadata.Name, cutName(err.Error(), r)))
		}
	}
	if len(faults) > 0 {
		return faults, nil
	}
	if _, err := charterOf(doc); err != nil {
		faults = append(faults, err.Error())
	}
	return faults, nil
}

// named gives the services that a route names, each once.
func named(r meshclient.Resource) []string {
	var route struct {
		ServiceName     string
		WeightedTargets []struct{ ServiceName string }
	}
	if r.ResourceType != meshclient.Routes || json.Unmarshal(r.Specification, &route) != nil {
		return nil // what is wrong with it is found when it is read for what it is
	}
	names := []string{route.ServiceName}
	for _, t := range route.WeightedTargets {
		names = append(names, t.ServiceName)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// cutName cuts off what names the item where the message begins with it, as its line does already: its name, or its place in the list, which is not that of the file.
func cutName(message string, r meshclient.Resource) string {
	if strings.HasPrefix(message, "resource 0 (") {
		if _, rest, ok := strings.Cut(message, "): "); ok {
			return rest
		}
	}
	return strings.TrimPrefix(message, fmt.Sprintf("%s %q: ", r.ResourceType, r.Metadata.Name))
}
