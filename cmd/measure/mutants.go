package main

// planted are all faults.
var planted = []batch{
	{"internal/fleet/replicatedstate", "", replicatedStateMutants},
	{"internal/fleet/raftlog", "", raftLogMutants},
	{"internal/fleet/policyrollout", "internal/fleet/replicatedstate", policyRolloutMutants},
	{"internal/fleet/maintenance", "", maintenanceMutants},
	{"internal/fleet/maintenance", "internal/fleet/replicatedstate", roundMutants},
	{"internal/fleet/swim", "", swimMutants},
	{"internal/mesh/replication", "", replicationMutants},
	{"internal/mesh/quota", "", quotaMutants},
}

// swimMutants are faults in what a sidecar holds of others and of its own contact.
var swimMutants = []mutant{
	{"contact.go", "now >= n.leaseEnd && n.leaseStale", "now >= n.leaseEnd && n.leaseStale && false", "the lease is never reckoned"},
	{"contact.go", "return times[len(times)-need] + n.Lease", "return times[len(times)-need] + 3*n.Lease", "the lease is three times too long"},
	{"contact.go", "return times[len(times)-need] + n.Lease", "return times[len(times)-1] + n.Lease", "one fresh answer keeps a whole majority's lease"},
	{"contact.go", "need := n.majority - 1", "need := (n.majority - 1) / 2", "half of a majority is enough"},
	{"contact.go", "n.startSession(now, n.session.Sequence+1) // what", "// what", "a session that has lapsed comes back"},
	{"contact.go", "from.lastLeaseAck, n.leaseStale = sent, true", "from.lastLeaseAck, n.leaseStale = now, true", "the lease counts from the answer's arrival, not from what it answers"},
	{"contact.go", "!m.NoLease && sent >= n.sessionStart", "sent >= n.sessionStart", "answers that give no lease are taken for ones that do"},
	{"contact.go", "!m.NoLease && sent >= n.sessionStart", "!m.NoLease", "answers to an earlier session count for this one"},
	{"contact.go", "m.EchoTag == IncarnationTag(n.session.Incarnation) && fromStamp(m.Echo) <= now", "fromStamp(m.Echo) <= now", "answers to the process before count for this one"},
	{"contact.go", "return !n.withholdsLeases(now) && m.state < Dead && m.session == s", "return m.state < Dead && m.session == s", "who comes back vouches at once, having forgotten"},
	{"contact.go", "return !n.withholdsLeases(now) && m.state < Dead && m.session == s", "_ = m\n\treturn !n.withholdsLeases(now)", "a session that is counted as gone goes on getting leases"},
	{"session_over.go", "if same < n.majority {", "if same < 1 {", "out without a majority that holds the same"},
	{"session_over.go", "now >= m.majorityAt+n.LeaseExpiry()", "now >= m.majorityAt", "out before the longest lease is over"},
	{"session_over.go", "now-m.digestAt <= n.digestLifetime() && m.digest == n.digest", "m.digest == n.digest", "sights of any age count"},
	{"contact.go", "from.digest, from.digestAt = m.Digest, sent", "from.digest, from.digestAt = m.Digest, now", "a sight counts from its arrival"},
	{"contact.go", "if !in && now >= n.sequenceStart+n.Lease {", "if false {", "a session that never was in contact lasts for ever"},
	{"rumour.go", "n.endContact(now, \"it was counted as gone\")", "", "who was counted as gone keeps its lease"},
	{"rumour.go", "n.startSession(now, r.Session.Sequence+1)\n\t\treturn", "return", "an end is never refuted"},
	{"rumour.go", "n.advanceSequence(now, r.Session.Sequence+1, n.retransmits())", "n.advanceSequence(now, r.Session.Sequence, n.retransmits())", "a suspicion is refuted under the old number"},
	{"rumour.go", "if digest == n.digest || n.digest == 0 || most == 1 {", "if true {", "what was missed is never told again"},
	{"rumour.go", "if !r.newer(m.session, m.state) {", "if r.Session.Before(m.session) {", "an older state of a session overrides a newer one"},
	{"node.go", "n.refreshContact(now)\n\tn.budget.fill(now)\n\tfrom := &n.members[m.From]", "n.budget.fill(now)\n\tfrom := &n.members[m.From]", "an answer behind the lease's end is counted before it is looked at"},
	{"node.go", "n.doubtUntil = now + selfDoubtTime", "", "who was stopped accuses at once"},
	{"node.go", "return now < n.doubtUntil || !n.inContact ||", "return false && !n.inContact ||", "who is out of contact accuses"},
	{"suspicion.go", "if s.start = max(s.start, m.lastReceived); now-s.start", "if now-s.start", "who was heard since is counted as gone"},
	{"budget.go", "func (n *Node) hasBudget(fraction float64) bool { return", "func (n *Node) hasBudget(fraction float64) bool { return true ||", "the budget is not looked at"},
	{"rumour.go", "case s.State == Alive && !newcomer:\n\t\treturn 1", "case s.State == Alive && !newcomer:\n\t\treturn 3", "refutations go last"},
	{"probe.go", "return v > 0 && now-v < time.Duration(n.Size)*Period/answers/2", "return v < 0", "whom one heard lately is probed again"},
	{"probe.go", "if n.doubtsItself(now) {\n\t\treturn\n\t}\n\tm := &n.members[p.target]", "m := &n.members[p.target]", "who doubts itself accuses"},
}

