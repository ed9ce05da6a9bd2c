package upstream

import (
	"errors"
	"slices"
	"syscall"

	"fernbeam.example/fernbeam/internal/balancer"
)

// localErrors are the errors of socket, bind and connect that report a lack of resources on this machine. A connect
// to any server would have failed, and nothing was sent:
//   - EMFILE, ENFILE: the process or the system has no file descriptor left (socket(2));
//   - ENOBUFS, ENOMEM: not enough memory for the socket (socket(2), ip(7));
//   - EADDRNOTAVAIL: all ephemeral ports are in use, or the source address is not local (connect(2), ip(7));
//   - EADDRINUSE: the local address is in use (connect(2));
//   - EAGAIN: the routing cache has no free entry (connect(2));
//   - ENETUNREACH: this machine has no route (connect(2));
//   - ENETDOWN: the interface is down (accept(2) lists it among the network errors of TCP/IP).
//
// All other errors count against the server: ECONNREFUSED and ETIMEDOUT (connect(2)), EHOSTUNREACH, which a router
// may have caused (ip(7)), and EACCES and EPERM, caused by a firewall rule that may apply to this address only
// (connect(2)). Package net never returns EINTR, EINPROGRESS or EALREADY.
var localErrors = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
	syscall.EADDRINUSE, syscall.EAGAIN, syscall.ENETUNREACH, syscall.ENETDOWN,
}

// connectFailureResult returns the result of an attempt that got no connection. A lack of resources in this agent or
// on its machine does not eject the server.
func connectFailureResult(err error) Result {
	status := balancer.StatusConnectFailed
	if errors.Is(err, errNoDescriptor) || hasErrno(err, localErrors) {
		status = balancer.StatusOverloaded
	}
	return Result{Status: status, Reason: err.Error()}
}

// localWriteErrors are the errors that a write returns if this machine is out of memory or buffers (send(2)). Any other
// write error means that the connection broke, even ENETUNREACH, because the connection had already been established.
var localWriteErrors = []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM}

// writeFailureStatus returns the status of an attempt whose last byte was not written.
func writeFailureStatus(err error) balancer.Status {
	if hasErrno(err, localWriteErrors) {
		return balancer.StatusOverloaded
	}
	return balancer.StatusConnectFailed
}

// hasErrno reports whether err wraps one of the error numbers of list.
func hasErrno(err error, list []syscall.Errno) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(list, errno)
}
