// Package wire translates between the binary frames of the operators' simulator and the balancer's events
// and actions. All numbers are big-endian. It decides nothing.
package wire

// Sizes of records, in bytes.
const (
	EventSize    = 48
	ActionSize   = 24
	endpointSize = 24
)

// Codes of event records. The names of the wire's own description, which errors use, follow where they
// differ.
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
