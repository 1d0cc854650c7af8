package meshclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"caperarch/internal/mesh/rpc"
)

const (
	// dialTimeout is how long a connection may take to come up. It guards against machines that are gone.
	dialTimeout = 300 * time.Millisecond
	// silence is how long a machine may say nothing before the call goes to the next.
	silence = time.Second
	// perByte is added to silence for each byte of a body, so that large ones have the time to be sent and read.
	perByte = time.Microsecond
	// pauseLeast and pauseMost bound the pause between two tries, which doubles from one to the next: they guard machines
	// in trouble against callers that come back at once.
	pauseLeast = 50 * time.Millisecond
	pauseMost  = 2 * time.Second
	// mostRedirects is how often one try follows a 307. It guards against machines that point at each other.
	mostRedirects = 2
	// mostRefusals is the try at which a refusal stops a call that a further machine might have taken.
	mostRefusals = 3
	// answerLimit bounds an answer. It guards the caller's memory and leaves room for the largest configuration.
	answerLimit = 72 << 20
	// failureLimit bounds what is read of an answer that is a failure, for its message.
	failureLimit = 16 << 10
	// faultHeader holds the mesh's own word for what went wrong.
	faultHeader = "X-Mesh-Fault"
)

// Client calls the control plane. It is safe for concurrent use, and must not be copied once used.
type Client struct {
	// Addresses are the control plane addresses, each a host with a port.
	Addresses []string
	// HTTP makes the calls; nil: a client that notices machines that are gone. Its redirects are not followed but those
	// that the control plane's protocol knows.
	HTTP *http.Client

	once sync.Once
	http *http.Client

	mu sync.Mutex
	at int // of Addresses: the one that gave the last clear answer
}

// start chooses the first address by lot, so that many clients spread over the machines.
func (c *Client) start() {
	given := c.HTTP
	if given == nil {
		given = rpc.NewClient(dialTimeout)
	}
	own := *given
	own.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	c.http = &own
	if len(c.Addresses) > 0 {
		c.at = rand.IntN(len(c.Addresses))
	}
}

// address gives the address to be asked now.
func (c *Client) address() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Addresses[c.at%len(c.Addresses)]
}

// moveOn goes to the next address, unless another caller has gone on from this one already.
func (c *Client) moveOn(from string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Addresses[c.at%len(c.Addresses)] == from {
		c.at = (c.at + 1) % len(c.Addresses)
	}
}

// call makes one call with its tries until there is a clear answer or ctx ends. Every try sends the same bytes.
func call[A any](ctx context.Context, c *Client, method, path string, body []byte) (*A, error) {
	c.once.Do(c.start)
	if len(c.Addresses) == 0 {
		return nil, &Error{Kind: InvalidUsage, Message: "the client has no addresses"}
	}
	var last *Error
	sent, refusals := false, 0
	for pause := newPause(pauseMost); ; {
		address := c.address()
		text, t := attempt(ctx, c.http, address, method, path, body, answerLimit)
		if t == nil {
			a := new(A)
			err := json.Unmarshal(text, a)
			if err == nil {
				return a, nil
			}
			t = &trouble{err: Error{Status: http.StatusOK, Address: address, Message: "the answer can't be read: " + err.Error()}, sent: true}
		}
		sent = sent || t.sent
		switch {
		case t.final:
			return nil, &t.err
		case t.refusal:
			if refusals++; refusals == mostRefusals {
				return nil, &t.err
			}
		}
		// A try that the end of the time cut off says less than the one before it.
		if last == nil || ctx.Err() == nil {
			last = &t.err
		}
		c.moveOn(address)
		if err := pause.wait(ctx, t.retryAfter); err != nil {
			if last.Kind = Unreachable; sent {
				last.Kind = Undetermined
			}
			last.cause = err
			return nil, last
		}
	}
}

// trouble is a try that failed.
type trouble struct {
	err Error
	// sent says that bytes of the call may have reached a machine; final that the answer holds for every machine, and
	// refusal that it is a 4xx which another machine may give differently.
	sent, final, refusal bool
	retryAfter           time.Duration
}

