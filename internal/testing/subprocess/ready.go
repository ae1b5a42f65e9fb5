package subprocess

import (
	"bufio"
	"io"
	"net"
	"time"

	"harrierhoist/internal/testing/fakes"
)

// pingTimeout is how long a gateway may take to accept a connection, and then to answer a ping.
const pingTimeout = time.Second

// IsReady reports whether a gateway answers a ping.
func IsReady(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, pingTimeout)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }() // the gateway may have closed it
	if conn.SetDeadline(time.Now().Add(pingTimeout)) != nil {
		return false
	}
	if _, err := io.WriteString(conn, fakes.FormatCommand("PING")); err != nil {
		return false
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	return err == nil && line == "+PONG\r\n"
}
