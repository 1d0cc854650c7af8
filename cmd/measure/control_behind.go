package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	// behindChanges is the number of changes that the member lacks when it starts, behindChangesShort the same in
	// the short form.
	behindChanges      = 5000
	behindChangesShort = 200
	// changeInterval is the interval of the changes that continue while the member catches up.
	changeInterval = 250 * time.Millisecond
	// behindCores is the number of cores that share the rounds, as making the changes takes most of a round's time.
	behindCores = 3
)

// measureCatchUpOnCores divides the rounds of measureCatchUp between several cores, which use consecutive networks.
func measureCatchUpOnCores(binary string, network, rounds, behind int) (metrics, error) {
	measured := make([]metrics, behindCores)
	failed := make([]error, behindCores)
	var running sync.WaitGroup
	for i := range behindCores {
		share := (rounds + i) / behindCores
		running.Go(func() { measured[i], failed[i] = measureCatchUp(binary, network+i, share, behind) })
	}
	running.Wait()
	all := metrics{}
	for _, f := range measured {
		all["caught up"] = append(all["caught up"], f["caught up"]...)
	}
	return all, errors.Join(failed...)
}

// measureCatchUp measures the time from the start of a member that lacks many changes until it has applied all
// changes that were committed at its start, while further changes are made. In each round a follower is killed, then
// the changes are made, then the follower is started again.
func measureCatchUp(binary string, network, rounds, behind int) (metrics, error) {
	k, err := startControlCore(binary, network, controlRoutes)
	if err != nil {
		return nil, err
	}
	defer k.end()
	measured := metrics{}
	for range rounds {
		member, err := k.follower()
		if err != nil {
			return measured, err
		}
		k.members[member].kill()
		if err := k.applyChanges(behind); err != nil {
			return measured, err
		}
		took, err := k.caughtUp(member)
		if err != nil {
			return measured, err
		}
		measured.add("caught up", took.Seconds())
		if err := k.waitUntilHealthy(); err != nil {
			return measured, err
		}
	}
	return measured, nil
}

// applyChanges makes a number of changes at the leader, one directly after the other.
func (k *controlCore) applyChanges(changes int) error {
	leaderNumber, err := k.leader()
	if err != nil {
		return err
	}
	for last := k.version + int64(changes); k.version < last; {
		ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
		err := k.post(ctx, k.hosts[leaderNumber], k.version+1)
		cancel()
		if err == nil {
			k.version++
			continue
		}
		if leaderNumber, err = k.leader(); err != nil {
			return err
		}
	}
	return nil
}

// caughtUp starts a member and returns the time until the member has applied all that the leader had applied before
// the start.
func (k *controlCore) caughtUp(member int) (time.Duration, error) {
	leaderNumber, err := k.leader()
	if err != nil {
		return 0, err
	}
	committed := k.view(k.hosts[leaderNumber])
	if committed == nil {
		return 0, fmt.Errorf("the leader did not respond to a status request")
	}
	o := k.operator()
	o.interval = changeInterval
	stop := o.startSending()
	began := time.Now()
	if err := k.restart(member); err != nil {
		return 0, err
	}
	err = waitFor("the member to apply all committed changes", func() bool {
		v := k.view(k.hosts[member])
		return v != nil && v.AppliedIndex >= committed.AppliedIndex && v.ConfigVersion >= committed.ConfigVersion
	})
	took := time.Since(began)
	stop()
	k.version = max(o.number, k.view(k.hosts[leaderNumber]).ConfigVersion)
	return took, err
}
