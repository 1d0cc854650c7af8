package main

import (
	"math/rand/v2"
	"os"
	"syscall"
	"time"
)

// successorAfter is the time from the loss of a member to the start of its successor and, for a planned replacement,
// from the start of the successor to the end of the member.
const successorAfter = time.Second

// replacement replaces a member by a new process, and returns the member's number and the start time of the process.
type replacement func(k *controlCore) (newcomer int, began time.Time, err error)

// replaceFollower kills a follower permanently, and starts a successor at another address after successorAfter.
func replaceFollower(k *controlCore) (int, time.Time, error) {
	member, err := k.follower()
	if err != nil {
		return 0, time.Time{}, err
	}
	return k.replaceLost(member)
}

// replaceLeader kills the leader permanently, and starts a successor at another address after successorAfter.
func replaceLeader(k *controlCore) (int, time.Time, error) {
	member, err := k.leader()
	if err != nil {
		return 0, time.Time{}, err
	}
	return k.replaceLost(member)
}

func (k *controlCore) replaceLost(member int) (int, time.Time, error) {
	k.members[member].kill()
	time.Sleep(successorAfter)
	began, host := time.Now(), k.nextHost()
	process, err := k.startMember(k.cleanups, host, member, false)
	k.members[member], k.hosts[member] = process, host
	return member, began, err
}

// replacePlanned starts the successor of a random member, and sends SIGTERM to the member after successorAfter.
func replacePlanned(k *controlCore) (int, time.Time, error) {
	member := rand.IntN(controlMembers)
	began, host := time.Now(), k.nextHost()
	process, err := k.startMember(k.cleanups, host, member, false)
	if err != nil {
		return 0, began, err
	}
	time.Sleep(successorAfter)
	old := k.members[member]
	_ = old.cmd.Process.Signal(syscall.SIGTERM)
	go func() { _ = old.cmd.Wait() }()
	k.members[member], k.hosts[member] = process, host
	return member, began, nil
}

// replaceDisk kills a follower, and starts it again at once at the same address with an empty disk.
func replaceDisk(k *controlCore) (int, time.Time, error) {
	member, err := k.follower()
	if err != nil {
		return 0, time.Time{}, err
	}
	k.members[member].kill()
	if err := os.RemoveAll(k.disk(k.hosts[member])); err != nil {
		return 0, time.Time{}, err
	}
	began := time.Now()
	return member, began, k.restart(member)
}

// measureTolerance measures the times from the start of a new member until the core is fully fault-tolerant
// with it: the new member and the leader both report that they are voters in contact with a majority, and that the
// voters are exactly the current members.
func measureTolerance(binary string, network, rounds int, replace replacement) (metrics, error) {
	k, err := startControlCore(binary, network, controlRoutes)
	if err != nil {
		return nil, err
	}
	defer k.end()
	measured := metrics{}
	for range rounds {
		newcomer, began, err := replace(k)
		if err != nil {
			return measured, err
		}
		if err := waitFor("full tolerance", func() bool {
			return k.reportsHealthy(k.hosts[newcomer]) && k.leaderReportsHealthy()
		}); err != nil {
			return measured, err
		}
		measured.add("tolerance", time.Since(began).Seconds())
		if err := k.waitUntilHealthy(); err != nil {
			return measured, err
		}
	}
	return measured, nil
}

// leaderReportsHealthy reports whether the leader states that the core is healthy.
func (k *controlCore) leaderReportsHealthy() bool {
	for _, host := range k.hosts {
		if v := k.view(host); v != nil && v.Leader == k.internalAt(host) {
			return k.reportsHealthy(host)
		}
	}
	return false
}
