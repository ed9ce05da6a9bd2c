// Package wire implements the binary protocol of the operators' simulator: it decodes frames into events
// for the balancer and encodes the balancer's actions into frames. All numbers are big-endian. The package
// makes no balancing decisions.
package wire

// Sizes of records, in bytes.
const (
	EventSize    = 48
	ActionSize   = 24
	endpointSize = 24
)

// Codes of event records. If the protocol description has another name for an event than the constant,
// a trailing comment has that name. Error messages use the protocol's names.
const (
	codeClientGone      = 16 // dropped
	codeRequest         = 17 // ask
	codeAttemptDone     = 18 // verdict
	codeEndpointTable   = 19 // pool
	codeResponseStarted = 20 // flowing
	codeKilled          = 21
	codeList            = 22 // targets
	codePeerMessage     = 23 // peer_data
	codeHealthCheckDone = 24 // health
	codeBoot            = 25
	codeTimer           = 26 // fired
)

// Codes of action records.
const (
	codeCloseIdle     = 80
	codeReject        = 81
	codeHealthCheck   = 82
	codeWatchList     = 83
	codeForward       = 84
	codeFetchList     = 85
	codeCrash         = 87
	codeSetTimer      = 88
	codeCancelAttempt = 89
	codeFail          = 90
	codeLog           = 91
)
