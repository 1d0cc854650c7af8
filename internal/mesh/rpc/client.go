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
	// maxResponseBytes is the maximum size of a successful response. It protects the caller's memory from a faulty
	// peer, and fits the largest configuration (64 MiB) with its envelope.
	maxResponseBytes = 72 << 20
	// maxErrorBytes is the maximum number of bytes that are read of an error response.
	maxErrorBytes = 16 << 10
)

// Call posts a request as JSON and returns the decoded response. A response with a status other than 2xx is returned as
// an error of the kind that the peer named, or of kind Internal if the peer named none. The error is of kind
// Unreachable if no response is received, if the response is truncated, or if ctx ends first. Whether the peer executed
// the request is then unknown.
func Call[Req, Resp any](ctx context.Context, c *http.Client, url string, request *Req) (*Resp, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "encode the request to %s", url)
	}
	return Post[Resp](ctx, c, url, body)
}

// Post is like Call, but takes an encoded body. The body need not be JSON.
func Post[Resp any](ctx context.Context, c *http.Client, url string, body []byte) (*Resp, error) {
	return exchange[Resp](ctx, c, http.MethodPost, url, bytes.NewReader(body))
}

// Get is like Call, but sends a GET request without a body. HandleGet serves such requests.
func Get[Resp any](ctx context.Context, c *http.Client, url string) (*Resp, error) {
	return exchange[Resp](ctx, c, http.MethodGet, url, nil)
}

// exchange sends a request and decodes the response. A nil requestBody sends no body.
func exchange[Resp any](
	ctx context.Context, c *http.Client, method, url string, requestBody io.Reader,
) (*Resp, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, requestBody)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "request to %s", url)
	}
	if requestBody != nil {
		request.Header.Set("Content-Type", contentTypeJSON)
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

// readError returns the error for a response with a status other than 2xx. Its kind is the kind that the
// response's header names. Its message contains the peer's message, if the response has one.
func readError(url string, response *http.Response) error {
	kind := errs.ParseKind(response.Header.Get(meshapi.ErrorKindHeader))
	// A truncated body is used as far as it was received, because it only carries the message.
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	var peerError meshapi.ErrorResponse
	if json.Unmarshal(body, &peerError) != nil || peerError.ErrorMessage == "" {
		return errs.New(kind, "%s answers %s", url, response.Status)
	}
	return errs.New(kind, "%s answers %d: %s", url, response.StatusCode, peerError.ErrorMessage)
}