// attempt makes one try at an address, with its redirects, and gives the body of a success, of at most limit bytes.
func attempt(ctx context.Context, client *http.Client, address, method, path string, body []byte, limit int64) ([]byte, *trouble) {
	try, cancel := context.WithCancel(ctx)
	defer cancel()
	quiet := time.AfterFunc(silence+time.Duration(len(body))*perByte, cancel)
	defer quiet.Stop()
	t := &trouble{err: Error{Address: address}}
	target := "http://" + address + path
	var answer *http.Response
	for hop := 0; ; hop++ {
		r, err := http.NewRequestWithContext(try, method, target, bytes.NewReader(body))
		if err != nil {
			t.err.Message, t.err.cause = "the address can't be called: "+err.Error(), err
			return nil, t
		}
		if method == http.MethodPost {
			r.Header.Set("Content-Type", "application/json")
		}
		var connected atomic.Bool
		trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
		if answer, err = client.Do(r.WithContext(httptrace.WithClientTrace(try, trace))); err != nil {
			t.sent = t.sent || connected.Load() // else no byte of it left, also where the time ran out on the way to a connection
			t.err.Message, t.err.cause = "no answer: "+err.Error(), err
			return nil, t
		}
		t.err.Status = answer.StatusCode
		if answer.StatusCode != http.StatusTemporaryRedirect {
			break
		}
		_ = answer.Body.Close()
		to, err := answer.Location()
		if err != nil || to.Scheme != "http" || hop == mostRedirects {
			t.err.Message = "redirected to nowhere, or too often"
			return nil, t
		}
		target = to.String()
	}
	defer func() { _ = answer.Body.Close() }()
	quiet.Reset(silence)
	if answer.StatusCode < 200 || answer.StatusCode > 299 {
		t.refused(answer)
		return nil, t
	}
	t.sent = true
	// A body that moves is not silent, however long it takes.
	whole, err := io.ReadAll(io.LimitReader(&moving{answer.Body, quiet}, limit+1))
	switch {
	case err != nil:
		t.err.Message, t.err.cause = "the answer broke off: "+err.Error(), err
		return nil, t
	case int64(len(whole)) > limit:
		t.err.Message = "the answer is too long"
		return nil, t
	}
	return whole, nil
}

// refused reads an answer that is a failure.
func (t *trouble) refused(answer *http.Response) {
	status := answer.StatusCode
	t.sent = true
	t.err.ServerKind = answer.Header.Get(faultHeader)
	t.err.Message = answer.Status
	var said struct {
		ErrorMessage string `json:"errorMessage"`
	}
	if text, _ := io.ReadAll(io.LimitReader(answer.Body, failureLimit)); json.Unmarshal(text, &said) == nil && said.ErrorMessage != "" {
		t.err.Message = said.ErrorMessage
	}
	if s, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64); err == nil && s > 0 {
		t.retryAfter = time.Duration(min(s, pauseMost.Seconds()) * float64(time.Second))
	}
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests:
		return
	case http.StatusBadRequest, http.StatusConflict, http.StatusPreconditionFailed, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		t.final = true
	}
	if status >= 400 && status < 500 {
		t.err.Kind, t.refusal = kindOf(status, t.err.ServerKind), true
	}
}

// moving is an answer's body whose every read puts off the end by silence.
type moving struct {
	from  io.Reader
	quiet *time.Timer
}

func (m *moving) Read(p []byte) (int, error) {
	n, err := m.from.Read(p)
	if n > 0 {
		m.quiet.Reset(silence)
	}
	return n, err
}

// pause is the time between tries, which doubles up to a bound.
type pause struct{ next, most time.Duration }

func newPause(most time.Duration) *pause { return &pause{min(pauseLeast, most), most} }

// length gives the next pause, with its jitter, and as long as was asked for where that is longer.
func (p *pause) length(asked time.Duration) time.Duration {
	half := p.next / 2
	p.next = min(2*p.next, p.most)
	return max(half+rand.N(half+1), min(asked, p.most))
}

// wait waits for the next pause. It gives the context's error if that ends before.
func (p *pause) wait(ctx context.Context, asked time.Duration) error {
	timer := time.NewTimer(p.length(asked))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return eris.Wrap(context.Cause(ctx), "the time ran out")
	}
}
