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

// Plan proposes a maintenance plan. Its argument is the hash of the plan's text, which was uploaded before.
func (p *Policy) Plan(args []string, out io.Writer) error {
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
	number, err := node.Plan(p.now, text)
	if err != nil {
		return err
	}
	p.publishActive()
	_, err = fmt.Fprintf(out, "plan %d is to begin, hash %s\n", number, policyrollout.Hash(text))
	return err
}

// Operate proposes an operator's step: Done for a window, or Paused, Resumed or Cancelled for a plan. Its argument is
// the number of the window or the plan.
func (p *Policy) Operate(kind maintenance.Kind, args []string, out io.Writer) error {
	number, err := strconv.ParseUint(args[0], 10, 32)
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
	subject := "plan"
	if kind == maintenance.Done {
		subject = "turn"
	}
	_, err = fmt.Fprintf(out, "%s %d is to be %s\n", subject, number, kind)
	return err
}
