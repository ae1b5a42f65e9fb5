package resp

import (
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
)

// If Await consumed bytes, IsIdle would miss the message, and closing the connection would not
// tell the peer that the message was not read.
func TestAwaitConsumesNoByte(t *testing.T) {
	c, far := connPair(t)
	_, _ = io.WriteString(far, "*")
	if err := c.Await(); err != nil {
		t.Fatal(err)
	}
	if c.IsIdle() {
		t.Error("the connection is reported as idle although a message has arrived")
	}
	_ = c.Close() // an orderly close, which only unread bytes turn into a reset
	if _, err := far.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the peer's read returned %v, want a reset", err)
	}
}

// Await returns the errors that a read returns: when the peer closes or resets the connection, at
// the deadline and when this side closes the connection.
func TestAwaitFailsAsReadDoes(t *testing.T) {
	for want, end := range map[error]func(c *Conn, far net.Conn){
		io.EOF:                 func(_ *Conn, far net.Conn) { _ = far.Close() },
		syscall.ECONNRESET:     func(_ *Conn, far net.Conn) { _, _ = far.(*net.TCPConn).SetLinger(0), far.Close() },
		os.ErrDeadlineExceeded: func(c *Conn, _ net.Conn) { c.Abort() },
		net.ErrClosed:          func(c *Conn, _ net.Conn) { c.Reset() },
	} {
		c, far := connPair(t)
		got := make(chan error)
		go func() { got <- c.Await() }()
		end(c, far)
		if err := <-got; !errors.Is(err, want) {
			t.Errorf("Await returned %v, want %v", err, want)
		}
	}
}

// Without a descriptor, Await has to consume a byte. That byte must not be lost to the message.
func TestAwaitWithoutDescriptor(t *testing.T) {
	near, far := net.Pipe()
	c := NewConn(near)
	go func() { _, _ = io.WriteString(far, fakes.FormatCommand("PING")) }()
	if err := c.Await(); err != nil {
		t.Fatal(err)
	}
	if cmd, err := c.ReadCommand(4, nil); err != nil || cmd.Words[0] != "PING" {
		t.Errorf("read %+v, %v", cmd, err)
	}
}

// After StopReadAhead, messages that were read ahead are still returned, and no byte after the last
// of them is consumed.
func TestStopReadAheadConsumesNothingAfterMessage(t *testing.T) {
	c, far := connPair(t)
	ping := fakes.FormatCommand("PING")
	many := bufferSize/len(ping) + 8 // one buffer, rounded up to a message, and seven more
	_, _ = io.WriteString(far, strings.Repeat(ping, many))
	_ = far.(*net.TCPConn).CloseWrite()
	read := 0
	for ok := true; ok; ok = !c.IsDrained() {
		if err := c.Await(); err != nil {
			t.Fatal(err)
		}
		if _, err := c.ReadCommand(4, nil); err != nil {
			t.Fatal(err)
		}
		c.StopReadAhead()
		read++
	}
	if rest, _ := io.ReadAll(c.Conn); read != many-7 || len(rest) != 7*len(ping) {
		t.Errorf("%d of %d commands read, %d bytes left", read, many, len(rest))
	}
}

// AwaitPeerClose detects a close behind unread bytes and consumes none of the bytes. The TCP state
// after the close depends on whether this side has closed its sending half.
func TestAwaitPeerCloseBehindUnreadBytes(t *testing.T) {
	for name, closeOwnHalf := range map[string]bool{"this side closed": true, "this side open": false} {
		c, far := connPair(t)
		if closeOwnHalf {
			_ = c.Conn.(*net.TCPConn).CloseWrite()
		}
		_, _ = io.WriteString(far, "x")
		fakes.Eventually(t, "a byte", func() bool { return !c.IsIdle() })
		_ = c.SetReadDeadline(time.Unix(1, 0))
		if err := c.AwaitPeerClose(); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: returned %v before the peer closed", name, err)
		}
		_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
		got := make(chan error)
		go func() { got <- c.AwaitPeerClose() }()
		_ = far.(*net.TCPConn).CloseWrite()
		if err := <-got; err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if n, err := c.Read(make([]byte, 9)); n != 1 {
			t.Errorf("%s: %d bytes left, %v", name, n, err)
		}
	}
}
