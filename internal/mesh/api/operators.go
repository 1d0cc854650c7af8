package api

import (
	"context"
	"encoding/json"
	"net/http"

	"caperarch/internal/mesh/config"
	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/rpc"
	"caperarch/meshapi"
)

// MaxChangeBytes bounds a configuration's body: what the log takes as one command, with some room for
// what is written round it. 10,000 routes are some 3 MiB.
const MaxChangeBytes = 7 << 20

// OperatorHandler settles what operators ask.
type OperatorHandler interface {
	// Change takes a whole configuration, or a change of named items, as it came; it returns the
	// version that is in force with it.
	Change(r *http.Request, replace bool, body []byte) (*meshapi.ChangeResponse, error)
	// Describe is the configuration in force, no older than any that was acknowledged before.
	Describe(r *http.Request) (*json.RawMessage, error)
}

// RegisterOperatorRoutes serves what operators call.
func RegisterOperatorRoutes(mux *http.ServeMux, to OperatorHandler) {
	for path, replace := range map[string]bool{meshapi.ReplacePath: true, meshapi.UpdatePath: false} {
		rpc.HandleRaw(mux, "POST "+path, MaxChangeBytes, func(r *http.Request, body []byte) (*meshapi.ChangeResponse, error) {
			return to.Change(r, replace, body)
		})
	}
	rpc.HandleGet(mux, meshapi.DescribePath, to.Describe)
}

// CheckForwarded gives what an operator is told of the answer that another machine gave to an order whose
// body was read whole here. Only an answer that names the order's version says that it was taken, and
// only a verdict on the order refuses it: an address may have passed to a process that knows nothing
// of orders, and a body may be cut short on its way. All else is no clear answer.
func CheckForwarded(version int64, response *meshapi.ChangeResponse, err error) (*meshapi.ChangeResponse, error) {
	switch {
	case err == nil && version > 0 && response.ConfigVersion == version:
		return response, nil
	case err == nil:
		return nil, errs.New(errs.Unreachable, "an answer of version %d to an order of version %d", response.ConfigVersion, version)
	case isRejection(err) || errs.KindOf(err).Status() >= http.StatusInternalServerError:
		return nil, err
	}
	return nil, errs.Wrap(err, errs.Unreachable, "the order was not judged")
}

// isRejection says whether an error is the verdict on an order: that it breaks a rule by itself, or that
// the log has refused it.
func isRejection(err error) bool {
	switch errs.KindOf(err) {
	case errs.Invalid, errs.TooLarge, errs.Stale:
		return true
	}
	return false
}

// FetchDocument reads the configuration from another machine. An answer that is none, as of a process that
// has the address now, is no answer.
func FetchDocument(ctx context.Context, client *http.Client, url string) (*json.RawMessage, error) {
	document, err := rpc.Get[json.RawMessage](ctx, client, url)
	if err != nil {
		return nil, err
	}
	if _, err := config.ParseVersion(*document); err != nil {
		return nil, errs.Wrap(err, errs.Unreachable, "%s gives no configuration", url)
	}
	return document, nil
}
