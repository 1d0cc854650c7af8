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

// runningNode returns the node for a call at this moment, or why there is none. The caller holds
// the lock.
func (p *Policy) runningNode() (*replicatedstate.Node, error) {
	if p.node == nil {
		return nil, errNotRunning
	}
	p.now = p.fleet.now()
	return p.node, nil
}

// Propose proposes a change of the fleet's policy to an uploaded text that was made from a version:
// its arguments are the hash and the version.
func (p *Policy) Propose(words []string, to io.Writer) error {
	if len(words) != 2 {
		return errors.New("a hash and the version that it was made from are needed")
	}
	base, err := strconv.ParseUint(words[1], 10, 32)
	if err != nil {
		return fmt.Errorf("%q is no version", words[1])
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	text, err := p.uploaded(words[0])
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
	_, err = fmt.Fprintf(to, "version %d proposed, hash %x\n", ref.Version, ref.Hash)
	return err
}

// Abort proposes to abort the change in progress.
func (p *Policy) Abort(to io.Writer) error {
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
	_, err = fmt.Fprintf(to, "version %d is to be called off\n", version)
	return err
}

// Bootstrap starts a log. It is rejected while the leader of one is heard of.
func (p *Policy) Bootstrap(to io.Writer) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	node, err := p.runningNode()
	if err != nil {
		return err
	}
	// Above each epoch before, and unique: of two concurrent ones the later wins.
	epoch := uint64(time.Now().UnixMilli())<<16 | uint64(p.fleet.cfg.Policy.Index)
	if err := node.Bootstrap(p.now, epoch); err != nil {
		return err
	}
	_, err = fmt.Fprintf(to, "a log is begun, epoch %x; the policy is the settings\n", epoch)
	return err
}
