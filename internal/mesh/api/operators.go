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

// MaxChangeBytes bounds the body of a change request: what the log takes as one command, less its envelope.
// 10,000 routes are some 3 MiB.
const MaxChangeBytes = 7 << 20

// OperatorHandler handles the requests of operators. Its methods are called from many goroutines,
// and their errors are of the kinds of package errs.
type OperatorHandler interface {
	// Replace replaces the whole configuration by the body, which is unparsed. The response names
	// the version in force with it.
	Replace(r *http.Request, body []byte) (*meshapi.ChangeResponse, error)
	// Update applies the body, which is unparsed, to the items that it names, and answers as Replace does.
	Update(r *http.Request, body []byte) (*meshapi.ChangeResponse, error)
	// Describe returns the configuration in force, no older than any that was acknowledged before.
	Describe(r *http.Request) (*json.RawMessage, error)
}

// RegisterOperatorRoutes registers the routes of operators' requests, served by the handler.
func RegisterOperatorRoutes(mux *http.ServeMux, handler OperatorHandler) {
	rpc.HandleRaw(mux, "POST "+meshapi.ReplacePath, MaxChangeBytes, handler.Replace)
	rpc.HandleRaw(mux, "POST "+meshapi.UpdatePath, MaxChangeBytes, handler.Update)
	rpc.HandleGet(mux, meshapi.DescribePath, handler.Describe)
}

// CheckForwarded returns what an operator is answered when another machine answered a change
// request of that version, whose body was read in full here. Only a response that names the version
// acknowledges it, and only a verdict on the request itself rejects it: another process may have
// got the address, and a body may be cut short on its way. All else is Unreachable, which leaves
// open whether the change was made.
func CheckForwarded(
	version int64, response *meshapi.ChangeResponse, err error,
) (*meshapi.ChangeResponse, error) {
	switch {
	case err == nil && version > 0 && response.ConfigVersion == version:
		return response, nil
	case err == nil:
		return nil, errs.New(errs.Unreachable,
			"an answer of version %d to an order of version %d", response.ConfigVersion, version)
	case isRejection(err) || errs.KindOf(err).Status() >= http.StatusInternalServerError:
		return nil, err
	}
	return nil, errs.Wrap(err, errs.Unreachable, "the order was not judged")
}

// isRejection reports whether an error is the verdict on a change request: that it breaks a rule by
// itself, or that the log has rejected it.
func isRejection(err error) bool {
	switch errs.KindOf(err) {
	case errs.Invalid, errs.TooLarge, errs.Stale:
		return true
	}
	return false
}

// FetchDocument reads the configuration from another machine. If the response is none, as from
// another process that has got the address, the error is Unreachable.
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
