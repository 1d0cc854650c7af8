package cli

import (
	"context"
	"fmt"
	"io"

	"caperarch/meshapi"
)

// upstreams writes the upstreams that the responding core machine knows.
func upstreams(ctx context.Context, inv *invocation) error {
	list, err := inv.client.Upstreams(ctx)
	if err != nil {
		return err
	}
	return inv.write(list, func(w io.Writer) error { return writeUpstreams(w, list) })
}

func writeUpstreams(w io.Writer, list *meshapi.UpstreamList) error {
	fmt.Fprintf(w, "as %s knows it%s\n", list.ReportedBy, syncingNote(list.Syncing))
	t := table{header: []string{"UPSTREAM", "SERVICE", "ZONE", "NODE", "SLOTS", "STATE"}}
	for _, u := range list.Upstreams {
		state := labels{u.State}
		state.addIf(u.Stale, "stale")
		t.add(u.Instance, u.Service, u.Zone, u.Node, u.Slots, state.String())
	}
	return t.write(w)
}
