package cli

import (
	"context"
	"fmt"
	"io"
	"strings"

	"caperarch/meshapi"
)

// view writes the status of the responding core machine.
func view(ctx context.Context, inv *invocation) error {
	status, err := inv.client.NodeStatus(ctx)
	if err != nil {
		return err
	}
	return inv.write(status, func(w io.Writer) error { return writeNodeStatus(w, status) })
}

func writeNodeStatus(w io.Writer, status *meshapi.NodeStatus) error {
	leader := status.Leader
	if leader == "" {
		leader = "none is known"
	}
	lines := []string{
		"node " + status.ReportedBy,
		"member " + status.MemberID,
		fmt.Sprintf("term %d", status.Term),
		"leader " + leader,
		fmt.Sprintf("voter %t", status.Voter),
		"voters " + strings.Join(status.Voters, ","),
		fmt.Sprintf("changing %t", status.MembershipChanging),
		fmt.Sprintf("version %d", status.ConfigVersion),
		fmt.Sprintf("applied %d", status.AppliedIndex),
		fmt.Sprintf("in contact %t", status.InContact),
		fmt.Sprintf("sick %t", status.StorageFailed),
	}
	_, err := fmt.Fprintln(w, strings.Join(lines, "\n"))
	return err
}
