package cli

import (
	"context"
	"fmt"
	"io"

	"caperarch/meshapi"
)

// members writes the core machines and the sidecars that the responding core machine knows.
func members(ctx context.Context, inv *invocation) error {
	list, err := inv.client.Members(ctx)
	if err != nil {
		return err
	}
	return inv.write(list, func(w io.Writer) error { return writeMembers(w, list) })
}

func writeMembers(w io.Writer, list *meshapi.Members) error {
	fmt.Fprintf(w, "as %s knows it, in term %d%s\n", list.ReportedBy, list.Term, syncingNote(list.Syncing))
	core := table{header: []string{"CORE", "NODE", "VERSION", "STATE"}}
	for _, c := range list.Core {
		node, version := any(""), any("")
		if c.Status != nil {
			node, version = c.Status.ReportedBy, c.Status.ConfigVersion
		}
		core.add(c.Address, node, version, coreState(c).String())
	}
	if err := core.write(w); err != nil {
		return err
	}
	sidecars := table{header: []string{"SIDECAR", "ZONE", "VERSION", "UPSTREAM", "STATE"}}
	for _, s := range list.Sidecars {
		var state labels
		state.addEither(s.Leaving, "leaving", "here")
		sidecars.add(s.Node, s.Zone, s.ConfigVersion, s.Instance, state.String())
	}
	return sidecars.write(w)
}

// coreState returns the state of a core machine as the responding core machine knows it.
func coreState(c meshapi.CoreMember) labels {
	var state labels
	state.addIf(c.Leader, "leader")
	if c.Status == nil {
		return append(state, "no answer")
	}
	state.addEither(c.Status.Voter, "voter", "learner")
	state.addIf(c.Status.MembershipChanging, "changing")
	state.addEither(c.Status.InContact, "in contact", "out of contact")
	state.addIf(c.Status.StorageFailed, "sick")
	return state
}
