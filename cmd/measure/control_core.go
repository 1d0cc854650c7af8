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
	// controlMembers is the number of members of each measured core.
	controlMembers = 3
	// controlRoutes is the number of routes in the configuration.
	controlRoutes = 350
	// freezeDuration is the time for which a frozen leader is stopped.
	freezeDuration = 5 * time.Second
	// viewTimeout limits a status request to a member.
	viewTimeout = 300 * time.Millisecond
)

// controlCore is a core of processes with a configuration, into which faults are injected.
type controlCore struct {
	*meshCore
	cleanups
	started int // number of members ever started, which gives the next member's address
}

// startControlCore starts a core in the loopback network of a number, with a configuration.
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

// operator returns an operator that makes changes of one route each, starting after the newest version.
func (k *controlCore) operator() *operator {
	return newOperator(controlMembers, k.version, func(ctx context.Context, machine int, number int64) error {
		return k.post(ctx, k.hosts[machine], number)
	})
}

// post sends the change to version number to a member.
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

// view returns a member's status, or nil if the member does not respond.
func (k *controlCore) view(host string) *meshapi.NodeStatus {
	ctx, cancel := context.WithTimeout(context.Background(), viewTimeout)
	defer cancel()
	view, err := rpc.Get[meshapi.NodeStatus](ctx, k.client, k.at(host, meshapi.NodeStatusPath))
	if err != nil {
		return nil
	}
	return view
}

// leader waits for a member that reports itself as leader, and returns the member's number.
func (k *controlCore) leader() (int, error) {
	found := -1
	err := waitFor("a leader", func() bool {
		for i, host := range k.hosts {
			if v := k.view(host); v != nil && v.InContact && strings.HasPrefix(v.Leader, host+":") {
				found = i
			}
		}
		return found >= 0
	})
	return found, err
}

// follower returns the number of a random member that is not the leader.
func (k *controlCore) follower() (int, error) {
	leaderNumber, err := k.leader()
	return (leaderNumber + 1 + rand.IntN(controlMembers-1)) % controlMembers, err
}

// waitUntilHealthy waits until all members vote, are in contact with a majority and agree on the voters.
func (k *controlCore) waitUntilHealthy() error {
	return waitFor("a healthy core", func() bool {
		return !slices.ContainsFunc(k.hosts, func(host string) bool { return !k.reportsHealthy(host) })
	})
}

// reportsHealthy reports whether a member states that it is a voter in contact with a majority, and that the voters are
// exactly the current members.
func (k *controlCore) reportsHealthy(host string) bool {
	v := k.view(host)
	if v == nil || !v.Voter || !v.InContact || v.MembershipChanging || len(v.Voters) != controlMembers {
		return false
	}
	return !slices.ContainsFunc(k.hosts, func(host string) bool {
		return !slices.Contains(v.Voters, k.internalAt(host))
	})
}

// restart starts a member again with its existing disk.
func (k *controlCore) restart(member int) (err error) {
	k.members[member], err = k.startMember(k.cleanups, k.hosts[member], member, false)
	return err
}

// nextHost returns an address that no member has had before.
func (k *controlCore) nextHost() string {
	k.started++
	return k.prefix + strconv.Itoa(k.started)
}

// leaderFault injects a fault into the leader's process. The returned function repairs the fault.
type leaderFault func(k *controlCore, member int) (repair func() error)

func killLeader(k *controlCore, member int) func() error {
	k.members[member].kill()
	return func() error { return k.restart(member) }
}

func freezeLeader(k *controlCore, member int) func() error {
	process := k.members[member].cmd.Process
	_ = process.Signal(syscall.SIGSTOP)
	thaw := time.After(freezeDuration)
	return func() error {
		<-thaw
		return process.Signal(syscall.SIGCONT)
	}
}

// measureLeaderFault measures the times from a fault of the leader's process until one of the other members reports
// another leader, and until the next acknowledged change.
func measureLeaderFault(binary string, network, rounds int, fault leaderFault) (metrics, error) {
	k, err := startControlCore(binary, network, controlRoutes)
	if err != nil {
		return nil, err
	}
	defer k.end()
	o := k.operator()
	defer o.startSending()()
	measured := metrics{}
	for range rounds {
		if err := k.waitUntilHealthy(); err != nil {
			return measured, err
		}
		time.Sleep(rand.N(2 * operatorBackoff)) // a random phase relative to the operator's changes
		leaderNumber, err := k.leader()
		if err != nil {
			return measured, err
		}
		at := time.Now()
		repair := fault(k, leaderNumber)
		elected := k.elected(at, leaderNumber)
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

// elected returns a channel that receives the time from at until a member other than lost reports another leader.
func (k *controlCore) elected(at time.Time, lost int) <-chan time.Duration {
	took := make(chan time.Duration, 1)
	others := slices.Delete(slices.Clone(k.hosts), lost, lost+1)
	go func() {
		_ = waitFor("another leader", func() bool {
			return slices.ContainsFunc(others, func(host string) bool {
				v := k.view(host)
				return v != nil && v.Leader != "" && v.Leader != k.internalAt(k.hosts[lost])
			})
		})
		took <- time.Since(at)
	}()
	return took
}
