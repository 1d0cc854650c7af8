package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	// behindBy and behindByShort are how many changes a member lacks.
	behindBy      = 5000
	behindByShort = 200
	// changesEvery is how often changes go on coming.
	changesEvery = 250 * time.Millisecond
	// behindCores is how many cores share the rounds, as most of their time goes into what is missed.
	behindCores = 3
)

// catchUpTogether has several cores, from a network's number on, share the rounds of catchUp.
func catchUpTogether(binary string, network, rounds, behind int) (metrics, error) {
	measured := make([]metrics, behindCores)
	failed := make([]error, behindCores)
	var running sync.WaitGroup
	for i := range behindCores {
		share := (rounds + i) / behindCores
		running.Go(func() { measured[i], failed[i] = catchUp(binary, network+i, share, behind) })
	}
	running.Wait()
	all := metrics{}
	for _, f := range measured {
		all["caught up"] = append(all["caught up"], f["caught up"]...)
	}
	return all, errors.Join(failed...)
}

// catchUp measures how long a member that lacks so many changes takes, from its start, until it has
// applied all that was committed at that moment, while more come. Each round it misses as many anew.
func catchUp(binary string, network, rounds, behind int) (metrics, error) {
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
		if err := k.missed(behind); err != nil {
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

// missed has so many changes made, to the leader, as fast as it takes them.
func (k *controlCore) missed(changes int) error {
	leads, err := k.leader()
	if err != nil {
		return err
	}
	for last := k.version + int64(changes); k.version < last; {
		ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
		err := k.post(ctx, k.hosts[leads], k.version+1)
		cancel()
		if err == nil {
			k.version++
			continue
		}
		if leads, err = k.leader(); err != nil {
			return err
		}
	}
	return nil
}

// caughtUp starts a member and says how long it took to apply what the leader had applied by then.
func (k *controlCore) caughtUp(member int) (time.Duration, error) {
	leads, err := k.leader()
	if err != nil {
		return 0, err
	}
	committed := k.view(k.hosts[leads])
	if committed == nil {
		return 0, fmt.Errorf("the leader gave no view")
	}
	o := k.operator()
	o.interval = changesEvery
	stop := o.goOn()
	began := time.Now()
	if err := k.restart(member); err != nil {
		return 0, err
	}
	err = until("what was committed", func() bool {
		v := k.view(k.hosts[member])
		return v != nil && v.AppliedIndex >= committed.AppliedIndex && v.ConfigVersion >= committed.ConfigVersion
	})
	took := time.Since(began)
	stop()
	k.version = max(o.number, k.view(k.hosts[leads]).ConfigVersion)
	return took, err
}
