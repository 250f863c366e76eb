package ownership

import (
	"slices"
	"strconv"
	"time"

	"rosedrift.example/rosedrift/internal/dispatch"
	"rosedrift.example/rosedrift/internal/structs"
)

// evaluate performs everything that is due for a pool.
func (m *Machine) evaluate(p *pool, now time.Duration) {
	if !p.owned {
		m.acquire(p, now)
		return
	}
	m.fence(p, now)
	m.recover(p, now)
	m.updateFlag(p, now)
	// A handover suspends the pool before the record names the successor.
	m.reportMode(p, now)
	m.maintain(p, now)
	m.reportEligible(p)
	p.check()
}

// check asserts the invariants that hold between steps.
func (p *pool) check() {
	switch {
	case p.epoch != p.record.Epoch:
		panic("ownership: owned epoch differs from the newest record of " + p.id.String())
	case p.adopted && p.journal == nil:
		panic("ownership: recovery ended without the journal of " + p.id.String())
	case p.writing != nil && p.writing.expect > p.version:
		panic("ownership: write in flight expects an unknown version of " + p.id.String())
	}
}

// put sends a record. At most one write per pool is in flight.
func (m *Machine) put(p *pool, record Record) {
	if p.writing != nil {
		panic("ownership: second write in flight for " + p.id.String())
	}
	m.writes++
	record.Write = m.self.String() + "/" + strconv.FormatUint(m.writes, 10)
	p.writing = &write{record: record, expect: p.version, lease: m.leases}
	p.invalidate()
	m.emit(PutRecord{Record: record, ExpectedVersion: p.version})
}

// learn takes a record of the store over if it is newer than the known one, and with it ownership or its loss. Stale
// reads have lower versions, which the store never gives twice.
func (m *Machine) learn(p *pool, now time.Duration, record Record, version, revision uint64) {
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
	p.unresolved = nil
	if record.Owner != previous.Owner || record.Epoch != previous.Epoch {
		m.changeOwner(p, now)
	}
	// The owner had a lease when it wrote the newer version.
	p.gone = false
	p.prune()
	p.invalidate()
}

// changeOwner adapts to the owner and epoch of the record.
func (m *Machine) changeOwner(p *pool, now time.Duration) {
	waiveFrom := now
	if p.gone && !p.record.Handover {
		waiveFrom = p.goneSince
	}
	if p.owned {
		m.lose(p)
	}
	if p.record.Owner == m.self {
		m.own(p, now, waiveFrom)
	}
}

// lose gives the pool up. Links and the write in flight stay as they are.
func (m *Machine) lose(p *pool) {
	m.emit(OwnershipLost{Pool: p.id, Epoch: p.epoch})
	p.owned = false
	p.resetOwner()
}

// resetOwner clears what is valid only under one epoch.
func (p *pool) resetOwner() {
	p.confirmed, p.contact, p.contacted = 0, 0, false
	p.journal, p.adopted, p.hasMajority, p.majorityAt = nil, false, false, 0
	p.flag, p.flagSince, p.backlog = false, 0, false
	p.successor, p.doubtUntil, p.detachedUntil, p.modeReported = nil, 0, 0, false
	p.invalidate()
	for _, a := range p.agents {
		a.acked, a.ackSent = false, 0
		a.reply, a.fenced, a.fencedAt, a.eligible = nil, false, 0, false
	}
}

