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

// MaxChangeBytes bounds the body of a change request. It is less than the size limit of a log command (8
// MiB), which leaves room for the envelope around the body. A configuration with 10,000 routes takes
// some 3 MiB.
const MaxChangeBytes = 7 << 20

// OperatorHandler processes the requests of operators. Its methods are called concurrently, and their
// errors are of the kinds of package errs.
type OperatorHandler interface {
	// Replace replaces the whole configuration by the unparsed body. The response contains the
	// configuration version that the body has set.
	Replace(r *http.Request, body []byte) (*meshapi.ChangeResponse, error)
	// Update applies the unparsed body to the items that the body names. Its response is like that of
	// Replace.
	Update(r *http.Request, body []byte) (*meshapi.ChangeResponse, error)
	// Describe returns the configuration in force. It is at least as new as any change that was
	// acknowledged before the call.
	Describe(r *http.Request) (*json.RawMessage, error)
}

// RegisterOperatorRoutes registers the routes of operators' requests, which the handler processes.
func RegisterOperatorRoutes(mux *http.ServeMux, handler OperatorHandler) {
	rpc.HandleRaw(mux, "POST "+meshapi.ReplacePath, MaxChangeBytes, handler.Replace)
	rpc.HandleRaw(mux, "POST "+meshapi.UpdatePath, MaxChangeBytes, handler.Update)
	rpc.HandleGet(mux, meshapi.DescribePath, handler.Describe)
}

// CheckForwarded checks the response of another machine to a change request of the given version, and
// returns the response or error for the operator. The request's body must have been read in full on this
// machine.
//
// The change counts as acknowledged only if the response names its version, and as rejected only if the
// error is a decision on the request itself: the response may come from another process that now has the
// address, and the body may have been truncated on its way to the other machine. Of the other errors,
// those with a 5xx status are returned as they are. All other outcomes become an error of kind
// Unreachable, which leaves open whether the change was made.
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

// isRejection reports whether an error is a decision on a change request: the request is invalid by
// itself (Invalid, TooLarge), or the log has rejected it (Stale).
func isRejection(err error) bool {
	switch errs.KindOf(err) {
	case errs.Invalid, errs.TooLarge, errs.Stale:
		return true
	}
	return false
}

// FetchDocument requests the configuration from another machine. If the response is not a configuration,
// such as that of another process that now has the address, the error is of kind Unreachable.
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
