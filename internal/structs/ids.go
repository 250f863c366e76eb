package structs

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Epoch numbers the ownership periods of a pool. It grows by one with each change of owner.
type Epoch uint64

// Revision numbers the accepted versions of the configuration. Processes apply only higher revisions.
type Revision uint64

// Incarnation identifies one run of a process. A restarted process keeps its name and gets a new incarnation.
type Incarnation uint64

// NewIncarnation returns a random number. The start time would not do: if the clock is set back, two runs of a process
// could get the same one.
func NewIncarnation() Incarnation {
	var raw [8]byte
	_, _ = rand.Read(raw[:]) // never returns an error, see crypto/rand
	return Incarnation(binary.LittleEndian.Uint64(raw[:]))
}

// AgentID names an agent and the backend server beside it. It is unique in the system.
type AgentID string

// AgentRef identifies one incarnation of an agent. A pool's roster lists agents in this form.
type AgentRef struct {
	_           struct{} `cbor:",toarray"`
	ID          AgentID
	Incarnation Incarnation
}

// String returns id/incarnation, with the incarnation in hexadecimal.
func (r AgentRef) String() string {
	return string(r.ID) + "/" + strconv.FormatUint(uint64(r.Incarnation), 16)
}

// GatewayID names a gateway.
type GatewayID string

// GatewayRef identifies one incarnation of a gateway. Pools are owned by incarnations, not by names.
type GatewayRef struct {
	_           struct{} `cbor:",toarray"`
	ID          GatewayID
	Incarnation Incarnation
}

// String returns id/incarnation, with the incarnation in hexadecimal.
func (r GatewayRef) String() string {
	return string(r.ID) + "/" + strconv.FormatUint(uint64(r.Incarnation), 16)
}

// PoolID identifies one pool of a service.
type PoolID struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Index   uint16
}

// String returns service.index.
func (p PoolID) String() string {
	return p.Service + "." + strconv.Itoa(int(p.Index))
}

// KeySize is the size of a key hash and of a body digest in bytes.
const KeySize = 16

// KeyHash identifies a submission by its team and idempotency key.
type KeyHash [KeySize]byte

// String returns the hash in hexadecimal.
func (k KeyHash) String() string { return hex.EncodeToString(k[:]) }

// HashKey returns the hash of a team's idempotency key. The same key of two teams gives two hashes. The hash is
// cryptographic, so that a caller cannot construct a key that collides with that of another caller.
func HashKey(team, key string) KeyHash {
	sum := sha256.Sum256([]byte(strconv.Itoa(len(team)) + ":" + team + key))
	return KeyHash(sum[:KeySize])
}

// PoolOfKey returns the pool that a key belongs to. The result depends on the number of pools, which must not change.
func PoolOfKey(service string, pools uint16, key KeyHash) PoolID {
	return PoolID{Service: service, Index: shard(xxhash.Sum64(key[:]), pools)}
}

// PoolOfAgent returns the pool that an agent of a service belongs to.
func PoolOfAgent(service string, pools uint16, agent AgentID) PoolID {
	return PoolID{Service: service, Index: shard(xxhash.Sum64String(string(agent)), pools)}
}

func shard(sum uint64, pools uint16) uint16 {
	if pools < 2 {
		return 0
	}
	return uint16(sum % uint64(pools))
}

// JobID identifies a job in the whole system. It contains the pool, so that every gateway can find the owner.
type JobID struct {
	_    struct{} `cbor:",toarray"`
	Pool PoolID
	Key  KeyHash
}

// String returns service.index.keyhash.
func (j JobID) String() string { return j.Pool.String() + "." + j.Key.String() }

// ParseJobID parses the result of JobID.String. The error for malformed input quotes it.
func ParseJobID(text string) (JobID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 3 || !ValidName(parts[0]) {
		return JobID{}, fmt.Errorf("job id %q: want service.pool.key", text)
	}
	index, err := strconv.ParseUint(parts[1], 10, 16)
	if err != nil {
		return JobID{}, fmt.Errorf("job id %q: bad pool index", text)
	}
	raw, err := hex.DecodeString(parts[2])
	if err != nil || len(raw) != KeySize {
		return JobID{}, fmt.Errorf("job id %q: bad key hash", text)
	}
	id := JobID{Pool: PoolID{Service: parts[0], Index: uint16(index)}}
	copy(id.Key[:], raw)
	return id, nil
}

// ticketPrefix marks tickets and the version of their format.
const ticketPrefix = "rt1"

// Ticket is an idempotency key issued by the system. It contains the pool and the epoch that issued it, so that a
// submission under a ticket needs no journal write.
type Ticket struct {
	Pool   PoolID
	Epoch  Epoch
	Unique string
}

// String returns rt1.service.index.epoch.unique.
func (t Ticket) String() string {
	return fmt.Sprintf("%s.%s.%d.%s", ticketPrefix, t.Pool, t.Epoch, t.Unique)
}

// ParseTicket parses a ticket. ok is false if the key does not have the format of a ticket and was thus chosen by the
// caller.
func ParseTicket(key string) (t Ticket, ok bool) {
	parts := strings.Split(key, ".")
	if len(parts) != 5 || parts[0] != ticketPrefix || !ValidName(parts[1]) || parts[4] == "" {
		return Ticket{}, false
	}
	index, err := strconv.ParseUint(parts[2], 10, 16)
	if err != nil {
		return Ticket{}, false
	}
	epoch, err := strconv.ParseUint(parts[3], 10, 64)
	if err != nil {
		return Ticket{}, false
	}
	pool := PoolID{Service: parts[1], Index: uint16(index)}
	return Ticket{Pool: pool, Epoch: Epoch(epoch), Unique: parts[4]}, true
}

// MaxNameLength is the largest length of a name of a service, zone, team, gateway or server in bytes.
const MaxNameLength = 63

// ValidName reports whether a name of a service, zone, team, gateway or server is valid: 1 to 63 lower-case letters,
// digits and hyphens, the first of them not a hyphen.
func ValidName(name string) bool {
	if name == "" || len(name) > MaxNameLength || name[0] == '-' {
		return false
	}
	for _, c := range []byte(name) {
		lower := c >= 'a' && c <= 'z'
		digit := c >= '0' && c <= '9'
		if !lower && !digit && c != '-' {
			return false
		}
	}
	return true
}
