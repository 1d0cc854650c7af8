package rpc

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"caperarch/internal/mesh/errs"
	"caperarch/meshapi"
)

const (
	// maxResponseBytes bounds a response. It guards the caller's memory against a faulty peer, and
	// leaves room for the largest configuration (64 MiB) with its envelope.
	maxResponseBytes = 72 << 20
	// maxErrorBytes bounds what is read of a response that is an error.
	maxErrorBytes = 16 << 10
)

// Call posts the request as JSON and returns the response. A response that is not 2xx is returned
// as an error of the kind that the peer named, and of Internal if it named none. If there is no
// response, if it breaks off, or if ctx ends first, the error is Unreachable: whether the peer did
// what was asked is then unknown.
func Call[Req, Resp any](ctx context.Context, c *http.Client, url string, request *Req) (*Resp, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "encode the request to %s", url)
	}
	return Post[Resp](ctx, c, url, body)
}

// Post is Call with a body that is encoded already, and need not be JSON.
func Post[Resp any](ctx context.Context, c *http.Client, url string, body []byte) (*Resp, error) {
	return exchange[Resp](ctx, c, http.MethodPost, url, bytes.NewReader(body))
}

// Get is Call without a body, for what is served by HandleGet.
func Get[Resp any](ctx context.Context, c *http.Client, url string) (*Resp, error) {
	return exchange[Resp](ctx, c, http.MethodGet, url, nil)
}

// exchange sends a request, whose body is nil if it has none, and decodes the response.
func exchange[Resp any](
	ctx context.Context, c *http.Client, method, url string, requestBody io.Reader,
) (*Resp, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, requestBody)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "request to %s", url)
	}
	if requestBody != nil {
		request.Header.Set("Content-Type", contentJSON)
	}
	response, err := c.Do(request)
	if err != nil {
		return nil, errs.Wrap(err, errs.Unreachable, "no answer")
	}
	defer response.Body.Close()
	if response.StatusCode < 200 || response.StatusCode > 299 {
		return nil, readError(url, response)
	}
	body, err := readBody(response.Body, response.ContentLength, maxResponseBytes)
	if err != nil {
		return nil, errs.Wrap(err, errs.Unreachable, "answer of %s", url)
	}
	decoded := new(Resp)
	if err := json.Unmarshal(body, decoded); err != nil {
		return nil, errs.Wrap(err, errs.Internal, "answer of %s", url)
	}
	return decoded, nil
}

// readError turns a response that is not 2xx into an error of the kind that its header names. The
// message is the peer's if there is one.
func readError(url string, response *http.Response) error {
	kind := errs.ParseKind(response.Header.Get(meshapi.ErrorKindHeader))
	// Of a body that breaks off the part that arrived is used; it only carries the message.
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	var peerError meshapi.ErrorResponse
	if json.Unmarshal(body, &peerError) != nil || peerError.ErrorMessage == "" {
		return errs.New(kind, "%s answers %s", url, response.Status)
	}
	return errs.New(kind, "%s answers %d: %s", url, response.StatusCode, peerError.ErrorMessage)
}
