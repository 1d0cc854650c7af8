package cli

import (
	"context"
	"fmt"
	"io"
)

// applyResult is what apply writes.
type applyResult struct {
	ConfigVersion int64 `json:"configVersion"`
	BaseVersion   int64 `json:"baseVersion"`

	// outcome is how text output says that the version is in force.
	outcome string
}

func (r *applyResult) writeText(w io.Writer) error {
	_, err := fmt.Fprintf(w, "version %d %s, built on version %d\n", r.ConfigVersion, r.outcome, r.BaseVersion)
	return err
}

// apply puts the configuration of a file in force. Without --base it builds on the version in
// force, whatever that is, and a file that is in force already is not sent.
func apply(ctx context.Context, inv *invocation) error {
	doc, err := inv.readDocument(inv.args[0])
	if err != nil {
		return err
	}
	doc.BaseVersion = inv.baseVersion
	if inv.baseVersion == noBase {
		current, err := inv.client.Describe(ctx)
		if err != nil {
			return fmt.Errorf("nothing was sent, as the version in place is not known: %w", err)
		}
		sameVersion := current.ConfigVersion > 0 && current.ConfigVersion == doc.ConfigVersion
		if sameVersion && len(differences(current, doc)) == 0 {
			result := &applyResult{current.ConfigVersion, current.BaseVersion, "was in force already"}
			return inv.write(result, result.writeText)
		}
		doc.BaseVersion = current.ConfigVersion
	}
	version, err := inv.client.Replace(ctx, *doc)
	if err != nil {
		return err
	}
	result := &applyResult{version, doc.BaseVersion, "is in force"}
	return inv.write(result, result.writeText)
}
