package cli

import (
	"context"
	"fmt"
	"io"
)

// applyResult is the output of the verb apply.
type applyResult struct {
	ConfigVersion int64 `json:"configVersion"`
	BaseVersion   int64 `json:"baseVersion"`

	// outcome is the predicate of the line of text output, such as "is in force". JSON output omits it.
	outcome string
}

func (r *applyResult) writeText(w io.Writer) error {
	_, err := fmt.Fprintf(w, "version %d %s, built on version %d\n", r.ConfigVersion, r.outcome, r.BaseVersion)
	return err
}

// apply replaces the configuration in force with the configuration of a file. Without --base, the change is based on
// the version that is in force at the time of the call, and a file whose version and content are already in force is
// not sent.
func apply(ctx context.Context, inv *invocation) error {
	doc, err := inv.readDocument(inv.args[0])
	if err != nil {
		return err
	}
	doc.BaseVersion = inv.baseVersion
	if inv.baseVersion == baseVersionNotGiven {
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
