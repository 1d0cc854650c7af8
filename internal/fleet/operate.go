package fleet

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"caperarch/internal/fleet/replicatedstate"
)

var errNotRunning = errors.New(
	"this process takes no part in the fleet's policy: the address for peers is not its own yet, " +
		"or what it kept can't be used; its log says which",
)

// runningNode returns the node for an operator's call and sets the time of the call, or returns errNotRunning. The
// caller holds the lock.
func (p *Policy) runningNode() (*replicatedstate.Node, error) {
	if p.node == nil {
		return nil, errNotRunning
	}
	p.now = p.fleet.now()
	return p.node, nil
}

// Propose proposes a change of the fleet's policy. Its arguments are the hash of the new text, which was uploaded
// before, and the version on which the text is based.
func (p *Policy) Propose(args []string, out io.Writer) error {
	if len(args) != 2 {
		return errors.New("a hash and the version that it was made from are needed")
	}
	base, err := strconv.ParseUint(args[1], 10, 32)
	if err != nil {
		return fmt.Errorf("%q is no version", args[1])
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	text, err := p.uploaded(args[0])
	if err != nil {
		return err
	}
	node, err := p.runningNode()
	if err != nil {
		return err
	}
	ref, err := node.Propose(p.now, text, uint32(base))
	if err != nil {
		return err
	}
	p.publishActive()
	_, err = fmt.Fprintf(out, "version %d proposed, hash %x\n", ref.Version, ref.Hash)
	return err
}

// Abort proposes to abort the change in progress.
func (p *Policy) Abort(out io.Writer) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	node, err := p.runningNode()
	if err != nil {
		return err
	}
	version, err := node.Abort(p.now)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "version %d is to be called off\n", version)
	return err
}

// Bootstrap starts a new replicated log. It is rejected while this sidecar receives messages from the leader of a log.
func (p *Policy) Bootstrap(out io.Writer) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	node, err := p.runningNode()
	if err != nil {
		return err
	}
	// The epoch is higher than every earlier one and unique. Of two logs that are started concurrently, the one with
	// the higher epoch wins.
	epoch := uint64(time.Now().UnixMilli())<<16 | uint64(p.fleet.cfg.Policy.Index)
	if err := node.Bootstrap(p.now, epoch); err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "a log is begun, epoch %x; the policy is the settings\n", epoch)
	return err
}
