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
	// maxRetainedFrame is the size in bytes above which a frame's buffer is
	// released, so that one large configuration does not keep its memory.
	maxRetainedFrame = 256 << 10
	// maxErrorBody bounds what is read of the response to a rejected watch.
	maxErrorBody = 4 << 10
)

// errIdleTimeout is why a watch on which nothing arrives is given up.
var errIdleTimeout = errs.New(errs.Unreachable, "no data from the member within the time-out of a slow link")

// runWatch opens a watch and applies its frames until it fails.
func (c *Client) runWatch(ctx context.Context, cancel context.CancelCauseFunc, address string) error {
	watchdog := newWatchdog(func() { signal(c.lookElsewhere) }, func() { cancel(errIdleTimeout) })
	defer watchdog.stop()
	request := c.newWatchRequest()
	askedAt := time.Now()
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
			return errs.Wrap(err, errs.Unreachable, "the watch at %s broke off", address)
		}
		watchdog.stop() // while the frame is applied
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if len(f.Config) > 0 {
			if err := c.recheckContact(ctx, address, askedAt); err != nil {
				return err
			}
		}
		applied := c.recordFrame()
		err := c.applyFrame(&f, address, request.FullConfig)
		applied()
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

// newWatchRequest makes a request that states what is complete here and what is
// wanted.
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

// openWatch asks a member for a watch and returns its stream of frames, which
// the caller closes.
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
		return nil, errs.Wrap(err, errs.Unreachable, "no watch at %s", address)
	}
	if response.StatusCode != http.StatusOK {
		// Of a body that breaks off the part that arrived is used; it only explains.
		message, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBody))
		response.Body.Close()
		return nil, errs.New(errs.Unreachable, "%s rejects the watch: %s %s", address, response.Status, message)
	}
	return response.Body, nil
}

// applyFrame applies a frame. A full configuration that was requested and is
// rejected here counts as the member's failure.
func (c *Client) applyFrame(f *frame, address string, requestedFull bool) error {
	if len(f.Config) > 0 {
		c.needsFullConfig = !c.cfg.OnConfig(f.Config)
		if c.needsFullConfig && requestedFull {
			return errs.New(errs.Internal, "the full configuration of %s does not apply", address)
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

// applyRegistry replaces the registry state by a full frame, and amends it by a
// change. A full frame of a syncing member only amends: what it does not list
// may well exist. It will send another, so this one does not count as complete.
func (c *Client) applyRegistry(update *registryFrame, address string) error {
	complete := c.registryEpoch != 0
	switch {
	case update.Full && update.Syncing:
		c.registryEpoch = 0
	case update.Full:
		c.registryEpoch, c.registryNumber = update.Epoch, update.Number
	case complete && update.Epoch != c.registryEpoch:
		c.registryEpoch = 0
		return errs.New(errs.Internal, "%s sends a change to a registry that is not complete here", address)
	case complete && update.Number <= c.registryNumber:
		return nil
	case complete:
		c.registryNumber = update.Number
	}
	c.cfg.OnRegistry(update.Full && !update.Syncing, update.Upserts, update.Removals)
	return nil
}

// applyHeartbeat records the counts of a heartbeat, or signals the lease's
// goroutine to look for another member if there is no contact. c.mu is held.
func (c *Client) applyHeartbeat(heartbeat *heartbeatFrame) {
	switch {
	case !heartbeat.Contact.OK:
		signal(c.lookElsewhere)
	case heartbeat.Syncing:
		c.counts = c.counts.Max(heartbeat.Counts)
	default:
		c.counts = heartbeat.Counts
	}
}

// guardedReader reads a watch: every byte resets the watchdog, and no frame
// takes more memory than maxFrame.
type guardedReader struct {
	stream    io.Reader
	watchdog  *watchdog
	remaining int // bytes that the current frame may still take
}

// Read reads from the stream, and returns TooLarge once the frame is over its
// limit.
func (g *guardedReader) Read(p []byte) (int, error) {
	if g.remaining <= 0 {
		return 0, errs.New(errs.TooLarge, "a frame is larger than %d bytes", maxFrame)
	}
	n, err := g.stream.Read(p[:min(len(p), g.remaining)])
	g.remaining -= n
	if n > 0 {
		g.watchdog.reset()
	}
	return n, err
}