// own begins the recovery under the epoch of the record. A record that another gateway wrote, or that took effect
// after its answer was given up, is not yet confirmed under the current lease.
func (m *Machine) own(p *pool, now, waiveFrom time.Duration) {
	p.resetOwner()
	p.owned = true
	p.epoch = p.record.Epoch
	p.acquired = now
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

// applyPut ends the write in flight.
func (m *Machine) applyPut(p *pool, now time.Duration, in PutResult) {
	w := p.writing
	if w == nil {
		return
	}
	p.writing = nil
	p.invalidate()
	if in.OK {
		m.learn(p, now, w.record, in.Version, 0)
		m.confirm(p, w)
		return
	}
	p.retryAt = now + WriteRetry
	m.learn(p, now, in.Record, in.Version, 0)
	if p.version == w.expect {
		p.addUnresolved(*w)
	}
}

// confirm notes that the record named this gateway at a time after the lease began.
func (m *Machine) confirm(p *pool, w *write) {
	if !p.owned || w.record.Owner != m.self || w.record.Epoch != p.epoch {
		return
	}
	p.confirmed = max(p.confirmed, w.lease)
	if p.confirmed == m.leases && m.leased {
		p.contact = m.renewed
		p.contacted = true
	}
}

// addUnresolved keeps a write that may still take effect. Writes with the same roster need no second entry.
func (p *pool) addUnresolved(w write) {
	for _, other := range p.unresolved {
		if slices.Equal(other.record.Roster, w.record.Roster) {
			return
		}
	}
	p.unresolved = append(p.unresolved, w)
}

// writable reports whether a write of the record may be sent now.
func (m *Machine) writable(p *pool, now time.Duration) bool {
	return p.writing == nil && now >= p.retryAt && m.leaseValid(now)
}

// acquire takes a pool over whose owner's lease has ended, or creates the record of a new pool.
func (m *Machine) acquire(p *pool, now time.Duration) {
	if !p.configured || !m.membersKnown || !m.ownerGone(p, now) || !m.writable(p, now) {
		return
	}
	since := p.configuredAt
	if p.version > 0 {
		since = p.goneSince
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
	m.put(p, record)
}

// ownerGone reports whether the lease of the owner had ended at a time at which the newest record was already stored.
// An owner with a new lease writes the record again, so that a write which expects this version then fails.
func (m *Machine) ownerGone(p *pool, now time.Duration) bool {
	if p.version == 0 {
		return true
	}
	known := p.revision > 0 && m.liveRevision >= p.revision
	if known && m.live[p.record.Owner] {
		p.gone = false
	}
	if !known || m.live[p.record.Owner] {
		return false
	}
	if !p.gone {
		p.gone = true
		p.goneSince = now
	}
	return true
}

// maintain writes the record if it differs from what it should be, if the current lease is not confirmed by it, or to
// end the possibility that an unresolved write takes effect.
func (m *Machine) maintain(p *pool, now time.Duration) {
	if !m.writable(p, now) {
		return
	}
	if p.successor != nil {
		m.handOver(p)
		return
	}
	record, changed := p.record, false
	if p.adopted {
		record, changed = p.desired(now)
	}
	if p.confirmed == m.leases && !changed && len(p.unresolved) == 0 {
		return
	}
	m.put(p, record)
}

// handOver names the successor as the owner. The pool is suspended from before this write.
func (m *Machine) handOver(p *pool) {
	record := p.record
	record.Previous = nil
	record.KeysMayBeMissing = p.record.KeysMayBeMissing || p.backlog || p.doubtUntil > 0 || p.detachedUntil > 0
	record.Epoch++
	record.Owner = *p.successor
	record.Handover = true
	m.put(p, record)
}

// desired returns the record that the owner wants in the store and reports whether it differs from the known one.
func (p *pool) desired(now time.Duration) (Record, bool) {
	wanted := p.wantedRoster(now)
	record := p.record
	record.Previous = nil
	record.Handover = false
	record.Roster = wanted.refs
	record.Departed = wanted.removed || (p.record.Departed && now < p.departedUntil)
	unjournaled := p.backlog || now < p.detachedUntil
	record.KeysMayBeMissing = now < p.doubtUntil || (unjournaled && (wanted.changed || p.record.KeysMayBeMissing))
	changed := wanted.changed || p.record.Handover || len(p.record.Previous) > 0 ||
		record.Departed != p.record.Departed || record.KeysMayBeMissing != p.record.KeysMayBeMissing
	return record, changed
}

// noteBacklog runs before each input: if the lease had run out, the shell may have started tasks as detached since the
// last step, although a renewal arrives now.
func (m *Machine) noteBacklog(p *pool, now time.Duration) {
	if p.owned && p.adopted && p.flag && !m.attached(p, now) {
		p.backlog = true
	}
}

// updateFlag announces the mode detached early enough and until nothing is left to write.
func (m *Machine) updateFlag(p *pool, now time.Duration) {
	fresh := m.attached(p, now) && now-m.renewed < DetachedAnnounceAge
	switch {
	case !fresh && !p.flag:
		p.flag = true
		p.flagSince = now
	case fresh && !p.backlog:
		p.flag = false
	}
}

func (m *Machine) reportMode(p *pool, now time.Duration) {
	mode := m.mode(p, now)
	if p.modeReported && mode == p.lastMode {
		return
	}
	p.lastMode = mode
	p.modeReported = true
	m.emit(ModeChanged{Pool: p.id, Epoch: p.epoch, Mode: mode})
}

// canWaive reports whether the majority condition is waived: every owner that may still be detached is stated to be
// gone, or has passed DetachedLimit.
func (m *Machine) canWaive(p *pool, now time.Duration) bool {
	if now-p.waiveFrom >= TakeoverWithoutMajority {
		return true
	}
	for _, owner := range p.record.Previous {
		if !m.gone[owner] {
			return false
		}
	}
	return len(p.record.Previous) > 0
}

// recover ends the recovery when the journal is read and enough agents have promised the epoch.
func (m *Machine) recover(p *pool, now time.Duration) {
	if p.adopted {
		return
	}
	promised := func(a *agent) bool { return a.reply != nil }
	if !p.hasMajority && p.majority(p.record.Roster, promised) {
		p.hasMajority = true
		p.majorityAt = now
	}
	whole := !slices.ContainsFunc(p.record.Roster, func(ref structs.AgentRef) bool {
		return !promised(p.agent(ref))
	})
	majority := p.hasMajority && now-p.majorityAt >= max(structs.AckLease, RosterWait)
	waived := !whole && !majority && now-p.acquired >= RosterWait && m.canWaive(p, now)
	if p.journal != nil && (whole || majority || waived) {
		m.adopt(p, now, whole, waived)
	}
}

// adopt reports what the collection found.
func (m *Machine) adopt(p *pool, now time.Duration, whole, waived bool) {
	complete := whole && !p.record.Departed
	reported := false
	adopt := dispatch.Adopt{Complete: complete, Journal: p.journal.Entries, RecentNonRepeatable: p.journal.RecentNonRepeatable}
	for _, ref := range p.record.Roster {
		a := p.agents[ref]
		if a.reply == nil {
			continue
		}
		reported = reported || a.reply.Detached
		adopt.Records = append(adopt.Records, dispatch.AgentRecords{Agent: ref, Jobs: a.reply.Jobs})
	}
	// Agents that left while everything was in the journal took no key along that is known nowhere else; Doubt in the
	// record says that one left at another time.
	adopt.KeysMayBeMissing = waived || (reported && !whole) || (p.record.KeysMayBeMissing && !complete)
	p.adopted = true
	if adopt.KeysMayBeMissing {
		p.doubtUntil = now + RecordRetention
	}
	if reported || p.record.KeysMayBeMissing {
		p.detachedUntil = now + RecordRetention
	}
	m.emit(Adopted{Pool: p.id, Epoch: p.epoch, Adopt: adopt})
}