// maintenanceMutants are faults in how machines are taken out for work.
var maintenanceMutants = []mutant{
	{"state.go", "if e.Kind.leaderOnly() && e.Term != s.Term {", "if false {", "a leader that leads no more decides on"},
	{"state.go", "if e.Term <= s.Term {", "if e.Term == s.Term {", "an earlier leader takes over again"},
	{"state.go", "case e.Number != s.LastWindow+1:", "case false:", "turns of any number"},
	{"state.go", "case e.LastPlan != s.LastPlan:", "case false:", "a turn that was not held against the newest plan's bounds"},
	{"state.go", "case w.Paused != \"\":", "case false:", "a paused plan gives turns"},
	{"state.go", "case e.Kind == Done && t.Phase == Free:", "case e.Kind == Done:", "done before it is free"},
	{"state.go", "case e.Kind == Withdrawn && t.Phase == Draining:", "case e.Kind == Withdrawn:", "withdrawn while somebody works on it"},
	{"state.go", "\t\t\tdelete(w.Visited, t.Machine)\n", "", "a withdrawn turn is never given again"},
	{"leader.go", "if s.Term != l.Term {", "if false {", "a leader does not say that it begins"},
	{"order.go", "if m := &w.Machines[i]; turns[m.ID] || m.State != MachineReady || m.Warmth < 1 {", "if m := &w.Machines[i]; m.State != MachineReady || m.Warmth < 1 {", "turns of the log don't count"},
	{"order.go", "\t\tif why := l.whyTooMany(w, s, p, m.ID); why != \"\" {\n\t\t\treturn why\n\t\t}\n", "", "no bounds"},
	{"order.go", "case cells[it.Cell] > p.Out.Cell.limit(byCell[it.Cell]):", "case cells[it.Cell] > p.Out.Cell.limit(byCell[it.Cell]) && false:", "no bound by cell"},
	{"order.go", "case zones[it.Zone] > p.Out.Zone.limit(byZone[it.Zone]):", "case zones[it.Zone] > p.Out.Zone.limit(byZone[it.Zone]) && false:", "no bound by zone"},
	{"order.go", "case slices.ContainsFunc(s.Windows, func(t Window) bool { return t.Phase == Draining }):", "case false:", "two turns by one look"},
	{"windows.go", "case back && (p == nil || w.InTime >= p.InTime && w.Current):", "case (back || m != nil) && (p == nil || w.InTime >= p.InTime && w.Current):", "over before it is warm"},
	{"windows.go", "case w.Clear(t.Number) && (", "case (", "free before it is clear"},
	{"windows.go", "(p.CutOff != AwaitExpiry || w.Unreachable == 0)", "true", "free while sidecars are out of contact that were to be waited for"},
	{"windows.go", "case long > drainTimeout+w.Slack:", "case false:", "a turn that nobody lets go of stands for ever"},
	{"order.go", "case w.Unreachable > 0 && p.CutOff == AwaitExpiry:", "case false:", "sidecars out of contact are not waited for"},
	{"windows.go", "if p.whyOverloaded(w.Machines, machinesOutSet(s), w.Traffic) != \"\" {", "if false {", "freed though the others are short"},
	{"order.go", "case mine > 0 && l.lateSince > 0 && w.Now-l.lateSince >= pauseAfter:", "case false:", "a plan goes on though service got worse"},
}

