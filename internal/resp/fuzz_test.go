package resp

import (
	"reflect"
	"slices"
	"strings"
	"testing"

	"harrierhoist/internal/testing/fakes"
)

// readResult is what is kept of a message, to compare readings.
type readResult struct {
	Words    []string
	Body     string
	Kind     byte
	HasValue bool // there is a value
	Error    string
}

func (s *readResult) record(b *Bulk, err error) {
	if s.HasValue = b != nil; s.HasValue {
		s.Body = b.String()
		b.Free()
	}
	if err != nil {
		s.Error = err.Error()
	}
}

// readCommands reads all that a client sent, so many bytes at a time, until an error; values are held where there is room.
func readCommands(t *testing.T, data []byte, step int, room bool) (all []readResult) {
	const words = 4
	c := NewConn(&fakes.ScriptedConn{Input: data, MaxRead: step})
	for {
		if err := c.Await(); err != nil {
			return append(all, readResult{Error: err.Error()})
		}
		cmd, err := c.ReadCommand(words, func(int) bool { return room })
		var s readResult
		if err == nil {
			if n := len(cmd.Words); n < 1 || n > words || (cmd.Body != nil || cmd.Discarded) && n != words || cmd.Discarded && room {
				t.Fatalf("a command of %d words, with a value: %v, thrown away: %v", n, cmd.Body != nil, cmd.Discarded)
			}
			if cmd.Body != nil && !room {
				t.Fatal("a value is held for which there was no room")
			}
			if cmd.Body != nil && cmd.Body.size > maxValueSize || slices.ContainsFunc(cmd.Words, isTooLong) {
				t.Fatal("a word or a value beyond its limit")
			}
			checkRoundTrip(t, cmd)
			s.Words = cmd.Words
			s.record(cmd.Body, nil)
		} else {
			if c.reader != nil || cmd != nil {
				t.Fatalf("after %v a buffer is held", err)
			}
			s.record(nil, err)
		}
		if all = append(all, s); err != nil {
			return all
		}
	}
}

func isTooLong(word string) bool { return len(word) > maxWordSize }

// checkRoundTrip checks that a command, written, reads back as itself.
func checkRoundTrip(t *testing.T, cmd *Command) {
	out := &fakes.ScriptedConn{}
	if err := NewConn(out).WriteCommand(cmd); err != nil {
		t.Fatal(err)
	}
	c := NewConn(&fakes.ScriptedConn{Input: out.Output.Bytes()})
	if err := c.Await(); err != nil {
		t.Fatal(err)
	}
	again, err := c.ReadCommand(4, nil)
	if err != nil || !slices.Equal(again.Words, cmd.Words) || (again.Body == nil) != (cmd.Body == nil) ||
		cmd.Body != nil && again.Body.String() != cmd.Body.String() || !c.IsDrained() {
		t.Fatalf("%q reads back as %+v, %v", out.Output.Bytes(), again, err)
	}
	again.Body.Free()
}

