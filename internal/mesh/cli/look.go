package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"caperarch/meshapi"
	"caperarch/meshclient"
)

// table writes rows in columns.
func table(w io.Writer, head string, rows func(row func(cells ...any))) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, strings.ReplaceAll(head, " ", "\t"))
	rows(func(cells ...any) {
		for i, c := range cells {
			if i > 0 {
				fmt.Fprint(t, "\t")
			}
			if c == "" {
				c = "-"
			}
			fmt.Fprint(t, c)
		}
		fmt.Fprintln(t)
	})
	return t.Flush()
}

// words joins those words that hold.
func words(all map[string]bool, order ...string) string {
	var held []string
	for _, word := range order {
		if all[word] {
			held = append(held, word)
		}
	}
	return strings.Join(held, ",")
}

func describe(ctx context.Context, d *errand) error {
	doc, err := d.client.Describe(ctx)
	if err != nil {
		return err
	}
	return d.write(doc, func(w io.Writer) error {
		fmt.Fprintf(w, "version %d is in force, built on version %d, with %d items\n", doc.ConfigVersion, doc.BaseVersion, len(doc.Resources))
		return table(w, "TYPE NAME WHAT", func(row func(...any)) {
			for _, r := range doc.Resources {
				row(r.ResourceType, r.Metadata.Name, summary(r))
			}
		})
	})
}

// summary says what an item is in a few words. It shows no key.
func summary(r meshclient.Resource) string {
	var s struct {
		Hostname, PathPrefix, RouteType, ServiceName string
		WeightedTargets                              []struct {
			ServiceName string
			Weight      float64
		}
		HealthCheckPath string
		MaxConnections  int
		APIKeys         []string `json:"apiKeys"`
		RatePerS        float64
		MaxHeaderBytes  int64
		MaxBodyBytes    int64
	}
	if json.Unmarshal(r.Specification, &s) != nil {
		return "of another form than is known here"
	}
	switch r.ResourceType {
	case meshclient.Routes:
		to := s.ServiceName
		if len(s.WeightedTargets) > 0 {
			var parts []string
			for _, t := range s.WeightedTargets {
				parts = append(parts, fmt.Sprintf("%s:%g", t.ServiceName, t.Weight))
			}
			to = strings.Join(parts, ",")
		}
		return fmt.Sprintf("%s%s %s to %s", s.Hostname, s.PathPrefix, s.RouteType, to)
	case meshclient.Services:
		return fmt.Sprintf("health %s, %d connections", s.HealthCheckPath, s.MaxConnections)
	case meshclient.Tenants:
		return fmt.Sprintf("%d keys, %g a second", len(s.APIKeys), s.RatePerS)
	}
	return fmt.Sprintf("%d bytes of header, %d of body", s.MaxHeaderBytes, s.MaxBodyBytes)
}

// young is added where a machine may not know all yet.
func young(is bool) string {
	if is {
		return "; it has begun or was cut off a moment ago and may not have heard of all"
	}
	return ""
}

func members(ctx context.Context, d *errand) error {
	m, err := d.client.Members(ctx)
	if err != nil {
		return err
	}
	return d.write(m, func(w io.Writer) error {
		fmt.Fprintf(w, "as %s knows it, in term %d%s\n", m.ReportedBy, m.Term, young(m.Syncing))
		err := table(w, "CORE NODE VERSION STATE", func(row func(...any)) {
			for _, c := range m.Core {
				if c.Status == nil {
					row(c.Address, "", "", words(map[string]bool{"leader": c.Leader, "no answer": true}, "leader", "no answer"))
					continue
				}
				row(c.Address, c.Status.ReportedBy, c.Status.ConfigVersion, words(map[string]bool{
					"leader": c.Leader, "voter": c.Status.Voter, "learner": !c.Status.Voter, "changing": c.Status.MembershipChanging,
					"in contact": c.Status.InContact, "out of contact": !c.Status.InContact, "sick": c.Status.StorageFailed,
				}, "leader", "voter", "learner", "changing", "in contact", "out of contact", "sick"))
			}
		})
		if err != nil {
			return err
		}
		return table(w, "SIDECAR ZONE VERSION UPSTREAM STATE", func(row func(...any)) {
			for _, s := range m.Sidecars {
				row(s.Node, s.Zone, s.ConfigVersion, s.Instance, words(map[string]bool{"leaving": s.Leaving, "here": !s.Leaving}, "leaving", "here"))
			}
		})
	})
}

func upstreams(ctx context.Context, d *errand) error {
	list, err := d.client.Upstreams(ctx)
	if err != nil {
		return err
	}
	return d.write(list, func(w io.Writer) error {
		fmt.Fprintf(w, "as %s knows it%s\n", list.ReportedBy, young(list.Syncing))
		return table(w, "UPSTREAM SERVICE ZONE NODE SLOTS STATE", func(row func(...any)) {
			for _, u := range list.Upstreams {
				row(u.Instance, u.Service, u.Zone, u.Node, u.Slots, state(u))
			}
		})
	})
}

func state(u meshapi.Upstream) string {
	return words(map[string]bool{u.State: true, "stale": u.Stale}, u.State, "stale")
}

func view(ctx context.Context, d *errand) error {
	v, err := d.client.NodeStatus(ctx)
	if err != nil {
		return err
	}
	return d.write(v, func(w io.Writer) error {
		leader := v.Leader
		if leader == "" {
			leader = "none is known"
		}
		_, err := fmt.Fprintf(w, "node %s\nmember %s\nterm %d\nleader %s\nvoter %t\nvoters %s\nchanging %t\nversion %d\napplied %d\nin contact %t\nsick %t\n",
			v.ReportedBy, v.MemberID, v.Term, leader, v.Voter, strings.Join(v.Voters, ","), v.MembershipChanging, v.ConfigVersion, v.AppliedIndex, v.InContact, v.StorageFailed)
		return err
	})
}