// roundMutants are faults in what a leader is told of turns, found where whole fleets play.
var roundMutants = []mutant{
	{"reports.go", "case now < end && t.received && t.ClearUpTo >= turn:", "case now < end && t.received:", "who has told anything is clear"},
	{"reports.go", "case now >= end+rs.Deadline:", "case now >= end:", "what is out there is not given its time behind a lease"},
	{"reports.go", "!t.received || life > t.incarnation || life == t.incarnation && turn > t.sequence {", "t != nil {", "an overtaken report counts"},
	{"reports.go", "s.Complete = false", "", "a new leader takes those it has not heard of for idle"},
	{"clearance.go", "if age < deadline {", "if false {", "a process that has just begun is clear of what the one before it has out"},
	{"clearance.go", "return t.Number - 1", "continue", "a sidecar is clear of a turn whose machine it has something out at"},
	{"clearance.go", "if t.Phase != Returning && o.clear[t.Number] != t.Machine {\n\t\t\tif all", "if false {\n\t\t\tif all", "nobody looks whether anything is out there"},
}

// policyRolloutMutants are faults in how a change of policy takes hold.
var policyRolloutMutants = []mutant{
	{"participant.go", "if h.unreadable || !h.HasGrant(now) ||", "if h.unreadable ||", "who has no grant goes by the log all the same"},
	{"participant.go", "if s.Pending.Version != 0 && h.reportedBoth == s.Pending {", "if false {", "who can't apply it any more goes back to the old one"},
	{"participant.go", "if g.index <= h.lastIndex && now-g.sent", "if now-g.sent", "a grant counts before the log is here"},
	{"participant.go", "now-g.sent < h.Lease && now >= g.sent {", "now-g.sent < 3*h.Lease && now >= g.sent {", "a grant counts for three leases"},
	{"participant.go", "h.grants = append(h.grants, grant{sent, index})", "h.grants = append(h.grants, grant{now, index})", "a grant counts from its arrival"},
	{"participant.go", "return Active{Both, s.Current, s.Pending}", "return Active{Mode: One, New: s.Pending}", "the step by both is left out"},
	{"participant.go", "if s.Pending.Version != 0 && h.whyNotApplicable(s.Pending) == \"\" && h.whyNotApplicable(s.Current) == \"\" {", "if s.Pending.Version != 0 {", "who has not the text says that it goes by both"},
	{"leader.go", "case now-confirmed >= l.QuorumAckTimeout || !s.Started:", "case !s.Started:", "a leader that nobody confirms grants on"},
	{"leader.go", "case s.Pending.Version != 0 && !appliesBoth(r, s):", "case false:", "who goes by the old one is granted on during a change"},
	{"leader.go", "m.grantedAt = now\n", "m.grantedAt = 0\n", "the leader forgets whom it granted"},
	{"leader.go", "return l.termStart + l.LeaseExpiry + l.QuorumAckTimeout + l.QuorumAckTimeout/4", "return l.termStart", "a new leader does not wait for others' grants"},
	{"leader.go", "return max(l.earlierGrantsExpired(), granted+l.LeaseExpiry)", "return max(l.earlierGrantsExpired(), granted)", "a grant is taken for over before it is"},
	{"leader.go", "if l.allGranted(now, func(r Report) bool { return appliesBoth(r, s) }) && 2*granted > l.Size {", "if 2*granted > l.Size {", "taken once a majority is there"},
	{"leader.go", "if s.Completing != 0 && l.allGranted(", "if s.Completing != 0 || l.allGranted(", "settled while some go by both still"},
	{"leader.go", "return r.LastIndex >= s.OutcomeIndex && r.Active", "return r.Active", "a report of before the outcome counts as one of behind it"},
	{"leader.go", "if !l.hasNoGrant(now, i) && !(", "if !(", "who is down holds a change up for ever"},
	{"leader.go", "if now >= max(l.changeStart, l.earlierGrantsExpired())+changeTimeoutHalves*l.LeaseExpiry/2 {", "if false {", "a change that can't go on is never called off"},
	{"leader.go", "if m := &l.members[i]; m.received && m.report.Rejection != \"\" && now-m.receivedAt < l.LeaseExpiry {", "if m := &l.members[i]; m == nil {", "one that can't apply it does not stop it"},
	{"leader.go", "case now-confirmed >= l.QuorumAckTimeout || !s.Started:", "case now-confirmed >= l.QuorumAckTimeout:", "a log that has just begun grants at once"},
	{"leader.go", "r.Sequence <= m.report.Sequence", "false", "a report that was overtaken counts"},
	{"state.go", "case !s.Started:", "case false:", "a log that has just begun takes a change"},
	{"state.go", "case s.Pending.Version != 0 || s.Offered.Version != 0 && !offer:\n", "case s.Pending.Version != 0:\n", "a second change begins while a text is on offer"},
	{"state.go", "case s.Pending.Version != 0 || s.Offered.Version != 0 && !offer:\n", "case s.Offered.Version != 0 && !offer:\n", "a second change begins while one is under way"},
	{"state.go", "case s.Completing != 0:\n", "case false:\n", "a change begins before the last has settled"},
	{"state.go", "case e.Base != s.Current.Version:", "case false:", "a change on an old base is taken"},
	{"state.go", "s.Pending, s.Completing, s.OutcomeIndex = Ref{}, e.Version, index", "s.Completing, s.OutcomeIndex = e.Version, index", "a change goes on behind its outcome"},
	{"state.go", "if e.Version != s.Pending.Version || e.Version == 0 {", "if e.Version == 0 {", "an outcome that comes late counts for the next change"},
}

