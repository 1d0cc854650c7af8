package cli

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"slices"

	"caperarch/meshclient"
)

// changeKind is the way in which a resource differs between two configurations, as it is written in JSON output.
type changeKind string

const (
	added   changeKind = "added"
	removed changeKind = "removed"
	changed changeKind = "changed"
)

// changeSymbols maps each kind of change to its symbol in text output.
var changeSymbols = map[changeKind]string{added: "+", removed: "-", changed: "~"}

// difference is a resource that differs between two configurations.
type difference struct {
	Change       changeKind `json:"change"`
	ResourceType string     `json:"resourceType"`
	Name         string     `json:"name,omitempty"`
}

// diffResult is the output of the verb diff.
type diffResult struct {
	VersionInForce int64        `json:"inForce"`
	VersionOfFile  int64        `json:"file"`
	Differences    []difference `json:"differences"`
}

// diff writes the differences between the configuration in force and the configuration of a file.
func diff(ctx context.Context, inv *invocation) error {
	doc, err := inv.readDocument(inv.args[0])
	if err != nil {
		return err
	}
	current, err := inv.client.Describe(ctx)
	if err != nil {
		return err
	}
	result := &diffResult{current.ConfigVersion, doc.ConfigVersion, differences(current, doc)}
	return inv.write(result, result.writeText)
}

func (r *diffResult) writeText(w io.Writer) error {
	fmt.Fprintf(w, "from version %d, which is in force, to version %d of the file: %d differences\n",
		r.VersionInForce, r.VersionOfFile, len(r.Differences))
	for _, d := range r.Differences {
		fmt.Fprintf(w, "%s %s %s\n", changeSymbols[d.Change], d.ResourceType, d.Name)
	}
	return nil
}

// resourceID identifies a resource in a configuration. The name is empty for Limits, because a configuration has at
// most one resource of this type.
type resourceID struct{ resourceType, name string }

func idOf(r meshclient.Resource) resourceID {
	if r.ResourceType == meshclient.Limits {
		return resourceID{resourceType: r.ResourceType}
	}
	return resourceID{r.ResourceType, r.Metadata.Name}
}

// differences returns the changes that turn one configuration into another, sorted by type and name. White space and
// the order of fields in a specification are not compared.
func differences(from, to *meshclient.Document) []difference {
	remaining := make(map[resourceID]meshclient.Resource, len(from.Resources))
	for _, r := range from.Resources {
		remaining[idOf(r)] = r
	}
	result := []difference{} // encodes as an empty list instead of null
	for _, r := range to.Resources {
		old, known := remaining[idOf(r)]
		delete(remaining, idOf(r))
		if !known {
			result = append(result, difference{added, r.ResourceType, r.Metadata.Name})
		} else if !equalJSON(old.Specification, r.Specification) {
			result = append(result, difference{changed, r.ResourceType, r.Metadata.Name})
		}
	}
	for _, r := range remaining {
		result = append(result, difference{removed, r.ResourceType, r.Metadata.Name})
	}
	slices.SortFunc(result, func(a, b difference) int {
		return cmp.Or(
			cmp.Compare(a.ResourceType, b.ResourceType),
			cmp.Compare(a.Name, b.Name),
			cmp.Compare(a.Change, b.Change),
		)
	})
	return result
}

// equalJSON reports whether two texts encode the same JSON value. If a text is not valid JSON, it reports whether the
// texts are equal.
func equalJSON(a, b json.RawMessage) bool {
	var x, y any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return string(a) == string(b)
	}
	return reflect.DeepEqual(x, y)
}
