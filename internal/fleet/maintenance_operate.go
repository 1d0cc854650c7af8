package fleet

import (
	"errors"
	"fmt"
	"io"
	"strconv"

	"caperarch/internal/fleet/maintenance"
	"caperarch/internal/fleet/policyrollout"
)

var errNumber = errors.New("a number is needed, of a turn (done) or of a plan")

// Plan proposes a plan of maintenance by an uploaded text, whose hash is the argument.
func (p *Policy) Plan(words []string, to io.Writer) error {
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
	number, err := node.Plan(p.now, text)
	if err != nil {
		return err
	}
	p.publishActive()
	_, err = fmt.Fprintf(to, "plan %d is to begin, hash %s\n", number, policyrollout.Hash(text))
	return err
}

// Operate proposes an operator's decision on a window (done) or a plan (paused, resumed,
// cancelled).
func (p *Policy) Operate(kind maintenance.Kind, words []string, to io.Writer) error {
	number, err := strconv.ParseUint(words[0], 10, 32)
	if err != nil || number == 0 {
		return errNumber
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	node, err := p.runningNode()
	if err != nil {
		return err
	}
	if err := node.Operate(p.now, kind, uint32(number)); err != nil {
		return err
	}
	p.publishActive()
	what := "plan"
	if kind == maintenance.Done {
		what = "turn"
	}
	_, err = fmt.Fprintf(to, "%s %d is to be %s\n", what, number, kind)
	return err
}
