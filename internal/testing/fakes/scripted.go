package fakes

import (
	"bytes"
	"io"
	"net"
	"time"
)

// ScriptedConn is a connection on which what the other side sent is there already; then it ends. What is written on it is
// kept. It has no descriptor.
type ScriptedConn struct {
	net.Conn // nil: nothing else is called
	Input    []byte
	MaxRead  int // so many bytes at most come with one read; 0: all
	Output   bytes.Buffer
}

// Read gives what comes next.
func (s *ScriptedConn) Read(p []byte) (int, error) {
	if len(s.Input) == 0 {
		return 0, io.EOF
	}
	n := len(s.Input)
	if s.MaxRead > 0 {
		n = min(n, s.MaxRead)
	}
	n = copy(p, s.Input[:n])
	s.Input = s.Input[n:]
	return n, nil
}

// Write keeps.
func (s *ScriptedConn) Write(p []byte) (int, error) { return s.Output.Write(p) }

// Close does nothing.
func (s *ScriptedConn) Close() error { return nil }

// SetDeadline does nothing: nothing waits here.
func (s *ScriptedConn) SetDeadline(time.Time) error { return nil }
