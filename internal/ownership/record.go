package ownership

import (
	"slices"
	"strconv"
	"time"

	"rosedrift.example/rosedrift/internal/dispatch"
	"rosedrift.example/rosedrift/internal/structs"
)

// evaluate emits all actions that are due for a pool.
func (m *Machine) evaluate(p *pool, now time.Duration) {
	if !p.owned {
		m.acquire(p, now)
		return
	}
	m.sendFences(p, now)
	m.tryFinishRecovery(p, now)
	m.updateDetachedFlag(p, now)
	// The mode comes before the record, so that a handover suspends the pool before the record names the successor.
	m.reportMode(p, now)
	m.updateRecord(p, now)
	m.reportEligible(p)
	p.checkInvariants()
}

// checkInvariants panics if an invariant that holds between steps is violated.
func (p *pool) checkInvariants() {
	switch {
	case p.epoch != p.record.Epoch:
		panic("ownership: owned epoch differs from the newest record of " + p.id.String())
	case p.adopted && p.journal == nil:
		panic("ownership: recovery ended without the journal of " + p.id.String())
	case p.writeInFlight != nil && p.writeInFlight.expectedVersion > p.version:
		panic("ownership: write in flight expects an unknown version of " + p.id.String())
	}
}

// writeRecord emits the write of a record. At most one write per pool is in flight.
func (m *Machine) writeRecord(p *pool, record Record) {
	if p.writeInFlight != nil {
		panic("ownership: second write in flight for " + p.id.String())
	}
	m.writeCount++
	record.Write = m.self.String() + "/" + strconv.FormatUint(m.writeCount, 10)
	p.writeInFlight = &write{record: record, expectedVersion: p.version, lease: m.leaseNumber}
	p.invalidate()
	m.emit(PutRecord{Record: record, ExpectedVersion: p.version})
}

// applyRecord applies a record of the store that is newer than the known one. It may begin or end the ownership of the
// pool. A stale read has a lower version than the known record, since the store never reuses a version.
func (m *Machine) applyRecord(p *pool, now time.Duration, record Record, version, revision uint64) {
	if version < p.version || version == 0 {
		return
	}
	if version == p.version {
		p.revision = max(p.revision, revision)
		return
	}
	record.Roster = slices.Clone(record.Roster)
	slices.SortFunc(record.Roster, compareAgents)
	if record.Departed && !slices.Equal(record.Roster, p.record.Roster) {
		p.departedUntil = now + RecordRetention
	}
	previous := p.record
	p.record = record
	p.version = version
	p.revision = revision
	p.unresolvedWrites = nil
	if record.Owner != previous.Owner || record.Epoch != previous.Epoch {
		m.changeOwner(p, now)
	}
	// The gateway that wrote the new version had a lease, so the end of the owner's lease must be observed again.
	p.ownerLeaseEnded = false
	p.prune()
	p.invalidate()
}

// changeOwner ends an earlier ownership after a change of the record's owner or epoch and, if the record names this
// gateway, begins a new one.
func (m *Machine) changeOwner(p *pool, now time.Duration) {
	waiveFrom := now
	if p.ownerLeaseEnded && !p.record.Handover {
		waiveFrom = p.ownerLeaseEndedAt
	}
	if p.owned {
		m.loseOwnership(p)
	}
	if p.record.Owner == m.self {
		m.startRecovery(p, now, waiveFrom)
	}
}

// loseOwnership ends the ownership of the pool. The linked agents and a write in flight are not affected.
func (m *Machine) loseOwnership(p *pool) {
	m.emit(PoolLost{Pool: p.id, Epoch: p.epoch})
	p.owned = false
	p.resetOwnership()
}

// resetOwnership clears the state that is valid only under one epoch.
func (p *pool) resetOwnership() {
	p.confirmedLease, p.lastStoreContact, p.hasStoreContact = 0, 0, false
	p.journal, p.adopted, p.hasMajority, p.majoritySince = nil, false, false, 0
	p.detachedFlag, p.detachedFlagSince, p.hasBacklog = false, 0, false
	p.successor, p.keysMayBeMissingUntil, p.unjournaledUntil, p.modeReported = nil, 0, 0, false
	p.invalidate()
	for _, a := range p.agents {
		a.hasEpochAck, a.epochAckSentAt = false, 0
		a.promise, a.fenceSent, a.fenceSentAt, a.eligible = nil, false, 0, false
	}
}

// startRecovery begins the ownership and the recovery under the epoch of the record. It does not set confirmedLease:
// the record may have been written by another gateway (a handover) or during an earlier lease of this one.
func (m *Machine) startRecovery(p *pool, now, waiveFrom time.Duration) {
	p.resetOwnership()
	p.owned = true
	p.epoch = p.record.Epoch
	p.acquiredAt = now
	p.waiveFrom = waiveFrom
	p.departedUntil = now + RecordRetention
	for _, ref := range p.record.Roster {
		if a := p.agent(ref); !a.linked {
			a.lostSince = now
		}
	}
	p.invalidate()
	m.emit(Acquired{Pool: p.id, Epoch: p.epoch, Handover: p.record.Handover})
	m.emit(ReadJournal{Pool: p.id, Epoch: p.epoch})
}

