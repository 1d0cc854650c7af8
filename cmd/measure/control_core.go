package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"caperarch/internal/mesh/rpc"
	"caperarch/meshapi"
)

const (
	// controlMembers is how many members each measured core has.
	controlMembers = 3
	// controlRoutes is how many routes the configuration has.
	controlRoutes = 350
	// frozenFor is how long a frozen leader stands still.
	frozenFor = 5 * time.Second
	// viewTime bounds a question to a member for its view.
	viewTime = 300 * time.Millisecond
)

// controlCore is a core of processes with a configuration, to which things happen.
type controlCore struct {
	*meshCore
	cleanups
	started int // members, ever
}

// startControlCore starts one in the loopback network of a number, with a configuration.
func startControlCore(binary string, network, routes int) (*controlCore, error) {
	c := newCleanups()
	core, err := startMeshCoreIn(c, binary, fmt.Sprintf("127.78.%d.", network), controlMembers)
	if err != nil {
		c.end()
		return nil, err
	}
	k := &controlCore{core, c, controlMembers}
	if _, _, _, err = core.replace(meshResources(routes)); err == nil {
		err = k.waitUntilHealthy()
	}
	if err != nil {
		c.end()
		return nil, err
	}
	return k, nil
}

// operator sends updates of one route, from the newest version on.
func (k *controlCore) operator() *operator {
	return newOperator(controlMembers, k.version, func(ctx context.Context, machine int, number int64) error {
		return k.post(ctx, k.hosts[machine], number)
	})
}

// post sends the update of a number to a member.
func (k *controlCore) post(ctx context.Context, host string, number int64) error {
	body, err := json.Marshal(map[string]any{
		"configVersion": number, "baseVersion": number - 1,
		"upsert": map[string]any{"resources": []json.RawMessage{meshRoute(int(number)%controlRoutes, 1+int(number)%3)}},
	})
	if err != nil {
		return err
	}
	_, err = rpc.Post[json.RawMessage](ctx, k.client, k.at(host, meshapi.UpdatePath), body)
	return err
}

func (k *controlCore) at(host, path string) string {
	return "http://" + net.JoinHostPort(host, strconv.Itoa(k.control)) + path
}

func (k *controlCore) internalAt(host string) string {
	return net.JoinHostPort(host, strconv.Itoa(k.internal))
}

// view is a member's word on itself; nil: it says nothing.
func (k *controlCore) view(host string) *meshapi.NodeStatus {
	ctx, cancel := context.WithTimeout(context.Background(), viewTime)
	defer cancel()
	view, err := rpc.Get[meshapi.NodeStatus](ctx, k.client, k.at(host, meshapi.NodeStatusPath))
	if err != nil {
		return nil
	}
	return view
}

// leader is the number of the member that leads by its own word.
func (k *controlCore) leader() (int, error) {
	found := -1
	err := until("a leader", func() bool {
		for i, host := range k.hosts {
			if v := k.view(host); v != nil && v.InContact && strings.HasPrefix(v.Leader, host+":") {
				found = i
			}
		}
		return found >= 0
	})
	return found, err
}

// follower is the number of a member that doesn't lead.
func (k *controlCore) follower() (int, error) {
	leads, err := k.leader()
	return (leads + 1 + rand.IntN(controlMembers-1)) % controlMembers, err
}

// waitUntilHealthy waits until all members vote, are in touch and agree on who they are.
func (k *controlCore) waitUntilHealthy() error {
	return until("a healthy core", func() bool {
		return !slices.ContainsFunc(k.hosts, func(host string) bool { return !k.tolerant(host) })
	})
}

// tolerant says that by a member's own word it votes and is in touch, and that the members that there
// are, and no others, are the voters.
func (k *controlCore) tolerant(host string) bool {
	v := k.view(host)
	if v == nil || !v.Voter || !v.InContact || v.MembershipChanging || len(v.Voters) != controlMembers {
		return false
	}
	return !slices.ContainsFunc(k.hosts, func(host string) bool {
		return !slices.Contains(v.Voters, k.internalAt(host))
	})
}

// restart starts a member anew on the disk that it has.
func (k *controlCore) restart(member int) (err error) {
	k.members[member], err = k.startMember(k.cleanups, k.hosts[member], member, false)
	return err
}

// nextHost is an address that no member had before.
func (k *controlCore) nextHost() string {
	k.started++
	return k.prefix + strconv.Itoa(k.started)
}

// leaderFault is what happens to the leader's process; it returns what brings the member back.
type leaderFault func(k *controlCore, member int) (repair func() error)

func killLeader(k *controlCore, member int) func() error {
	k.members[member].kill()
	return func() error { return k.restart(member) }
}

func freezeLeader(k *controlCore, member int) func() error {
	process := k.members[member].cmd.Process
	_ = process.Signal(syscall.SIGSTOP)
	thaw := time.After(frozenFor)
	return func() error {
		<-thaw
		return process.Signal(syscall.SIGCONT)
	}
}

// afterLeader measures the times from a fault of the leader's process until another member is known to
// lead (by the word of one that is left) and until the next acknowledged change.
func afterLeader(binary string, network, rounds int, fault leaderFault) (metrics, error) {
	k, err := startControlCore(binary, network, controlRoutes)
	if err != nil {
		return nil, err
	}
	defer k.end()
	o := k.operator()
	defer o.goOn()()
	measured := metrics{}
	for range rounds {
		if err := k.waitUntilHealthy(); err != nil {
			return measured, err
		}
		time.Sleep(rand.N(2 * operatorBackoff)) // no fixed place in the operator's rhythm
		leads, err := k.leader()
		if err != nil {
			return measured, err
		}
		at := time.Now()
		repair := fault(k, leads)
		elected := k.elected(at, leads)
		took, err := o.next(at)
		if err != nil {
			return measured, err
		}
		measured.add("acknowledged", took.Seconds())
		measured.add("elected", (<-elected).Seconds())
		if err := repair(); err != nil {
			return measured, err
		}
	}
	return measured, nil
}

// elected says how long after a moment one of the other members names another leader.
func (k *controlCore) elected(at time.Time, lost int) <-chan time.Duration {
	took := make(chan time.Duration, 1)
	others := slices.Delete(slices.Clone(k.hosts), lost, lost+1)
	go func() {
		_ = until("another leader", func() bool {
			return slices.ContainsFunc(others, func(host string) bool {
				v := k.view(host)
				return v != nil && v.Leader != "" && v.Leader != k.internalAt(k.hosts[lost])
			})
		})
		took <- time.Since(at)
	}()
	return took
}
