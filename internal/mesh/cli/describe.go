package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"caperarch/meshclient"
)

// describe writes the configuration in force. Text output is a summary without API keys, JSON output is the full
// configuration.
func describe(ctx context.Context, inv *invocation) error {
	doc, err := inv.client.Describe(ctx)
	if err != nil {
		return err
	}
	return inv.write(doc, func(w io.Writer) error { return writeDocument(w, doc) })
}

func writeDocument(w io.Writer, doc *meshclient.Document) error {
	fmt.Fprintf(w, "version %d is in force, built on version %d, with %d items\n",
		doc.ConfigVersion, doc.BaseVersion, len(doc.Resources))
	t := table{header: []string{"TYPE", "NAME", "WHAT"}}
	for _, r := range doc.Resources {
		t.add(r.ResourceType, r.Metadata.Name, summary(r))
	}
	return t.write(w)
}

// specificationFields has the fields that summaries show, for all types of resources.
type specificationFields struct {
	// Fields of routes.
	Hostname        string
	PathPrefix      string
	RouteType       string
	ServiceName     string
	WeightedTargets []weightedTarget
	// Fields of services.
	HealthCheckPath string
	MaxConnections  int
	// Fields of tenants.
	APIKeys  []string `json:"apiKeys"`
	RatePerS float64
	// Fields of limits.
	MaxHeaderBytes int64
	MaxBodyBytes   int64
}

// weightedTarget is a service that receives a share of a route's requests.
type weightedTarget struct {
	ServiceName string
	Weight      float64
}

// summary returns a one-line summary of a resource. It contains no API keys.
func summary(r meshclient.Resource) string {
	var s specificationFields
	if json.Unmarshal(r.Specification, &s) != nil {
		return "of another form than is known here"
	}
	switch r.ResourceType {
	case meshclient.Routes:
		return fmt.Sprintf("%s%s %s to %s", s.Hostname, s.PathPrefix, s.RouteType, s.targets())
	case meshclient.Services:
		return fmt.Sprintf("health %s, %d connections", s.HealthCheckPath, s.MaxConnections)
	case meshclient.Tenants:
		return fmt.Sprintf("%d keys, %g a second", len(s.APIKeys), s.RatePerS)
	}
	return fmt.Sprintf("%d bytes of header, %d of body", s.MaxHeaderBytes, s.MaxBodyBytes)
}

// targets returns the services of a route, separated by commas. If the route has weighted targets, each service is
// followed by its weight.
func (s *specificationFields) targets() string {
	if len(s.WeightedTargets) == 0 {
		return s.ServiceName
	}
	var targets []string
	for _, t := range s.WeightedTargets {
		targets = append(targets, fmt.Sprintf("%s:%g", t.ServiceName, t.Weight))
	}
	return strings.Join(targets, ",")
}
