package platformclient

import (
	"net"
	"time"
)

// NewDeadlineConn returns conn with writes that fail after the deadline.
func NewDeadlineConn(conn net.Conn, deadline time.Time) net.Conn {
	return &deadlineConn{Conn: conn, deadline: deadline}
}