// applyPut applies the result of the write in flight.
func (m *Machine) applyPut(p *pool, now time.Duration, in PutResult) {
	w := p.writeInFlight
	if w == nil {
		return
	}
	p.writeInFlight = nil
	p.invalidate()
	if in.OK {
		m.applyRecord(p, now, w.record, in.Version, 0)
		m.confirmLease(p, w)
		return
	}
	p.retryAt = now + WriteRetry
	m.applyRecord(p, now, in.Record, in.Version, 0)
	if p.version == w.expectedVersion {
		p.addUnresolved(*w)
	}
}

// confirmLease records the lease during which a successful write was sent: the record named this gateway as the owner
// at some time after that lease began.
func (m *Machine) confirmLease(p *pool, w *write) {
	if !p.owned || w.record.Owner != m.self || w.record.Epoch != p.epoch {
		return
	}
	p.confirmedLease = max(p.confirmedLease, w.lease)
	if p.confirmedLease == m.leaseNumber && m.hasLease {
		p.lastStoreContact = m.lastRenewal
		p.hasStoreContact = true
	}
}

// addUnresolved keeps a write that may still take effect. Only its roster matters, so one write per roster is enough.
func (p *pool) addUnresolved(w write) {
	for _, other := range p.unresolvedWrites {
		if slices.Equal(other.record.Roster, w.record.Roster) {
			return
		}
	}
	p.unresolvedWrites = append(p.unresolvedWrites, w)
}

// canWrite reports whether the record may be written now.
func (m *Machine) canWrite(p *pool, now time.Duration) bool {
	return p.writeInFlight == nil && now >= p.retryAt && m.leaseValid(now)
}

// acquire takes over a pool whose owner's lease has ended, or creates the record of a new pool. It waits
// TakeoverStagger for each live gateway that is preferred to this one, so that the gateways do not compete.
func (m *Machine) acquire(p *pool, now time.Duration) {
	if !p.configured || !m.membersKnown || !m.hasOwnerLeaseEnded(p, now) || !m.canWrite(p, now) {
		return
	}
	since := p.configuredAt
	if p.version > 0 {
		since = p.ownerLeaseEndedAt
	}
	if now-since < time.Duration(m.rank(p.id))*TakeoverStagger {
		return
	}
	record := p.record
	record.Epoch++
	record.Owner = m.self
	record.Handover = false
	if p.version > 0 && !slices.Contains(p.record.Previous, p.record.Owner) {
		record.Previous = append(slices.Clone(p.record.Previous), p.record.Owner)
	}
	m.writeRecord(p, record)
}

// hasOwnerLeaseEnded reports whether the owner had no lease at some time after the newest record was written. If the
// owner gets a new lease later, it writes the record again, so that a takeover that expects the known version fails.
func (m *Machine) hasOwnerLeaseEnded(p *pool, now time.Duration) bool {
	if p.version == 0 {
		return true
	}
	known := p.revision > 0 && m.liveRevision >= p.revision
	if known && m.live[p.record.Owner] {
		p.ownerLeaseEnded = false
	}
	if !known || m.live[p.record.Owner] {
		return false
	}
	if !p.ownerLeaseEnded {
		p.ownerLeaseEnded = true
		p.ownerLeaseEndedAt = now
	}
	return true
}

// updateRecord writes the record if it differs from the desired one, if it has not been written during the current
// lease, or if there are unresolved writes, which cannot take effect any more once the record has a new version.
func (m *Machine) updateRecord(p *pool, now time.Duration) {
	if !m.canWrite(p, now) {
		return
	}
	if p.successor != nil {
		m.handOver(p)
		return
	}
	record, changed := p.record, false
	if p.adopted {
		record, changed = p.desiredRecord(now)
	}
	if p.confirmedLease == m.leaseNumber && !changed && len(p.unresolvedWrites) == 0 {
		return
	}
	m.writeRecord(p, record)
}

// handOver writes a record that names the successor as the owner. The pool has been suspended before.
func (m *Machine) handOver(p *pool) {
	record := p.record
	record.Previous = nil
	record.KeysMayBeMissing = p.record.KeysMayBeMissing || p.hasBacklog || p.keysMayBeMissingUntil > 0 || p.unjournaledUntil > 0
	record.Epoch++
	record.Owner = *p.successor
	record.Handover = true
	m.writeRecord(p, record)
}

