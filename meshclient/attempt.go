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
	// idleTimeout is how long a machine may send nothing before the attempt is given up.
	idleTimeout = time.Second
	// timePerByte is added to idleTimeout for each byte of a request's body, so that a large one
	// has the time to be sent and read.
	timePerByte = time.Microsecond
	// maxRedirects bounds the redirects that one attempt follows, against machines that point at each other.
	maxRedirects = 2
	// maxErrorBytes bounds what is read of a response that is an error, for its message.
	maxErrorBytes = 16 << 10
)

// callRequest is what every attempt of a call sends.
type callRequest struct {
	method, path     string
	body             []byte
	maxResponseBytes int64
}

// attemptFailure is an attempt that gave no answer, or one that is an error.
type attemptFailure struct {
	err Error
	// sent says that bytes of the request may have reached a machine.
	sent bool
	// final says that every machine would give the same answer.
	final bool
	// rejected says that the answer is a 4xx; unless it is final another machine may answer differently.
	rejected bool
	// retryAfter is how long the machine asks to wait before the next attempt, 0 when it does not.
	retryAfter time.Duration
}

// attempt sends the request to one address, following redirects, and returns the body of a 2xx response.
func (q *callRequest) attempt(
	ctx context.Context, client *http.Client, address string,
) ([]byte, *attemptFailure) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idle := time.AfterFunc(idleTimeout+time.Duration(len(q.body))*timePerByte, cancel)
	defer idle.Stop()
	response, failure := q.send(ctx, client, address)
	if failure != nil {
		return nil, failure
	}
	defer func() { _ = response.Body.Close() }()
	idle.Reset(idleTimeout)
	if response.StatusCode < 200 || response.StatusCode > 299 {
		return nil, readError(response, address)
	}
	// A body that arrives, however slowly, is not idle.
	progress := &progressReader{from: response.Body, idle: idle}
	body, err := io.ReadAll(io.LimitReader(progress, q.maxResponseBytes+1))
	failure = &attemptFailure{err: Error{Address: address, Status: response.StatusCode}, sent: true}
	switch {
	case err != nil:
		failure.err.Message, failure.err.cause = "the answer broke off: "+err.Error(), err
		return nil, failure
	case int64(len(body)) > q.maxResponseBytes:
		failure.err.Message = "the answer is too long"
		return nil, failure
	}
	return body, nil
}

// send sends the request and follows redirects. The caller closes the body of the response.
func (q *callRequest) send(
	ctx context.Context, client *http.Client, address string,
) (*http.Response, *attemptFailure) {
	failure := &attemptFailure{err: Error{Address: address}}
	target := "http://" + address + q.path
	for redirects := 0; ; redirects++ {
		r, err := http.NewRequestWithContext(ctx, q.method, target, bytes.NewReader(q.body))
		if err != nil {
			failure.err.Message, failure.err.cause = "the address can't be called: "+err.Error(), err
			return nil, failure
		}
		if q.method == http.MethodPost {
			r.Header.Set("Content-Type", "application/json")
		}
		// Without a connection no byte was sent, also when the time ran out while one was being opened.
		var connected atomic.Bool
		trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
		response, err := client.Do(r.WithContext(httptrace.WithClientTrace(ctx, trace)))
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
			failure.err.Message = "redirected to nowhere, or too often"
			return nil, failure
		}
		target = location.String()
	}
}

// readError turns a response that is not 2xx into a failure.
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
	// The kind is the header's, so that no other field of the body can spoil the message.
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

// progressReader starts the idle timer anew with every read that gives bytes.
type progressReader struct {
	from io.Reader
	idle *time.Timer
}

// Read implements io.Reader.
func (p *progressReader) Read(b []byte) (int, error) {
	n, err := p.from.Read(b)
	if n > 0 {
		p.idle.Reset(idleTimeout)
	}
	return n, err
}
