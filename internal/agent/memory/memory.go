// Package memory divides the memory limit of an agent's process among everything whose size its clients and servers
// determine: connections, heads, bodies and streams. The sum of all parts stays below the limit of the Go runtime, and
// that limit and the pages of the program stay below the limit of the process. docs/capacity/memory.md lists each part.
package memory

const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20

	// programBytes is the most that the program and its libraries occupy: their pages are in memory once they are used,
	// and the Go runtime doesn't count them.
	programBytes = 12 * mebibyte
	// threadBytes is the memory of the threads and of the C library, which the Go runtime doesn't count either.
	threadBytes = mebibyte
	// baseBytes is what the agent takes without traffic, with its admin endpoint in use.
	baseBytes = 3 * mebibyte
	// bytesPerServer is what a server of the endpoint list takes, together with the decoding of the list.
	bytesPerServer = 2 * kibibyte
	// minTrafficBytes is the part for traffic where the limit is too small for any.
	minTrafficBytes = mebibyte

	// trafficNumerator and trafficDenominator are the part of the rest that traffic may use. What remains is for bytes
	// that are no longer used but not collected yet.
	trafficNumerator, trafficDenominator = 4, 5
)

// The cost of one unit of each kind, in bytes.
const (
	// ClientConnCost is the cost of a client connection: the buffers of the HTTP server (8 KiB), a buffer for the head of
	// the next request (1 KiB), the stack of its goroutine (8 KiB), and its state.
	ClientConnCost = 22 * kibibyte
	// RequestCost is the cost of a request from its head to its final response: the response buffer of the HTTP server
	// (2 KiB), the stack of the goroutine that watches the connection, and the state of the request in each package. The
	// cost of its head comes in addition.
	RequestCost = 10 * kibibyte
	// ServerConnCost is the cost of a connection to a server with an attempt on it: a read buffer, the stack of the
	// attempt's goroutine, the head of the message, and two small buffers for a response that is streamed.
	ServerConnCost = 20 * kibibyte
	// UploadCost is the cost of a request body that is streamed to a server: a buffer of UploadChunk bytes and the stacks
	// of two goroutines.
	UploadCost = UploadChunk + 12*kibibyte
	// UploadChunk is the size of the buffer of a streamed request body.
	UploadChunk = 8 * kibibyte
)

// Cost of a head: its text is held as received and as parsed, and each field has entries in several tables.
const (
	headCopies       = 3
	headFieldCost    = 400
	freeHeadSize     = kibibyte
	freeHeadFields   = 16
	minConns         = 32
	requestBodyShare = 6 // of the memory limit, at most 1/requestBodyShare
)

// HeadCost returns the cost of the head of a message of the given size and number of fields, as far as it is above that
// of an ordinary head, which the other costs include.
func HeadCost(size, fields int) int64 {
	return int64(headCopies*max(size-freeHeadSize, 0) + headFieldCost*max(fields-freeHeadFields, 0))
}

// Limits are the parts of a process's memory.
type Limits struct {
	// Runtime is the limit of the Go runtime, in bytes.
	Runtime int64
	// ClientConns and ServerConns are the greatest numbers of connections.
	ClientConns, ServerConns int
	// Requests is the budget of requests in progress and of their heads, in bytes. LargeRequests is the part of it that
	// requests with long bodies may use, and UnprovenRequests the part that requests may use whose clients are not known
	// to wait for short responses.
	Requests, LargeRequests, UnprovenRequests int64
	// RequestBodies and ResponseBodies are the budgets of buffered bodies, in bytes, and Uploads is that of streamed
	// request bodies.
	RequestBodies, ResponseBodies, Uploads int64
	// Streams is the greatest number of connections to servers on which a body is streamed, in either direction.
	Streams int64
}

// Shares of the memory for traffic, in percent.
const (
	clientConnShare = 60
	serverConnShare = 14
	percent         = 100
)

// Shares of what the connections leave, in percent.
const (
	requestShare      = 26
	requestBodyPart   = 28
	responseBodyPart  = 28
	uploadBudgetShare = 18
)

// The parts that long messages and new clients may use, in percent. The rest is for others, so that they are served
// beside a crowd.
const (
	largeRequestShare    = 60
	unprovenRequestShare = 75
	streamedShare        = 75
)

// Divide returns the parts of a process with the given memory limit. The other parameters are the greatest numbers of
// connections that its descriptors allow, and the number of servers that it knows.
func Divide(memoryBytes int64, maxClientConns, maxServerConns, servers int) Limits {
	runtimeLimit := max(memoryBytes-programBytes-threadBytes, baseBytes+minTrafficBytes)
	usable := runtimeLimit - baseBytes - int64(servers)*bytesPerServer
	traffic := max(usable*trafficNumerator/trafficDenominator, minTrafficBytes)
	limits := Limits{
		Runtime:     runtimeLimit,
		ClientConns: connLimit(traffic*clientConnShare/percent, ClientConnCost, maxClientConns),
		ServerConns: connLimit(traffic*serverConnShare/percent, ServerConnCost, maxServerConns),
	}
	rest := traffic - int64(limits.ClientConns)*ClientConnCost - int64(limits.ServerConns)*ServerConnCost
	rest = max(rest, minTrafficBytes/2)
	limits.Requests = rest * requestShare / percent
	limits.RequestBodies = min(rest*requestBodyPart/percent, max(memoryBytes, mebibyte)/requestBodyShare)
	limits.ResponseBodies = min(rest*responseBodyPart/percent, max(memoryBytes, mebibyte)/requestBodyShare)
	limits.Uploads = rest * uploadBudgetShare / percent
	limits.LargeRequests = limits.Requests * largeRequestShare / percent
	limits.UnprovenRequests = limits.Requests * unprovenRequestShare / percent
	limits.Streams = min(int64(limits.ServerConns)*streamedShare/percent, limits.LargeRequests/RequestCost)
	return limits
}

// connLimit returns how many connections of the given cost fit into a share, at most the given number.
func connLimit(share, cost int64, most int) int {
	return min(max(int(share/cost), minConns), most)
}
