package fakes

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
)

// ReadCommand reads a command as words; it is plain and trusting.
func ReadCommand(in *bufio.Reader) ([]string, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return nil, err
	}
	n, err := strconv.Atoi(strings.TrimSpace(line[1:]))
	if err != nil || n < 1 { // one that took our port for another's
		return nil, fmt.Errorf("no command: %q", line)
	}
	var words []string
	for range n {
		if line, err = in.ReadString('\n'); err != nil {
			return nil, err
		}
		size, _ := strconv.Atoi(strings.TrimSpace(line[1:]))
		word := make([]byte, size+2)
		if _, err := io.ReadFull(in, word); err != nil {
			return nil, err
		}
		words = append(words, string(word[:size]))
	}
	return words, nil
}

// FormatCommand writes words as a command.
func FormatCommand(words ...string) string {
	text := fmt.Sprintf("*%d\r\n", len(words))
	for _, w := range words {
		text += fmt.Sprintf("$%d\r\n%s\r\n", len(w), w)
	}
	return text
}

// FormatValue writes an answer of a server: a value and its cost.
func FormatValue(value string, cost int) string {
	attributes := fmt.Sprintf("used=10,cost=%d", cost)
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$-1\r\n", len(value), value, len(attributes), attributes)
}

// Server answers each command by a function; an empty answer means silence, Hang up closes the connection.
type Server struct {
	Addr     string
	conns    chan net.Conn
	commands chan []string
}

// CloseConn as an answer closes the connection.
const CloseConn = "hang up"

// NewServer starts a server.
func NewServer(t testing.TB, answer func(words []string) string) *Server {
	listener := Listen(t)
	s := &Server{Addr: listener.Addr().String(), conns: make(chan net.Conn, 1000), commands: make(chan []string, 1000)}
	serveConns(t, listener, func(conn net.Conn) {
		select {
		case s.conns <- conn:
		default: // as below: a load whose answers end connections has made a thousand in a second
		}
		in := bufio.NewReader(conn)
		for {
			words, err := ReadCommand(in)
			if err != nil {
				return
			}
			select {
			case s.commands <- words:
			default: // as many as a story looks at are kept; under load it must not stand still for the rest
			}
			text := answer(words)
			if text == CloseConn {
				_ = conn.Close()
				return
			}
			_, _ = io.WriteString(conn, text)
		}
	})
	return s
}

// ConnCount is how many connections came.
func (s *Server) ConnCount() int { return len(s.conns) }

// NextConn is the next connection that came.
func (s *Server) NextConn(t testing.TB) net.Conn { return receive(t, s.conns, "connection") }

// NextCommand is the next command that came.
func (s *Server) NextCommand(t testing.TB) []string { return receive(t, s.commands, "command") }

// PendingCommands is how many commands came and were not looked at.
func (s *Server) PendingCommands() int { return len(s.commands) }
