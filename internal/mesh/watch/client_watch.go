package watch

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"caperarch/internal/mesh/errs"
)

const (
	// maxRetainedFrame is the size in bytes of a configuration above which the decoder and its buffer are
	// replaced, so that a large configuration does not occupy memory after it was applied.
	maxRetainedFrame = 256 << 10
	// maxErrorBody is the maximum number of bytes read from the response to a rejected watch.
	maxErrorBody = 4 << 10
)

// errIdleTimeout ends a watch on which no byte has arrived for slowLinkTimeout.
var errIdleTimeout = errs.New(errs.Unreachable, "no data from the core machine within the timeout for a slow link")

// runWatch opens a watch and applies its frames until the watch fails.
func (c *Client) runWatch(ctx context.Context, cancel context.CancelCauseFunc, address string) error {
	watchdog := newWatchdog(func() { signal(c.searchNow) }, func() { cancel(errIdleTimeout) })
	defer watchdog.stop()
	request := c.newWatchRequest()
	sentAt := time.Now()
	stream, err := c.openWatch(ctx, address, &request)
	if err != nil {
		return err
	}
	defer stream.Close()
	input := &guardedReader{stream: stream, watchdog: watchdog, remaining: maxFrame}
	frames := json.NewDecoder(input)
	for {
		var f frame
		if err := frames.Decode(&f); err != nil {
			return errs.Wrap(err, errs.Unreachable, "the watch at core machine %s was interrupted", address)
		}
		watchdog.stop() // the watchdog is off while the frame is applied
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if len(f.Config) > 0 {
			if err := c.recheckContact(ctx, address, sentAt); err != nil {
				return err
			}
		}
		finishFrame := c.startFrame()
		err := c.applyFrame(&f, address, request.FullConfig)
		finishFrame()
		if err != nil {
			return err
		}
		if len(f.Config) > 0 {
			request.FullConfig = false
		}
		if len(f.Config) > maxRetainedFrame {
			frames = json.NewDecoder(io.MultiReader(frames.Buffered(), input))
		}
		input.remaining = maxFrame
		watchdog.reset()
	}
}

// newWatchRequest returns a request that names the state that this Client holds and the services to include.
func (c *Client) newWatchRequest() watchRequest {
	var services []string
	if c.cfg.Services != nil {
		services = c.cfg.Services()
	}
	if !slices.Equal(services, c.services) {
		c.services, c.registryEpoch = slices.Clone(services), 0
	}
	return watchRequest{
		Node:          c.cfg.Node,
		Incarnation:   c.currentIncarnation(),
		ConfigVersion: c.cfg.ConfigVersion(),
		FullConfig:    c.needsFullConfig,
		Epoch:         c.registryEpoch,
		Number:        c.registryNumber,
		Services:      services,
	}
}

// openWatch sends a watch request to a core machine and returns the stream of frames. The caller closes it.
func (c *Client) openWatch(
	ctx context.Context, address string, request *watchRequest,
) (io.ReadCloser, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "encode the watch request")
	}
	url := "http://" + address + watchPath
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "watch request to %s", address)
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := c.cfg.HTTP.Do(r)
	if err != nil {
		return nil, errs.Wrap(err, errs.Unreachable, "open a watch at core machine %s", address)
	}
	if response.StatusCode != http.StatusOK {
		// The body only explains the rejection, so a part of it is used if reading it fails.
		message, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBody))
		response.Body.Close()
		return nil, errs.New(errs.Unreachable,
			"core machine %s rejected the watch: %s %s", address, response.Status, message)
	}
	return response.Body, nil
}

// applyFrame applies a frame. If OnConfig rejects a full configuration that was requested, the core machine
// counts as failed; after any other rejection the watch is reopened to request the full configuration.
func (c *Client) applyFrame(f *frame, address string, requestedFull bool) error {
	if len(f.Config) > 0 {
		c.needsFullConfig = !c.cfg.OnConfig(f.Config)
		if c.needsFullConfig && requestedFull {
			return errs.New(errs.Internal, "the full configuration from core machine %s was rejected", address)
		}
		if c.needsFullConfig {
			return errResubscribe
		}
	}
	if f.Registry != nil {
		if err := c.applyRegistry(f.Registry, address); err != nil {
			return err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if f.Heartbeat != nil {
		c.applyHeartbeat(f.Heartbeat)
	}
	c.current, c.connected = address, true
	return nil
}

// applyRegistry replaces the registry state with a full frame, or updates it with a change. A full frame from
// a core machine that is syncing only adds upstreams, since an upstream that it does not list may still
// exist. The state does not count as complete after it: the core machine sends another full frame once it has
// synced.
func (c *Client) applyRegistry(update *registryFrame, address string) error {
	complete := c.registryEpoch != 0
	switch {
	case update.Full && update.Syncing:
		c.registryEpoch = 0
	case update.Full:
		c.registryEpoch, c.registryNumber = update.Epoch, update.Number
	case complete && update.Epoch != c.registryEpoch:
		c.registryEpoch = 0
		return errs.New(errs.Internal,
			"core machine %s sent a registry change of another epoch than the state held here", address)
	case complete && update.Number <= c.registryNumber:
		return nil
	case complete:
		c.registryNumber = update.Number
	}
	c.cfg.OnRegistry(update.Full && !update.Syncing, update.Upserts, update.Removals)
	return nil
}

// applyHeartbeat records the counts of a heartbeat, or requests a search for another core machine if the
// sender has no contact. c.mu is held.
func (c *Client) applyHeartbeat(heartbeat *heartbeatFrame) {
	switch {
	case !heartbeat.Contact.OK:
		signal(c.searchNow)
	case heartbeat.Syncing:
		c.counts = c.counts.Max(heartbeat.Counts)
	default:
		c.counts = heartbeat.Counts
	}
}

// guardedReader reads the stream of a watch: every byte resets the watchdog, and no frame takes more than
// maxFrame bytes.
type guardedReader struct {
	stream    io.Reader
	watchdog  *watchdog
	remaining int // number of bytes that the current frame may still take
}

// Read reads from the stream. It returns an error of kind TooLarge if the frame exceeds its limit.
func (g *guardedReader) Read(p []byte) (int, error) {
	if g.remaining <= 0 {
		return 0, errs.New(errs.TooLarge, "a watch frame exceeds %d bytes", maxFrame)
	}
	n, err := g.stream.Read(p[:min(len(p), g.remaining)])
	g.remaining -= n
	if n > 0 {
		g.watchdog.reset()
	}
	return n, err
}