// Whatever a client sends: no panic, the limits hold, a command passes on unchanged, and it is all one how the network
// cuts the bytes up, and whether there is room for values.
func FuzzReadCommand(f *testing.F) {
	query := fakes.FormatCommand("SVC.QUERY", "0000000000000005", "9b1f", "c=look,t=open,d=480")
	for _, text := range []string{
		query, query + query, "*1\r\n$4\r\nPING\r\n", query[:len(query)-5], "PING\r\n", "*0\r\n", "*-1\r\n", "*5\r\n$-1\r\n",
		fakes.FormatCommand("SVC.SUBMIT", "0000000000000005", "9b20", "c=book,t=open,d=480,k=7", "BODY") + query,
		fakes.FormatCommand("SVC.SUBMIT", "", "", "", ""), fakes.FormatCommand("PING", strings.Repeat("x", maxWordSize+1)),
		fakes.FormatCommand(strings.Repeat("x", maxWordSize)), fakes.FormatCommand("a", "b", "c", "d", strings.Repeat("x", maxValueSize)),
		"*1\n$4\nPING\n", "*1\r\n$4\r\nPI\r\n\r\n", "*2\r\n$1\r\na\r\n+b\r\n",
		"*1\r\n$4\r\nPINGxx", "*1\r\n$+4\r\nPING\r\n", "*1\r\n$99999999999999999999\r\n", "*1\r\n\r\n", "\x00\xff",
	} {
		f.Add([]byte(text), uint8(0))
		f.Add([]byte(text), uint8(1))
	}
	f.Fuzz(func(t *testing.T, data []byte, step uint8) {
		whole, parts := readCommands(t, data, 0, true), readCommands(t, data, int(step), true)
		if !reflect.DeepEqual(whole, parts) {
			t.Fatalf("%d bytes at a time: %+v, at once: %+v", step, parts, whole)
		}
		thrown := readCommands(t, data, int(step), false)
		for i := range whole {
			whole[i].HasValue, whole[i].Body = false, ""
		}
		if !reflect.DeepEqual(whole, thrown) {
			t.Fatalf("with values thrown away: %+v, else: %+v", thrown, whole)
		}
	})
}

// readReplies reads all that a server sent, until an error.
func readReplies(t *testing.T, data []byte, step int) (all []readResult) {
	c := NewConn(&fakes.ScriptedConn{Input: data, MaxRead: step})
	for {
		if err := c.Await(); err != nil {
			return append(all, readResult{Error: err.Error()})
		}
		r, err := c.ReadReply()
		var s readResult
		if err == nil {
			value := r.Kind == '$' || r.Kind == '*'
			if !value && (r.Kind != '+' && r.Kind != '-' && r.Kind != ':' || r.Value != nil) || r.Kind != '*' && len(r.Attributes) > 0 {
				t.Fatalf("a reply of kind %q with value %v and %d notes", r.Kind, r.Value != nil, len(r.Attributes))
			}
			if r.Value != nil && r.Value.size > maxValueSize || slices.ContainsFunc(r.Attributes, isTooLong) {
				t.Fatal("a note or a value beyond its limit")
			}
			s = readResult{Words: append([]string{r.Line}, r.Attributes...), Kind: r.Kind}
			s.record(r.Value, nil)
		} else {
			if c.reader != nil || r != nil {
				t.Fatalf("after %v a buffer is held", err)
			}
			s.record(nil, err)
		}
		if all = append(all, s); err != nil {
			return all
		}
	}
}

// Whatever a server sends: no panic, the limits hold, and it is all one how the network cuts the bytes up.
func FuzzReadReply(f *testing.F) {
	served := fakes.FormatValue("hello", 3)
	for _, text := range []string{
		served, served + served, served[:9], "*3\r\n$5\r\nhello\r\n$-1\r\n$-1\r\n", "*3\r\n$-1\r\n$-1\r\n$-1\r\n", "$5\r\nhello\r\n",
		"$-1\r\n", "+PONG\r\n", "+OK\r\n+OK\r\n", ":7\r\n", "-BUSY\r\n", "-ERR failed\r\n", "-ERR failed used=37,cost=4 inflight=7\r\n",
		"-NOPERM\r\n", "*0\r\n", "*-1\r\n", "*1\r\n*1\r\n$1\r\na\r\n", "*2\r\n$1\r\na\r\n$2\r\na\r\n", "$65537\r\n", "\r\n", "?\r\n",
		"*9999999\r\n$-1\r\n$-1\r\n", "+PONG", "*2\r\n$1\r\na\r\n$1025\r\n" + strings.Repeat("x", 1025) + "\r\n",
	} {
		f.Add([]byte(text), uint8(0))
		f.Add([]byte(text), uint8(1))
	}
	f.Fuzz(func(t *testing.T, data []byte, step uint8) {
		whole, parts := readReplies(t, data, 0), readReplies(t, data, int(step))
		if !reflect.DeepEqual(whole, parts) {
			t.Fatalf("%d bytes at a time: %+v, at once: %+v", step, parts, whole)
		}
	})
}