// raftLogMutants are faults in the agreed log.
var raftLogMutants = []mutant{
	{"receive.go", "if m.GetTo() != n.id {\n\t\treturn", "if false {\n\t\treturn", "who restarts answers for the process before it"},
	{"voters.go", "b[i], b[8+i] = byte(s.Incarnation>>(8*i)), byte(s.Number>>(8*i))", "b[8+i] = byte(s.Number>>(8*i))", "a vote is a number's, not a process's"},
	{"receive.go", "case m.Epoch < n.epoch:\n\t\tn.send(from, &Message{}) // tells it of the newer epoch\n\t\treturn", "case m.Epoch < n.epoch:", "an older epoch's log goes on in the new one"},
	{"log.go", "if e.Index != n.LastIndex()+1 {\n\t\tif", "if e.Index > n.LastIndex()+1 {\n\t\tif", "an entry is added twice"},
	{"receive.go", " && !n.loggedTokens[m.ProposalToken] {", " {", "what stands in the log is added again"},
	{"receive.go", "return ok && e.GetType() == raftpb.EntryType_EntryNormal && n.loggedTokens[token]", "return false && ok && n.loggedTokens[token]", "what another voter proposes again is added again"},
	{"confirm.go", "if term := n.Term(); term != n.confirmTerm {", "if term := n.Term(); false {", "an earlier term's confirmation counts"},
}

// replicatedStateMutants are faults in one sidecar's whole part.
var replicatedStateMutants = []mutant{
	{"grants.go", "g.Life == n.incarnation", "true", "a grant for the process before it counts"},
	{"grants.go", "n.participant.RecordGrant(now, fromStamp(sent), index)", "n.participant.RecordGrant(now, now, index)", "a grant counts from when it comes, not from what it answers"},
	{"grants.go", "n.deliverGrant(now, h, m.Index)", "n.deliverGrant(now, h, 0)", "a grant counts however little of the log is here"},
	{"grants.go", "g.Which |= 1 << i", "g.Which |= 3 << i", "the leader's word for one is the next one's too"},
	{"grants.go", "for range maxGrantsPerTick {", "for range 0 {", "the leader's word goes to nobody"},
	{"loghost.go", "\tn.participant.Reset()\n", "", "what another log said goes on"},
	{"leader.go", "n.leader == nil || n.term != n.log.Term() || n.epoch != n.log.Epoch()", "n.leader == nil", "a leader goes on with what it knew in an earlier term"},
	{"replicatedstate.go", "if m.Epoch != 0 && m.Epoch == n.log.Epoch() {", "if true {", "reports and grants of another log count"},
	{"leader.go", "return incarnation != s.Incarnation", "return false && incarnation != s.Incarnation", "a voter that has restarted is never replaced"},
	{"change.go", "if n.Active(now).Mode == policyrollout.CutOff {", "if false {", "one that is cut off begins a change"},
	{"change.go", "case base != s.Current.Version:", "case false:", "a proposal on an old base is begun"},
	{"change.go", "if x.chunkCount() > maxPushedChunks {", "if false {", "a long text does not go round first"},
	{"texts.go", "shortHash(sum) != x.name", "shortHash(sum) != x.name && false", "a text that was spoilt on the way is taken"},
	{"maintenance.go", "p.Clear, p.Rate, p.Served = r.ClearUpTo,", "p.Clear, p.Rate, p.Served = n.maintenance.state.LastWindow,", "a sidecar tells that it is clear of all that it knows of"},
}
