package meshclient

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"caperarch/internal/mesh/httpclient"
)

const (
	// dialTimeout is the time limit for opening a connection. It limits the delay that a machine that is down causes.
	dialTimeout = 300 * time.Millisecond
	// maxRejections is the number of rejections after which a call fails if another machine might have responded
	// differently.
	maxRejections = 3
	// maxResponseBytes is the maximum body size of a response. It limits the caller's memory use and is above the
	// size of the largest configuration.
	maxResponseBytes = 72 << 20
)

// Client sends requests to the control plane. It is safe for concurrent use. It must not be copied after first use.
type Client struct {
	// Addresses are the control plane addresses in the form host:port. They must not be changed after first use.
	Addresses []string
	// HTTP is the client that sends the requests. If it is nil, a client is used that detects the loss of a machine.
	// The redirect policy of HTTP is ignored: only redirects with status 307, which the control plane may send, are
	// followed.
	HTTP *http.Client

	once       sync.Once
	httpClient *http.Client

	// mu guards current.
	mu sync.Mutex
	// current is the index in Addresses of the address to try next. It stays the same as long as this address gives
	// conclusive responses.
	current int
}

// initialize sets httpClient and selects the first address at random, so that the load of many clients is distributed
// over the machines. It is called once.
func (c *Client) initialize() {
	configured := c.HTTP
	if configured == nil {
		configured = httpclient.New(dialTimeout)
	}
	noRedirectClient := *configured
	noRedirectClient.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	c.httpClient = &noRedirectClient
	if len(c.Addresses) > 0 {
		c.current = rand.IntN(len(c.Addresses))
	}
}

// address returns the address to try next.
func (c *Client) address() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Addresses[c.current%len(c.Addresses)]
}

// rotateAddress selects the address after the failed one, unless another goroutine has already done so.
func (c *Client) rotateAddress(failed string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Addresses[c.current%len(c.Addresses)] == failed {
		c.current = (c.current + 1) % len(c.Addresses)
	}
}

// call sends a request until it receives a conclusive response or ctx ends. All attempts send the same bytes.
func call[T any](ctx context.Context, c *Client, method, path string, body []byte) (*T, error) {
	c.once.Do(c.initialize)
	if len(c.Addresses) == 0 {
		return nil, &Error{Kind: InvalidUsage, Message: "client has no control plane addresses"}
	}
	request := &callRequest{method: method, path: path, body: body, maxResponseBytes: maxResponseBytes}
	retryBackoff := newBackoff(maxBackoff)
	var lastError *Error
	sent, rejections := false, 0
	for {
		address := c.address()
		response, failure := callOnce[T](ctx, c.httpClient, address, request)
		if failure == nil {
			return response, nil
		}
		sent = sent || failure.sent
		if failure.rejected {
			rejections++
		}
		if failure.final || failure.rejected && rejections == maxRejections {
			return nil, &failure.err
		}
		// An attempt that was cancelled by the end of ctx is less informative than the attempt before it.
		if lastError == nil || ctx.Err() == nil {
			lastError = &failure.err
		}
		c.rotateAddress(address)
		if err := retryBackoff.sleep(ctx, failure.retryAfter); err != nil {
			lastError.Kind, lastError.cause = kindWithoutResponse(sent), err
			return nil, lastError
		}
	}
}

// callOnce makes one attempt and decodes the response body.
func callOnce[T any](
	ctx context.Context, client *http.Client, address string, request *callRequest,
) (*T, *attemptFailure) {
	body, failure := request.attempt(ctx, client, address)
	if failure != nil {
		return nil, failure
	}
	response := new(T)
	if err := json.Unmarshal(body, response); err != nil {
		message := "response cannot be decoded: " + err.Error()
		return nil, &attemptFailure{
			err:  Error{Status: http.StatusOK, Address: address, Message: message},
			sent: true,
		}
	}
	return response, nil
}
