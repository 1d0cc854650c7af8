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

// difference is one item that two configurations have not alike.
type difference struct {
	Change       string `json:"change"` // added, removed or changed
	ResourceType string `json:"resourceType"`
	Name         string `json:"name,omitempty"`
}

var signs = map[string]string{"added": "+", "removed": "-", "changed": "~"}

// id names an item. Of the limits there is one set.
func id(r meshclient.Resource) [2]string {
	if r.ResourceType == meshclient.Limits {
		return [2]string{r.ResourceType}
	}
	return [2]string{r.ResourceType, r.Metadata.Name}
}

// differences gives what leads from one configuration to another, by kind and name. Spaces and the order of fields make none.
func differences(from, to *meshclient.Document) []difference {
	had := make(map[[2]string]meshclient.Resource, len(from.Resources))
	for _, r := range from.Resources {
		had[id(r)] = r
	}
	all := []difference{}
	for _, r := range to.Resources {
		old, ok := had[id(r)]
		delete(had, id(r))
		if !ok {
			all = append(all, difference{"added", r.ResourceType, r.Metadata.Name})
		} else if !alike(old.Specification, r.Specification) {
			all = append(all, difference{"changed", r.ResourceType, r.Metadata.Name})
		}
	}
	for _, r := range had {
		all = append(all, difference{"removed", r.ResourceType, r.Metadata.Name})
	}
	slices.SortFunc(all, func(a, b difference) int {
		return cmp.Or(cmp.Compare(a.ResourceType, b.ResourceType), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Change, b.Change))
	})
	return all
}

func alike(a, b json.RawMessage) bool {
	var x, y any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return string(a) == string(b)
	}
	return reflect.DeepEqual(x, y)
}

func diff(ctx context.Context, d *errand) error {
	text, err := d.load(d.args[0])
	if err != nil {
		return err
	}
	doc, err := document(text)
	if err != nil {
		return err
	}
	held, err := d.client.Describe(ctx)
	if err != nil {
		return err
	}
	all := differences(held, doc)
	return d.write(struct {
		InForce     int64        `json:"inForce"`
		File        int64        `json:"file"`
		Differences []difference `json:"differences"`
	}{held.ConfigVersion, doc.ConfigVersion, all}, func(w io.Writer) error {
		fmt.Fprintf(w, "from version %d, which is in force, to version %d of the file: %d differences\n", held.ConfigVersion, doc.ConfigVersion, len(all))
		for _, x := range all {
			fmt.Fprintf(w, "%s %s %s\n", signs[x.Change], x.ResourceType, x.Name)
		}
		return nil
	})
}

// apply puts a file in force. Without --base it builds on what is in place, whatever that is.
func apply(ctx context.Context, d *errand) error {
	text, err := d.load(d.args[0])
	if err != nil {
		return err
	}
	doc, err := document(text)
	if err != nil {
		return err
	}
	doc.BaseVersion = d.base
	if d.base < 0 {
		held, err := d.client.Describe(ctx)
		if err != nil {
			return fmt.Errorf("nothing was sent, as the version in place is not known: %w", err)
		}
		if held.ConfigVersion > 0 && held.ConfigVersion == doc.ConfigVersion && len(differences(held, doc)) == 0 {
			return d.applied(held.ConfigVersion, held.BaseVersion, "was in force already")
		}
		doc.BaseVersion = held.ConfigVersion
	}
	version, err := d.client.Replace(ctx, *doc)
	if err != nil {
		return err
	}
	return d.applied(version, doc.BaseVersion, "is in force")
}

func (d *errand) applied(version, base int64, how string) error {
	return d.write(struct {
		ConfigVersion int64 `json:"configVersion"`
		BaseVersion   int64 `json:"baseVersion"`
	}{version, base}, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "version %d %s, built on version %d\n", version, how, base)
		return err
	})
}
