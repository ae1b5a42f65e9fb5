package resp

import (
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"

	"harrierhoist/internal/testing/fakes"
)

// connPair returns a connection and the peer's end of it.
func connPair(t *testing.T) (*Conn, net.Conn) {
	t.Helper()
	near, far := fakes.ConnPair(t)
	return NewConn(near), far
}

// connOf returns a connection whose peer has sent text and closed its sending half.
func connOf(t *testing.T, text string) *Conn {
	t.Helper()
	c, far := connPair(t)
	go func() {
		_, _ = io.WriteString(far, text)
		_ = far.(*net.TCPConn).CloseWrite()
	}()
	if err := c.Await(); err != nil {
		t.Fatal(err)
	}
	return c
}

func TestCommandRoundTrip(t *testing.T) {
	for _, size := range []int{0, 1, bufferSize, bufferSize + 1, maxValueSize} {
		body := strings.Repeat("x", size)
		c := connOf(t, fakes.FormatCommand("SVC.SUBMIT", "01", "02", "c=a", body)+fakes.FormatCommand("PING"))
		cmd, err := c.ReadCommand(4, nil)
		if err != nil || len(cmd.Words) != 4 || cmd.Words[3] != "c=a" || cmd.Body.String() != body {
			t.Fatalf("size %d: got %+v, %v", size, cmd, err)
		}
		if err := c.Await(); err != nil {
			t.Fatal(err)
		}
		ping, err := c.ReadCommand(4, nil)
		if err != nil || ping.Words[0] != "PING" || ping.Body != nil {
			t.Fatalf("next command: got %+v, %v", ping, err)
		}
		out, far := connPair(t)
		go func() { _, _ = out.WriteCommand(cmd), out.Close() }()
		if got, _ := io.ReadAll(far); string(got) != fakes.FormatCommand("SVC.SUBMIT", "01", "02", "c=a", body) {
			t.Errorf("size %d: the %d bytes written differ from the command", size, len(got))
		}
	}
}

func TestReadCommandDistinguishesMalformedFromDisconnected(t *testing.T) {
	for name, c := range map[string]struct {
		text      string
		malformed bool
	}{
		"inline":           {"PING\r\n", true},
		"no words":         {"*0\r\n", true},
		"too many words":   {"*7\r\n", true},
		"not a number":     {"*x\r\n", true},
		"huge number":      {"*99999999999999999999\r\n", true},
		"number with sign": {"*1\r\n$+4\r\nPING\r\n", true},
		"negative number":  {"*1\r\n$-4\r\nPING\r\n", true},
		"null word":        {"*1\r\n$-1\r\n", true},
		"long word":        {"*1\r\n$2000\r\n", true},
		"long value":       {"*5\r\n$1\r\na\r\n$1\r\na\r\n$1\r\na\r\n$1\r\na\r\n$65537\r\n", true},
		"no terminator":    {"*1\r\n$4\r\nPINGxx", true},
		"line without end": {strings.Repeat("*", 200<<10), true},
		"cut in a word":    {"*1\r\n$4\r\nPI", false},
		"cut in a value":   {"*5\r\n$1\r\na\r\n$1\r\na\r\n$1\r\na\r\n$1\r\na\r\n$9000\r\nxx", false},
	} {
		_, err := connOf(t, c.text).ReadCommand(4, nil)
		if err == nil || errors.As(err, new(ProtocolError)) != c.malformed {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

func TestReadReply(t *testing.T) {
	for text, want := range map[string]Reply{
		fakes.FormatValue("hello", 4):           {Kind: '*', Attributes: []string{"used=10,cost=4", ""}},
		"$5\r\nhello\r\n":                       {Kind: '$'},
		"-ERR failed used=3\r\n":                {Kind: '-', Line: "ERR failed used=3"},
		"-BUSY\r\n":                             {Kind: '-', Line: "BUSY"},
		"+PONG\r\n":                             {Kind: '+', Line: "PONG"},
		"*3\r\n$5\r\nhello\r\n$-1\r\n$-1\r\n":   {Kind: '*', Attributes: []string{"", ""}},
		"*2\r\n$5\r\nhello\r\n$4\r\ninfl\r\n":   {Kind: '*', Attributes: []string{"infl"}},
		"*1\r\n$5\r\nhello\r\n-ERR of others\r": {Kind: '*'},
	} {
		got, err := connOf(t, text).ReadReply()
		if err != nil || got.Kind != want.Kind ||
			strings.Join(got.Attributes, "|") != strings.Join(want.Attributes, "|") {
			t.Errorf("%q: got %+v, %v", text, got, err)
			continue
		}
		if value := strings.Contains(
			text,
			"hello",
		); value != (got.Value != nil) ||
			value && got.Value.String() != "hello" {
			t.Errorf("%q: got value %v", text, got.Value)
		}
		if !strings.Contains(text, "hello") && got.Line != want.Line {
			t.Errorf("%q: got line %q", text, got.Line)
		}
	}
	for _, text := range []string{"\r\n", "?x\r\n", "*0\r\n", "*1\r\n+x\r\n", "$70000\r\n", "*2\r\n$1\r\na\r\n"} {
		if got, err := connOf(t, text).ReadReply(); err == nil {
			t.Errorf("%q: got %+v, want an error", text, got)
		}
	}
}

func TestDrainedConnHoldsNoReader(t *testing.T) {
	c := connOf(t, fakes.FormatCommand("PING")+fakes.FormatCommand("PING"))
	for i := range 2 {
		if err := c.Await(); err != nil {
			t.Fatal(err)
		}
		if _, err := c.ReadCommand(4, nil); err != nil {
			t.Fatal(err)
		}
		if i == 1 && c.reader != nil {
			t.Error("the reader is not released after the last message")
		}
	}
}

func TestResetSendsTCPReset(t *testing.T) {
	c, far := connPair(t)
	c.Reset()
	if _, err := far.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the peer's read returned %v, want a reset", err)
	}
}

func TestIsIdle(t *testing.T) {
	c, far := connPair(t)
	if !c.IsIdle() {
		t.Error("a new connection is not idle")
	}
	_, _ = io.WriteString(far, "x")
	fakes.Eventually(t, "bytes", func() bool { return !c.IsIdle() })
	c, far = connPair(t)
	_ = far.Close()
	fakes.Eventually(t, "the end of input", func() bool { return !c.IsIdle() })
}
