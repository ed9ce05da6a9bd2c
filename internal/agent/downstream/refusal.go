package downstream

import (
	"io"
	"net/http"
	"time"

	"fernbeam.example/fernbeam/internal/agent/message"
)

// headRefusal returns the status for a head for which the buffer has no space.
func (c *framedConn) headRefusal() int {
	if len(c.buffer) >= maxRequestHead {
		return http.StatusRequestHeaderFieldsTooLarge
	}
	return http.StatusServiceUnavailable
}

// refuse answers a request that is not admitted. It then reads on for a while, so that the client can send the rest and
// read the answer, and ends the connection.
func (c *framedConn) refuse(status int) error {
	c.admission.countRefusal(status)
	if err := c.admission.writeRefusal(c.Conn, status); err != nil {
		return err
	}
	if status == http.StatusServiceUnavailable {
		c.skip(min(c.bodyLeft-int64(len(c.buffer)), message.MaxRefusedBody), message.BodyGracePeriod)
	} else {
		c.skip(maxRequestHead, message.LingerTimeout)
	}
	return io.EOF
}

// skip reads and discards up to size bytes, within a time and while no pause exceeds message.LingerTimeout.
func (c *framedConn) skip(size int64, timeout time.Duration) {
	until := time.Now().Add(timeout)
	var scratch [initialReadBuffer]byte
	for pace := (message.DiscardPace{}); size > 0 && time.Now().Before(until); {
		_ = c.SetReadDeadline(time.Now().Add(message.LingerTimeout)) // a failure shows in the read
		n, err := c.clientConn.Read(scratch[:])
		if err != nil {
			return
		}
		size -= int64(n)
		pace.Wait(n)
	}
}
