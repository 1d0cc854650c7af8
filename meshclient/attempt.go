package meshclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"caperarch/meshapi"
)

const (
	// idleTimeout is how long a machine may send no data before the attempt is cancelled.
	idleTimeout = time.Second
	// timePerByte is added to idleTimeout for each byte of the request body, until the response header is received.
	// It allows time to transfer and process a large body.
	timePerByte = time.Microsecond
	// maxRedirects is the number of redirects that one attempt follows. It prevents an infinite loop of machines that
	// redirect to each other.
	maxRedirects = 2
	// maxErrorBytes is the number of bytes that are read of the body of an error response to obtain its message.
	maxErrorBytes = 16 << 10
)

// callRequest is the request of a call. All attempts of the call send it unchanged.
type callRequest struct {
	method, path     string
	body             []byte
	maxResponseBytes int64 // maximum body size of a 2xx response
}

// attemptFailure describes an attempt that received no response, an error response or an unusable response.
type attemptFailure struct {
	err Error
	// sent is true if a machine may have received bytes of the request.
	sent bool
	// final is true if every machine would give the same response, so that retries are useless.
	final bool
	// rejected is true if the response is a 4xx response that rejects the request. Unless final is true, another
	// machine may respond differently.
	rejected bool
	// retryAfter is the minimum delay before the next attempt that the machine requests, 0 if it requests none.
	retryAfter time.Duration
}

// attempt sends the request to one address, following redirects, and returns the body of a 2xx response.
func (request *callRequest) attempt(
	ctx context.Context, client *http.Client, address string,
) ([]byte, *attemptFailure) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idleTimer := time.AfterFunc(idleTimeout+time.Duration(len(request.body))*timePerByte, cancel)
	defer idleTimer.Stop()
	response, failure := request.send(ctx, client, address)
	if failure != nil {
		return nil, failure
	}
	defer func() { _ = response.Body.Close() }()
	idleTimer.Reset(idleTimeout)
	if response.StatusCode < 200 || response.StatusCode > 299 {
		return nil, readError(response, address)
	}
	// Each read that returns data restarts the idle timer, so a slow response does not time out as long as
	// data arrives.
	progress := &progressReader{source: response.Body, idleTimer: idleTimer}
	body, err := io.ReadAll(io.LimitReader(progress, request.maxResponseBytes+1))
	failure = &attemptFailure{err: Error{Address: address, Status: response.StatusCode}, sent: true}
	switch {
	case err != nil:
		failure.err.Message, failure.err.cause = "reading the response body failed: "+err.Error(), err
		return nil, failure
	case int64(len(body)) > request.maxResponseBytes:
		failure.err.Message = "response body exceeds the size limit"
		return nil, failure
	}
	return body, nil
}

// send sends the request and follows redirects. The caller closes the body of the response.
func (request *callRequest) send(
	ctx context.Context, client *http.Client, address string,
) (*http.Response, *attemptFailure) {
	failure := &attemptFailure{err: Error{Address: address}}
	target := "http://" + address + request.path
	for redirects := 0; ; redirects++ {
		httpRequest, err := http.NewRequestWithContext(ctx, request.method, target, bytes.NewReader(request.body))
		if err != nil {
			failure.err.Message, failure.err.cause = "cannot create a request for the address: "+err.Error(), err
			return nil, failure
		}
		if request.method == http.MethodPost {
			httpRequest.Header.Set("Content-Type", "application/json")
		}
		// Without a connection, no byte was sent. This includes attempts that timed out while the connection was
		// opened.
		var connected atomic.Bool
		trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
		response, err := client.Do(httpRequest.WithContext(httptrace.WithClientTrace(ctx, trace)))
		if err != nil {
			failure.sent = connected.Load()
			failure.err.Message, failure.err.cause = "no answer: "+err.Error(), err
			return nil, failure
		}
		if response.StatusCode != http.StatusTemporaryRedirect {
			return response, nil
		}
		failure.err.Status = response.StatusCode
		_ = response.Body.Close()
		location, err := response.Location()
		if err != nil || location.Scheme != "http" || redirects == maxRedirects {
			failure.err.Message = "invalid redirect location, or too many redirects"
			return nil, failure
		}
		target = location.String()
	}
}

// readError converts a response with a status other than 2xx into an attemptFailure.
func readError(response *http.Response, address string) *attemptFailure {
	failure := &attemptFailure{
		err: Error{
			Address:    address,
			Status:     response.StatusCode,
			ServerKind: response.Header.Get(meshapi.ErrorKindHeader),
			Message:    response.Status,
		},
		sent: true,
	}
	// Only the message is decoded. The kind is taken from the header, so a body with a kind of another JSON type does
	// not prevent decoding of the message.
	var body struct {
		ErrorMessage string `json:"errorMessage"`
	}
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if json.Unmarshal(text, &body) == nil && body.ErrorMessage != "" {
		failure.err.Message = body.ErrorMessage
	}
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err == nil && seconds > 0 {
		failure.retryAfter = time.Duration(min(seconds, maxBackoff.Seconds()) * float64(time.Second))
	}
	switch response.StatusCode {
	case http.StatusRequestTimeout, http.StatusTooManyRequests:
		return failure
	case http.StatusBadRequest, http.StatusConflict, http.StatusPreconditionFailed,
		http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		failure.final = true
	}
	if response.StatusCode >= 400 && response.StatusCode < 500 {
		failure.err.Kind = kindOfRejection(response.StatusCode, failure.err.ServerKind)
		failure.rejected = true
	}
	return failure
}

// progressReader restarts the idle timer with every read that returns data.
type progressReader struct {
	source    io.Reader
	idleTimer *time.Timer
}

// Read implements io.Reader.
func (p *progressReader) Read(b []byte) (int, error) {
	n, err := p.source.Read(b)
	if n > 0 {
		p.idleTimer.Reset(idleTimeout)
	}
	return n, err
}
