package platform

import (
	"net"
	"time"
)

// NewDeadlineConn returns the connection of a call that must end by the deadline.
func NewDeadlineConn(conn net.Conn, deadline time.Time) net.Conn {
	return &deadlineConn{Conn: conn, deadline: deadline}
}
