package testbed

import (
	"net"
	"os/exec"
	"sync"
	"sync/atomic"
	"testing"
)

// TestVanishWhileOthersStart: a child that is between fork and exec holds a copy of every
// descriptor, so what its parent closes lives on till then. A node that has vanished takes nothing
// more all the same, whoever starts programs beside it.
func TestVanishWhileOthersStart(t *testing.T) {
	var over atomic.Bool
	var starting sync.WaitGroup
	for range 4 {
		starting.Go(func() {
			for !over.Load() {
				_ = exec.Command("true").Run()
			}
		})
	}
	taken := 0
	for range 1000 {
		n := NewHTTPNode(t, "s-0", new(ArrivalLog))
		n.Vanish()
		if c, err := net.Dial("tcp", n.Address); err == nil {
			taken++
			_ = c.Close()
		}
	}
	over.Store(true)
	starting.Wait()
	if taken > 0 {
		t.Errorf("%d of 1000 nodes were reached behind their end", taken)
	}
}

// TestVanishedPortIsNobodyElses: another program's listener that came to the port of a node that
// has vanished would be sent what is meant for the node.
func TestVanishedPortIsNobodyElses(t *testing.T) {
	n := NewHTTPNode(t, "s-0", new(ArrivalLog))
	c, err := net.Dial("tcp", n.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	n.Vanish()
	if l, err := net.Listen("tcp", n.Address); err == nil {
		_ = l.Close()
		t.Error("another listener came to the port")
	}
	if c, err := net.Dial("tcp", n.Address); err == nil {
		_ = c.Close()
		t.Error("somebody listens there")
	}
	n.Return(t)
	if c, err = net.Dial("tcp", n.Address); err != nil {
		t.Fatal("not back at its port: ", err)
	}
	_ = c.Close()
}
