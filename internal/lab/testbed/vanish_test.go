package testbed

import (
	"net"
	"os/exec"
	"sync"
	"sync/atomic"
	"testing"
)

// A child process between fork and exec holds a copy of every descriptor, so a listener that its parent closes lives on
// until exec. A node that has vanished must not accept connections, even while the test starts other programs.
func TestVanishWhileOthersStart(t *testing.T) {
	var stopped atomic.Bool
	var starting sync.WaitGroup
	for range 4 {
		starting.Go(func() {
			for !stopped.Load() {
				_ = exec.Command("true").Run()
			}
		})
	}
	accepted := 0
	for range 1000 {
		n := NewHTTPNode(t, "s-0", new(ArrivalLog))
		n.Vanish()
		if c, err := net.Dial("tcp", n.Address); err == nil {
			accepted++
			_ = c.Close()
		}
	}
	stopped.Store(true)
	starting.Wait()
	if accepted > 0 {
		t.Errorf("%d of 1000 nodes accepted a connection after they had vanished, want 0", accepted)
	}
}

// If another program could listen on the port of a vanished node, it would receive the node's requests.
func TestVanishedPortStaysReserved(t *testing.T) {
	n := NewHTTPNode(t, "s-0", new(ArrivalLog))
	c, err := net.Dial("tcp", n.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	n.Vanish()
	if l, err := net.Listen("tcp", n.Address); err == nil {
		_ = l.Close()
		t.Error("another listener got the port of a vanished node")
	}
	if c, err := net.Dial("tcp", n.Address); err == nil {
		_ = c.Close()
		t.Error("a connection to a vanished node was accepted")
	}
	n.Return(t)
	if c, err = net.Dial("tcp", n.Address); err != nil {
		t.Fatal("no connection to the restarted node: ", err)
	}
	_ = c.Close()
}