// desiredRecord returns the record that the owner wants in the store, and whether it differs from the known one.
func (p *pool) desiredRecord(now time.Duration) (Record, bool) {
	wanted := p.rosterUpdate(now)
	record := p.record
	record.Previous = nil
	record.Handover = false
	record.Roster = wanted.refs
	record.Departed = wanted.removed || (p.record.Departed && now < p.departedUntil)
	unjournaled := p.hasBacklog || now < p.unjournaledUntil
	record.KeysMayBeMissing = now < p.keysMayBeMissingUntil || (unjournaled && (wanted.changed || p.record.KeysMayBeMissing))
	changed := wanted.changed || p.record.Handover || len(p.record.Previous) > 0 ||
		record.Departed != p.record.Departed || record.KeysMayBeMissing != p.record.KeysMayBeMissing
	return record, changed
}

// noteBacklog runs before each input is applied. If the lease has expired since the last step, the I/O layer may have
// started tasks in the mode detached in between, even if this input is a renewal.
func (m *Machine) noteBacklog(p *pool, now time.Duration) {
	if p.owned && p.adopted && p.detachedFlag && !m.attached(p, now) {
		p.hasBacklog = true
	}
}

// updateDetachedFlag sets the flag that announces a detached owner in heartbeats: before the mode becomes detached, and
// until every key that was admitted in this mode is in the journal.
func (m *Machine) updateDetachedFlag(p *pool, now time.Duration) {
	fresh := m.attached(p, now) && now-m.lastRenewal < DetachedAnnounceAge
	switch {
	case !fresh && !p.detachedFlag:
		p.detachedFlag = true
		p.detachedFlagSince = now
	case fresh && !p.hasBacklog:
		p.detachedFlag = false
	}
}

// reportMode emits ModeChanged if the mode has changed.
func (m *Machine) reportMode(p *pool, now time.Duration) {
	mode := m.mode(p, now)
	if p.modeReported && mode == p.reportedMode {
		return
	}
	p.reportedMode = mode
	p.modeReported = true
	m.emit(ModeChanged{Pool: p.id, Epoch: p.epoch, Mode: mode})
}

// canWaiveMajority reports whether the recovery may end without a majority, because no earlier owner can still be
// detached: all have passed DetachedLimit, or an operator has stated that none of them will run again.
func (m *Machine) canWaiveMajority(p *pool, now time.Duration) bool {
	if now-p.waiveFrom >= TakeoverWithoutMajority {
		return true
	}
	for _, owner := range p.record.Previous {
		if !m.removedGateways[owner] {
			return false
		}
	}
	return len(p.record.Previous) > 0
}

// tryFinishRecovery ends the recovery if the journal is read and enough agents have promised the epoch: the whole
// roster, a majority for some time, or any number if canWaiveMajority allows it. The time is at least structs.AckLease,
// after which all acknowledgements that support a detached earlier owner have expired.
func (m *Machine) tryFinishRecovery(p *pool, now time.Duration) {
	if p.adopted {
		return
	}
	promised := func(a *agent) bool { return a.promise != nil }
	if !p.hasMajority && p.majority(p.record.Roster, promised) {
		p.hasMajority = true
		p.majoritySince = now
	}
	whole := !slices.ContainsFunc(p.record.Roster, func(ref structs.AgentRef) bool {
		return !promised(p.agent(ref))
	})
	majority := p.hasMajority && now-p.majoritySince >= max(structs.AckLease, RosterWait)
	waived := !whole && !majority && now-p.acquiredAt >= RosterWait && m.canWaiveMajority(p, now)
	if p.journal != nil && (whole || majority || waived) {
		m.finishRecovery(p, now, whole, waived)
	}
}

// finishRecovery reports what the agents' promises and the journal say about the jobs of earlier owners.
func (m *Machine) finishRecovery(p *pool, now time.Duration, whole, waived bool) {
	complete := whole && !p.record.Departed
	wasDetached := false
	adopt := dispatch.Adopt{Complete: complete, Journal: p.journal.Entries, RecentNonRepeatable: p.journal.RecentNonRepeatable}
	for _, ref := range p.record.Roster {
		a := p.agents[ref]
		if a.promise == nil {
			continue
		}
		wasDetached = wasDetached || a.promise.Detached
		adopt.Records = append(adopt.Records, dispatch.AgentRecords{Agent: ref, Jobs: a.promise.Jobs})
	}
	// No key is missing because of an agent that left the roster while all keys were journaled. If an agent left at
	// another time, the record has KeysMayBeMissing set.
	adopt.KeysMayBeMissing = waived || (wasDetached && !whole) || (p.record.KeysMayBeMissing && !complete)
	p.adopted = true
	if adopt.KeysMayBeMissing {
		p.keysMayBeMissingUntil = now + RecordRetention
	}
	if wasDetached || p.record.KeysMayBeMissing {
		p.unjournaledUntil = now + RecordRetention
	}
	m.emit(Adopted{Pool: p.id, Epoch: p.epoch, Adopt: adopt})
}
