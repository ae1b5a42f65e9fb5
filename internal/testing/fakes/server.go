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

// ReadCommand reads a command, and returns its words. It trusts the lengths that it reads.
func ReadCommand(reader *bufio.Reader) ([]string, error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return nil, err
	}
	count, err := strconv.Atoi(strings.TrimSpace(line[1:]))
	if err != nil || count < 1 { // from one that takes this port for another's
		return nil, fmt.Errorf("no command: %q", line)
	}
	words := make([]string, 0, count)
	for range count {
		word, err := readWord(reader)
		if err != nil {
			return nil, err
		}
		words = append(words, word)
	}
	return words, nil
}

func readWord(reader *bufio.Reader) (string, error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return "", err
	}
	size, err := strconv.Atoi(strings.TrimSpace(line[1:]))
	if err != nil {
		return "", fmt.Errorf("no length: %q", line)
	}
	word := make([]byte, size+len("\r\n"))
	if _, err := io.ReadFull(reader, word); err != nil {
		return "", err
	}
	return string(word[:size]), nil
}

// FormatCommand returns words in the form of a command.
func FormatCommand(words ...string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "*%d\r\n", len(words))
	for _, word := range words {
		fmt.Fprintf(&text, "$%d\r\n%s\r\n", len(word), word)
	}
	return text.String()
}

// FormatValue returns a server's answer: a value, and its cost in units.
func FormatValue(value string, cost int) string {
	attributes := fmt.Sprintf("used=10,cost=%d", cost)
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$-1\r\n", len(value), value, len(attributes), attributes)
}

// Server is a fake server that answers each command by a function. An empty answer is none at all;
// CloseConn closes the connection.
type Server struct {
	Addr     string
	answer   func(words []string) string
	listener net.Listener
	conns    chan net.Conn // as many as fit: the tests that use them have few
	commands chan []string // the same
}

// CloseConn is the answer that closes the connection.
const CloseConn = "close the connection"

// NewServer starts a server that ends with the test.
func NewServer(tb testing.TB, answer func(words []string) string) *Server {
	tb.Helper()
	return newServer(tb, Listen(tb), answer)
}

func newServer(tb testing.TB, listener net.Listener, answer func(words []string) string) *Server {
	tb.Helper()
	s := &Server{
		Addr: listener.Addr().String(), answer: answer, listener: listener, conns: make(chan net.Conn, 1000),
		commands: make(chan []string, 1000),
	}
	serveConns(tb, listener, s.serve)
	return s
}

// Replace starts another server at the address of this one, which keeps the connections that it has.
func (s *Server) Replace(tb testing.TB, answer func(words []string) string) *Server {
	tb.Helper()
	if err := s.listener.Close(); err != nil {
		tb.Fatal(err)
	}
	listener, err := net.Listen("tcp", s.Addr)
	if err != nil {
		tb.Fatal(err)
	}
	return newServer(tb, listener, answer)
}

func (s *Server) serve(conn net.Conn) {
	select {
	case s.conns <- conn:
	default: // a load whose answers close connections makes a thousand in a second
	}
	for reader := bufio.NewReader(conn); ; {
		words, err := ReadCommand(reader)
		if err != nil {
			return
		}
		select {
		case s.commands <- words:
		default: // under load the server must not wait for a test to read them
		}
		text := s.answer(words)
		if text == CloseConn {
			_ = conn.Close() // the other side sees it
			return
		}
		_, _ = io.WriteString(conn, text) // the other side may have gone; what it sent before is still taken
	}
}

// ConnCount returns how many connections came and were not taken by NextConn.
func (s *Server) ConnCount() int { return len(s.conns) }

// NextConn returns the next connection that came, and waits for one.
func (s *Server) NextConn(tb testing.TB) net.Conn {
	tb.Helper()
	return receive(tb, s.conns, "connection")
}

// NextCommand returns the words of the next command that came, and waits for one.
func (s *Server) NextCommand(tb testing.TB) []string {
	tb.Helper()
	return receive(tb, s.commands, "command")
}

// PendingCommands returns how many commands came and were not taken by NextCommand.
func (s *Server) PendingCommands() int { return len(s.commands) }
