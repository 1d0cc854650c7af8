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

// changeKind says how a resource differs, as JSON output has it.
type changeKind string

const (
	added   changeKind = "added"
	removed changeKind = "removed"
	changed changeKind = "changed"
)

// signs are the kinds of changes in text output.
var signs = map[changeKind]string{added: "+", removed: "-", changed: "~"}

// difference is a resource that two configurations do not have alike.
type difference struct {
	Change       changeKind `json:"change"`
	ResourceType string     `json:"resourceType"`
	Name         string     `json:"name,omitempty"`
}

// diffResult is what diff writes.
type diffResult struct {
	VersionInForce int64        `json:"inForce"`
	VersionOfFile  int64        `json:"file"`
	Differences    []difference `json:"differences"`
}

// diff writes what a file would change in the configuration in force.
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
		fmt.Fprintf(w, "%s %s %s\n", signs[d.Change], d.ResourceType, d.Name)
	}
	return nil
}

// resourceID identifies a resource in a configuration. The limits have no name, as there is one set
// of them.
type resourceID struct{ resourceType, name string }

func idOf(r meshclient.Resource) resourceID {
	if r.ResourceType == meshclient.Limits {
		return resourceID{resourceType: r.ResourceType}
	}
	return resourceID{r.ResourceType, r.Metadata.Name}
}

// differences returns what leads from one configuration to another, by type and name. White space
// and the order of fields make none.
func differences(from, to *meshclient.Document) []difference {
	remaining := make(map[resourceID]meshclient.Resource, len(from.Resources))
	for _, r := range from.Resources {
		remaining[idOf(r)] = r
	}
	result := []difference{} // JSON has an empty list, not null
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

// equalJSON reports whether two texts hold the same JSON value, or are the same where one holds none.
func equalJSON(a, b json.RawMessage) bool {
	var x, y any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return string(a) == string(b)
	}
	return reflect.DeepEqual(x, y)
}
