package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"caperarch/internal/mesh/settings"
	"caperarch/meshclient"
)

// The kinds of files that check knows, as JSON output has them.
const (
	kindConfiguration = "configuration"
	kindSettings      = "settings"
)

// checkResult is what check writes.
type checkResult struct {
	Kind   string   `json:"kind"`
	Faults []string `json:"faults"`
}

// check writes the faults of a settings file or a configuration. With faults it returns a usageError.
func check(_ context.Context, inv *invocation) error {
	text, err := inv.readFile(inv.args[0])
	if err != nil {
		return err
	}
	kind, err := kindOfFile(text)
	if err != nil {
		return err
	}
	var faults []string
	if kind == kindSettings {
		if _, err := settings.Parse(text); err != nil {
			faults = []string{err.Error()}
		}
	} else {
		doc, err := parseDocument(text)
		if err != nil {
			return err
		}
		if faults, err = faultsOf(doc); err != nil {
			return err
		}
	}
	result := &checkResult{Kind: kind, Faults: append([]string{}, faults...)} // JSON has an empty list, not null
	if err := inv.write(result, result.writeText); err != nil {
		return err
	}
	if len(faults) > 0 {
		return usageErrorf("faults in the %s: %d", kind, len(faults))
	}
	return nil
}

func (r *checkResult) writeText(w io.Writer) error {
	if len(r.Faults) == 0 {
		fmt.Fprintf(w, "%s: no fault was found\n", r.Kind)
	}
	for _, fault := range r.Faults {
		fmt.Fprintln(w, fault)
	}
	return nil
}

// kindOfFile distinguishes settings from a configuration by their top-level fields.
func kindOfFile(text []byte) (string, error) {
	encoded, err := toJSON(text)
	if err != nil {
		return "", err
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(encoded, &fields); err != nil {
		return "", usageErrorf("neither settings nor a configuration: %v", err)
	}
	if _, ok := fields["self"]; ok || fields["network"] != nil {
		return kindSettings, nil
	}
	return kindConfiguration, nil
}

// faultsOf returns the faults of a configuration: of each resource its first one; and where no
// resource has one, the first one between them.
func faultsOf(doc *meshclient.Document) ([]string, error) {
	if doc.Resources == nil {
		return []string{"resources: the list is missing"}, nil
	}
	stubs, err := serviceStubs(doc)
	if err != nil {
		return nil, err
	}
	var faults []string
	if doc.ConfigVersion < 1 {
		faults = append(faults, fmt.Sprintf("configVersion: %d is not above 0", doc.ConfigVersion))
	}
	for _, r := range doc.Resources {
		if _, err := snapshotOf(documentOf(r, stubs)); err != nil {
			message := trimName(err.Error(), r)
			faults = append(faults, fmt.Sprintf("%s %q: %s", r.ResourceType, r.Metadata.Name, message))
		}
	}
	if len(faults) > 0 {
		return faults, nil
	}
	if _, err := snapshotOf(doc); err != nil {
		faults = append(faults, err.Error())
	}
	return faults, nil
}

// serviceStubs returns a valid service for each name of a service in the configuration.
func serviceStubs(doc *meshclient.Document) (map[string]meshclient.Resource, error) {
	stubs := make(map[string]meshclient.Resource)
	for _, r := range doc.Resources {
		if r.ResourceType != meshclient.Services {
			continue
		}
		stub, err := meshclient.NewResource(meshclient.Services, r.Metadata.Name, struct{}{})
		if err != nil {
			return nil, err
		}
		stubs[r.Metadata.Name] = stub
	}
	return stubs, nil
}

// documentOf is a configuration of one resource, with the stubs of just those services that it names.
func documentOf(r meshclient.Resource, stubs map[string]meshclient.Resource) *meshclient.Document {
	doc := &meshclient.Document{ConfigVersion: 1, Resources: []meshclient.Resource{r}}
	for _, name := range serviceNames(r) {
		if stub, ok := stubs[name]; ok {
			doc.Resources = append(doc.Resources, stub)
		}
	}
	return doc
}

// serviceNames returns the services that a route names, each once.
func serviceNames(r meshclient.Resource) []string {
	var route struct {
		ServiceName     string
		WeightedTargets []struct{ ServiceName string }
	}
	if r.ResourceType != meshclient.Routes || json.Unmarshal(r.Specification, &route) != nil {
		return nil // what is wrong with it is found when it is read as the mesh does
	}
	names := []string{route.ServiceName}
	for _, t := range route.WeightedTargets {
		names = append(names, t.ServiceName)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// trimName removes from the start of a message what names the resource, as its line does so
// already: its name, or its position, which is not the one in the file.
func trimName(message string, r meshclient.Resource) string {
	if strings.HasPrefix(message, "resource 0 (") {
		if _, rest, ok := strings.Cut(message, "): "); ok {
			return rest
		}
	}
	return strings.TrimPrefix(message, fmt.Sprintf("%s %q: ", r.ResourceType, r.Metadata.Name))
}
