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

// follow opens a watch and takes its frames until it fails.
func (c *Client) runWatch(ctx context.Context, cancel context.CancelCauseFunc, address string) error {
	watchdog := time.AfterFunc(idleTimeout, func() { cancel(errIdleTimeout) })
	defer watchdog.Stop()
	request := c.watchRequest()
	asked := time.Now()
	stream, err := c.openWatch(ctx, address, &request)
	if err != nil {
		return err
	}
	defer stream.Close()
	in := &guardedReader{stream: stream, watchdog: watchdog, remaining: maxFrame}
	frames := json.NewDecoder(in)
	for {
		var f frame
		if err := frames.Decode(&f); err != nil {
			return errs.Wrap(err, errs.Unreachable, "the watch at %s broke off", address)
		}
		watchdog.Stop()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if len(f.Config) > 0 {
			if err := c.recheckContact(ctx, address, asked); err != nil {
				return err
			}
		}
		if err := c.applyFrame(&f, address, request.FullConfig); err != nil {
			return err
		}
		if len(f.Config) > 0 {
			request.FullConfig = false
		}
		if len(f.Config) > maxRetainedFrame {
			frames = json.NewDecoder(io.MultiReader(frames.Buffered(), in))
		}
		in.remaining = maxFrame
		watchdog.Reset(idleTimeout)
	}
}

// watchRequest says what is held here and what is wanted.
func (c *Client) watchRequest() watchRequest {
	var services []string
	if c.cfg.Services != nil {
		services = c.cfg.Services()
	}
	if !slices.Equal(services, c.services) {
		c.services, c.registryEpoch = slices.Clone(services), 0
	}
	return watchRequest{
		Node:          c.cfg.Node,
		Incarnation:   c.cfg.Incarnation,
		ConfigVersion: c.cfg.ConfigVersion(),
		FullConfig:    c.needsFullConfig,
		Epoch:         c.registryEpoch,
		Number:        c.registryNumber,
		Services:      services,
	}
}

// openWatch asks a member for a watch and gives its stream of frames.
func (c *Client) openWatch(ctx context.Context, address string, request *watchRequest) (io.ReadCloser, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "encode the watch request")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+watchPath, bytes.NewReader(body))
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "watch request to %s", address)
	}
	r.Header.Set("Content-Type", "application/json")
	answer, err := c.cfg.HTTP.Do(r)
	if err != nil {
		return nil, errs.Wrap(err, errs.Unreachable, "no watch at %s", address)
	}
	if answer.StatusCode != http.StatusOK {
		said, _ := io.ReadAll(io.LimitReader(answer.Body, maxErrorBody))
		answer.Body.Close()
		return nil, errs.New(errs.Unreachable, "%s refuses the watch: %s %s", address, answer.Status, said)
	}
	return answer.Body, nil
}

// take hands a frame on. A frame that was asked for whole and is refused still
// counts as the member's failure.
func (c *Client) applyFrame(f *frame, address string, whole bool) error {
	if len(f.Config) > 0 {
		c.needsFullConfig = !c.cfg.OnConfig(f.Config)
		if c.needsFullConfig && whole {
			return errs.New(errs.Internal, "the whole configuration of %s does not fit", address)
		}
		if c.needsFullConfig {
			return errResubscribe
		}
	}
	if news := f.Registry; news != nil {
		if err := c.applyRegistry(news, address); err != nil {
			return err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if b := f.Heartbeat; b != nil && !b.Contact.OK {
		signal(c.contactLost)
	} else if b != nil {
		c.recordCounts(b.Members, b.PeakMembers, b.Syncing)
	}
	c.current, c.connected = address, true
	return nil
}

// takeRegistry replaces what is held by a full frame, and amends it by a
// change. A full frame of a young member only amends: what it does not list may
// well be there. It will send another, so what it sent is not held as all.
func (c *Client) applyRegistry(news *registryFrame, address string) error {
	switch {
	case news.Full && news.Syncing:
		c.registryEpoch = 0
	case news.Full:
		c.registryEpoch, c.registryNumber = news.Epoch, news.Number
	case c.registryEpoch != 0 && news.Epoch != c.registryEpoch:
		c.registryEpoch = 0
		return errs.New(errs.Internal, "%s amends a registry that is not held", address)
	case c.registryEpoch != 0 && news.Number <= c.registryNumber:
		return nil
	case c.registryEpoch != 0:
		c.registryNumber = news.Number
	}
	c.cfg.OnRegistry(news.Full && !news.Syncing, news.Upserts, news.Removals)
	return nil
}

// guarded reads a watch: every byte keeps the watchdog quiet, and no frame
// takes more memory than allowed.
type guardedReader struct {
	stream    io.Reader
	watchdog  *time.Timer
	remaining int
}

func (g *guardedReader) Read(p []byte) (int, error) {
	if g.remaining <= 0 {
		return 0, errs.New(errs.TooLarge, "a frame is larger than %d bytes", maxFrame)
	}
	n, err := g.stream.Read(p[:min(len(p), g.remaining)])
	g.remaining -= n
	if n > 0 {
		g.watchdog.Reset(idleTimeout)
	}
	return n, err
}
