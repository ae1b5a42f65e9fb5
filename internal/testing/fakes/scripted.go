package fakes

import (
	"bytes"
	"io"
	"net"
	"time"
)

// ScriptedConn is a connection that has already received all of its input; then it ends. It keeps
// what is written to it, and has no descriptor.
type ScriptedConn struct {
	net.Conn // nil: no other method is called
	Input    []byte
	MaxRead  int // bytes that one Read returns at most; 0: no limit
	Output   bytes.Buffer
}

// Read returns the next part of the input.
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

// Write appends to the output.
func (s *ScriptedConn) Write(p []byte) (int, error) { return s.Output.Write(p) }

// Close does nothing.
func (s *ScriptedConn) Close() error { return nil }

// SetDeadline does nothing: nothing waits here.
func (s *ScriptedConn) SetDeadline(time.Time) error { return nil }
