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

// The kinds of files that the verb check accepts, as they are written in JSON output.
const (
	kindConfiguration = "configuration"
	kindSettings      = "settings"
)

// checkResult is the output of the verb check.
type checkResult struct {
	Kind   string   `json:"kind"`
	Faults []string `json:"faults"`
}

// check writes the faults of a settings file or of a configuration file. If the file has faults, check returns a
// usageError after it has written them.
func check(_ context.Context, inv *invocation) error {
	text, err := inv.readFile(inv.args[0])
	if err != nil {
		return err
	}
	kind, err := fileKind(text)
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
		if faults, err = configurationFaults(doc); err != nil {
			return err
		}
	}
	result := &checkResult{Kind: kind, Faults: append([]string{}, faults...)} // encodes as an empty list instead of null
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

// fileKind determines from the top-level fields whether a file holds settings or a configuration. Only settings have
// a field "self" or "network".
func fileKind(text []byte) (string, error) {
	encoded, err := toJSON(text)
	if err != nil {
		return "", err
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(encoded, &fields); err != nil {
		return "", usageErrorf("file is neither a settings file nor a configuration: %v", err)
	}
	if _, ok := fields["self"]; ok || fields["network"] != nil {
		return kindSettings, nil
	}
	return kindConfiguration, nil
}

// configurationFaults returns the faults of a configuration: an invalid version and the first fault of each resource.
// If there are none, it returns the first fault that involves several resources, such as an API key that two
// tenants share.
func configurationFaults(doc *meshclient.Document) ([]string, error) {
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
		if _, err := decodeSnapshot(singleResourceDocument(r, stubs)); err != nil {
			message := trimResourceName(err.Error(), r)
			faults = append(faults, fmt.Sprintf("%s %q: %s", r.ResourceType, r.Metadata.Name, message))
		}
	}
	if len(faults) > 0 {
		return faults, nil
	}
	if _, err := decodeSnapshot(doc); err != nil {
		faults = append(faults, err.Error())
	}
	return faults, nil
}

// serviceStubs returns a valid placeholder for each service in the configuration, by the service's name. With the
// placeholders, a route can be checked without the faults of the services that it names.
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

// singleResourceDocument returns a configuration that consists of one resource and the stubs of the services that the
// resource names.
func singleResourceDocument(r meshclient.Resource, stubs map[string]meshclient.Resource) *meshclient.Document {
	doc := &meshclient.Document{ConfigVersion: 1, Resources: []meshclient.Resource{r}}
	for _, name := range referencedServices(r) {
		if stub, ok := stubs[name]; ok {
			doc.Resources = append(doc.Resources, stub)
		}
	}
	return doc
}

// referencedServices returns the names of the services that a route sends requests to, without duplicates. Other
// resources name no services.
func referencedServices(r meshclient.Resource) []string {
	var route struct {
		ServiceName     string
		WeightedTargets []struct{ ServiceName string }
	}
	if r.ResourceType != meshclient.Routes || json.Unmarshal(r.Specification, &route) != nil {
		return nil // decodeSnapshot reports the error in the specification
	}
	names := []string{route.ServiceName}
	for _, t := range route.WeightedTargets {
		names = append(names, t.ServiceName)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// trimResourceName removes the prefix of a message that identifies the resource, because check writes the resource's
// type and name in front of each message. The prefix is the type and name, or the position in the list of resources.
// The position is that in the single-resource document and differs from the position in the file.
func trimResourceName(message string, r meshclient.Resource) string {
	if strings.HasPrefix(message, "resource 0 (") {
		if _, rest, ok := strings.Cut(message, "): "); ok {
			return rest
		}
	}
	return strings.TrimPrefix(message, fmt.Sprintf("%s %q: ", r.ResourceType, r.Metadata.Name))
}
