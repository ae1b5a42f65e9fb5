package resp

import (
	"errors"
	"strings"
	"testing"

	"harrierhoist/internal/testing/fakes"
)

// Guards against memory that a peer takes before any is reserved: a line or a list without an end.
func TestRead_boundsWhatIsReadBeforeAValue(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		input   string
		isReply bool
	}{
		"command line": {input: "*" + strings.Repeat("1", bufferSize) + "\r\n"},
		"word length":  {input: "*2\r\n$" + strings.Repeat("0", bufferSize) + "\r\n"},
		"status line":  {input: "+" + strings.Repeat("a", bufferSize) + "\r\n", isReply: true},
		"attributes":   {input: "*1000\r\n$1\r\na\r\n" + strings.Repeat("$-1\r\n", 999), isReply: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn := NewConn(&fakes.ScriptedConn{Input: []byte(test.input)})
			if err := conn.Await(); err != nil {
				t.Fatal(err)
			}
			var err error
			if test.isReply {
				_, err = conn.ReadReply()
			} else {
				_, err = conn.ReadCommand(4, nil)
			}
			var malformed ProtocolError
			if !errors.As(err, &malformed) {
				t.Errorf("error %v, want a ProtocolError", err)
			}
		})
	}
}
