package main

import (
	"math/rand/v2"
	"os"
	"syscall"
	"time"
)

// successorAfter is when the successor of a lost member starts, and how long before a planned end.
const successorAfter = time.Second

// replacement puts a newcomer in the place of a member and says when the newcomer's process began.
type replacement func(k *controlCore) (newcomer int, began time.Time, err error)

// replaceFollower has a follower lost for good; its successor starts a second later.
func replaceFollower(k *controlCore) (int, time.Time, error) {
	member, err := k.follower()
	if err != nil {
		return 0, time.Time{}, err
	}
	return k.replaceLost(member)
}

// replaceLeader does so with the leader.
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

// replacePlanned has the successor of any member start first, and tells that one to end a second later.
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

// replaceDisk has a follower killed, and started again at once at its address with an empty disk.
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

// toTolerance measures the times from a newcomer's start until the core is healthy with it: it votes and
// is in touch, and it and the leader say that the members that there are, and no others, are the voters.
func toTolerance(binary string, network, rounds int, replace replacement) (metrics, error) {
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
		if err := until("full tolerance", func() bool {
			return k.tolerant(k.hosts[newcomer]) && k.leaderTolerant()
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

// leaderTolerant says that the member that leads says that the core is healthy.
func (k *controlCore) leaderTolerant() bool {
	for _, host := range k.hosts {
		if v := k.view(host); v != nil && v.Leader == k.internalAt(host) {
			return k.tolerant(host)
		}
	}
	return false
}
