package fakes

import (
	"bufio"
	"io"
	"net"
	"testing"
)

// A held counter read one call of each connection and no more: whoever waited for a second one to
// be recorded, waited until the client gave the connection up as silent.
func TestCounter_holdRecordsEveryCallAndAnswersInOrder(t *testing.T) {
	c := NewCounter(t)
	conn, err := net.Dial("tcp", c.Addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	release := c.Hold()
	if _, err := io.WriteString(conn, "incr 1 2 1000\r\nincr 1 3 1000\r\n"); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"incr 1 2 1000", "incr 1 3 1000"} {
		if got := c.NextCall(t); got != want {
			t.Errorf("recorded %q, want %q", got, want)
		}
	}
	release()
	answers := bufio.NewReader(conn)
	for _, want := range []string{"ok 2\r\n", "ok 5\r\n"} {
		if got, err := answers.ReadString('\n'); got != want {
			t.Errorf("answered %q, %v, want %q", got, err, want)
		}
	}
}
