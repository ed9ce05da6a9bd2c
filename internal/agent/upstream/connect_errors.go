package upstream

import (
	"errors"
	"slices"
	"syscall"

	"fernbeam.example/fernbeam/internal/balancer"
)

// localErrors are the errors of socket, bind and connect that say that this machine lacks a resource. A connect
// to any server would have failed, and nothing was sent:
//   - EMFILE, ENFILE: no descriptor is left in the process or the system (socket(2));
//   - ENOBUFS, ENOMEM: not enough memory for the socket (socket(2), ip(7));
//   - EADDRNOTAVAIL: all ephemeral ports are in use, or the source address is not local (connect(2), ip(7));
//   - EADDRINUSE: the local address is in use (connect(2));
//   - EAGAIN: no entry is left in the routing cache (connect(2));
//   - ENETUNREACH: this machine has no route (connect(2));
//   - ENETDOWN: the interface is down (accept(2) names it among the network errors of TCP/IP).
//
// All other errors count against the server: ECONNREFUSED and ETIMEDOUT (connect(2)), EHOSTUNREACH, which a
// router may have sent (ip(7)), and EACCES and EPERM, a firewall's rule that may block this address alone
// (connect(2)). Package net never returns EINTR, EINPROGRESS and EALREADY.
var localErrors = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
	syscall.EADDRINUSE, syscall.EAGAIN, syscall.ENETUNREACH, syscall.ENETDOWN,
}

// connectFailureResult is the end of an attempt that got no connection. The server is not ejected for what this
// agent or its machine lacks.
func connectFailureResult(err error) Result {
	status := balancer.StatusConnectFailed
	if errors.Is(err, errNoDescriptor) || isOneOf(err, localErrors) {
		status = balancer.StatusOverloaded
	}
	return Result{Status: status, Reason: err.Error()}
}

// localWriteErrors say that this machine had no memory for a write (send(2)). Any other error of a write shows
// that the connection broke: ENETUNREACH too, as the connection was up before.
var localWriteErrors = []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM}

// writeFailureStatus is the status of an attempt whose last byte was not written.
func writeFailureStatus(err error) balancer.Status {
	if isOneOf(err, localWriteErrors) {
		return balancer.StatusOverloaded
	}
	return balancer.StatusConnectFailed
}

func isOneOf(err error, list []syscall.Errno) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(list, errno)
}
