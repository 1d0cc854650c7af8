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
	// dialTimeout bounds the opening of a connection, against machines that are down.
	dialTimeout = 300 * time.Millisecond
	// maxRejections is the number of rejections at which a call ends that another machine might have answered
	// differently.
	maxRejections = 3
	// maxResponseBytes bounds the body of a response. It guards the caller's memory and leaves room
	// for the largest configuration.
	maxResponseBytes = 72 << 20
)

// Client calls the control plane. It is safe for concurrent use, and must not be copied after first use.
type Client struct {
	// Addresses are the control plane addresses, each host:port. They must not change after first use.
	Addresses []string
	// HTTP sends the requests; nil: a client that detects machines that are down. Of redirects only
	// the control plane's own, status 307, are followed.
	HTTP *http.Client

	once       sync.Once
	httpClient *http.Client

	// mu guards current.
	mu sync.Mutex
	// current is the index in Addresses of the one to try next: the last that gave a conclusive answer.
	current int
}

// start picks the first address at random, so that many clients spread over the machines.
func (c *Client) start() {
	configured := c.HTTP
	if configured == nil {
		configured = httpclient.New(dialTimeout)
	}
	own := *configured
	own.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	c.httpClient = &own
	if len(c.Addresses) > 0 {
		c.current = rand.IntN(len(c.Addresses))
	}
}

// address returns the address to try now.
func (c *Client) address() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Addresses[c.current%len(c.Addresses)]
}

// moveOn goes on to the next address, unless another caller has gone on from this one already.
func (c *Client) moveOn(from string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Addresses[c.current%len(c.Addresses)] == from {
		c.current = (c.current + 1) % len(c.Addresses)
	}
}

// call sends a request until there is a conclusive answer or ctx ends. Every attempt sends the same bytes.
func call[A any](ctx context.Context, c *Client, method, path string, body []byte) (*A, error) {
	c.once.Do(c.start)
	if len(c.Addresses) == 0 {
		return nil, &Error{Kind: InvalidUsage, Message: "the client has no addresses"}
	}
	request := &callRequest{method: method, path: path, body: body, maxResponseBytes: maxResponseBytes}
	wait := newBackoff(maxBackoff)
	var last *Error
	sent, rejections := false, 0
	for {
		address := c.address()
		answer, failure := callOnce[A](ctx, c.httpClient, address, request)
		if failure == nil {
			return answer, nil
		}
		sent = sent || failure.sent
		if failure.rejected {
			rejections++
		}
		if failure.final || failure.rejected && rejections == maxRejections {
			return nil, &failure.err
		}
		// An attempt that the end of ctx broke off says less than the one before it.
		if last == nil || ctx.Err() == nil {
			last = &failure.err
		}
		c.moveOn(address)
		if err := wait.sleep(ctx, failure.retryAfter); err != nil {
			last.Kind, last.cause = kindWithoutAnswer(sent), err
			return nil, last
		}
	}
}

// callOnce makes one attempt and decodes the answer.
func callOnce[A any](
	ctx context.Context, client *http.Client, address string, request *callRequest,
) (*A, *attemptFailure) {
	body, failure := request.attempt(ctx, client, address)
	if failure != nil {
		return nil, failure
	}
	answer := new(A)
	if err := json.Unmarshal(body, answer); err != nil {
		message := "the answer can't be read: " + err.Error()
		return nil, &attemptFailure{
			err:  Error{Status: http.StatusOK, Address: address, Message: message},
			sent: true,
		}
	}
	return answer, nil
}
