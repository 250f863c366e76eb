package structs

import "time"

// The message types by which gateways agree on who runs a job.
const (
	// From gateway to an agent that has sent JobClaimAnswers.
	TypeJobClaims MessageType = iota + 80
	// From agent to gateway. Gateways that do not know the type ignore it.
	TypeJobClaimAnswers
)

// JobClaims tells an agent which jobs a gateway runs or wants to run. The agent remembers one holder for each job and changes no
// other state. It handles Release first, then Claim.
type JobClaims struct {
	_ struct{} `cbor:",toarray"`
	// Claim asks for jobs. The agent answers for each, and again once a job that was held is granted.
	Claim []JobClaim
	// Release lists the IDs of jobs that the gateway gives up: no task of them runs for it, and none will.
	Release []string
}

// JobClaim asks for a job.
type JobClaim struct {
	_  struct{} `cbor:",toarray"`
	ID string
	// Age is the time since the job's last caller submitted it to the gateway. Of two gateways, the one with the younger submission
	// has the caller.
	Age time.Duration
}

// JobClaimAnswers answers JobClaims. It is also the agent's first message about claims on a link, then without jobs. Each list
// holds job IDs.
type JobClaimAnswers struct {
	_ struct{} `cbor:",toarray"`
	// Granted lists jobs that the gateway may run.
	Granted []string
	// Doubtful lists jobs that the gateway may run unless the next agent that keeps claims says otherwise: the agent has lost
	// touch with a gateway that held them.
	Doubtful []string
	// Held lists jobs that another gateway may still run. It has been told to end them.
	Held []string
	// Taken lists jobs that the caller has submitted through another gateway since. The gateway must end them.
	Taken []string
	// CompleteIn is for how long the agent may not know all claims, because it has started or was paused.
	CompleteIn time.Duration
}
