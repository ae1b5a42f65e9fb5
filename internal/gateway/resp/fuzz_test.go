package resp

import (
	"reflect"
	"slices"
	"strings"
	"testing"

	"harrierhoist/internal/testing/fakes"
)

// readResult is the outcome of reading a message, for comparison.
type readResult struct {
	Words    []string
	Body     string
	Kind     byte
	HasValue bool
	Error    string
}

// record takes over a value, which is nil if there is none.
func (r *readResult) record(value *Bulk) {
	if r.HasValue = value != nil; r.HasValue {
		r.Body = value.String()
		value.Free()
	}
}

// maxWords is how many words a command of the fuzz tests may have besides its value.
const maxWords = 4

// readCommands reads commands from data, step bytes at a time, until an error; values are kept if
// there is memory.
func readCommands(t *testing.T, data []byte, step int, memory bool) (all []readResult) {
	t.Helper()
	c := NewConn(&fakes.ScriptedConn{Input: data, MaxRead: step})
	for {
		if err := c.Await(); err != nil {
			return append(all, readResult{Error: err.Error()})
		}
		cmd, err := c.ReadCommand(maxWords, func(int) bool { return memory })
		if err != nil {
			if c.reader != nil || cmd != nil {
				t.Fatalf("a buffer is held after %v", err)
			}
			return append(all, readResult{Error: err.Error()})
		}
		checkCommand(t, cmd, memory)
		result := readResult{Words: cmd.Words}
		result.record(cmd.Body)
		all = append(all, result)
	}
}

// checkCommand checks a command against the limits of the protocol, and that it is passed on
// unchanged.
func checkCommand(t *testing.T, cmd *Command, memory bool) {
	t.Helper()
	hasValue := cmd.Body != nil || cmd.Discarded
	if n := len(cmd.Words); n < 1 || n > maxWords || hasValue && n != maxWords || cmd.Discarded && memory {
		t.Fatalf("a command of %d words, with a value: %v, discarded: %v", n, cmd.Body != nil, cmd.Discarded)
	}
	if cmd.Body != nil && !memory {
		t.Fatal("a value is kept without memory for it")
	}
	if cmd.Body != nil && cmd.Body.size > maxValueSize || slices.ContainsFunc(cmd.Words, isTooLong) {
		t.Fatal("a word or a value beyond its limit")
	}
	checkRoundTrip(t, cmd)
}

func isTooLong(word string) bool { return len(word) > maxWordSize }

// checkRoundTrip checks that a command that is written is read back as it was.
func checkRoundTrip(t *testing.T, cmd *Command) {
	t.Helper()
	out := &fakes.ScriptedConn{}
	if err := NewConn(out).WriteCommand(cmd); err != nil {
		t.Fatal(err)
	}
	c := NewConn(&fakes.ScriptedConn{Input: out.Output.Bytes()})
	if err := c.Await(); err != nil {
		t.Fatal(err)
	}
	again, err := c.ReadCommand(maxWords, nil)
	if err != nil || !slices.Equal(again.Words, cmd.Words) || (again.Body == nil) != (cmd.Body == nil) ||
		cmd.Body != nil && again.Body.String() != cmd.Body.String() || !c.IsDrained() {
		t.Fatalf("%q reads back as %+v, %v", out.Output.Bytes(), again, err)
	}
	again.Body.Free()
}

// Whatever a client sends: no panic, the limits hold, a command passes unchanged, and the result
// depends neither on how the network splits the bytes nor on whether there is memory for values.
func FuzzReadCommand(f *testing.F) {
	query := fakes.FormatCommand("SVC.QUERY", "0000000000000005", "9b1f", "c=look,t=open,d=480")
	for _, text := range []string{
		query, query + query, "*1\r\n$4\r\nPING\r\n", query[:len(query)-5],
		"PING\r\n", "*0\r\n", "*-1\r\n", "*5\r\n$-1\r\n",
		fakes.FormatCommand("SVC.SUBMIT", "0000000000000005", "9b20", "c=book,t=open,d=480,k=7", "BODY") + query,
		fakes.FormatCommand("SVC.SUBMIT", "", "", "", ""),
		fakes.FormatCommand("PING", strings.Repeat("x", maxWordSize+1)),
		fakes.FormatCommand(strings.Repeat("x", maxWordSize)),
		fakes.FormatCommand("a", "b", "c", "d", strings.Repeat("x", maxValueSize)),
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
		discarded := readCommands(t, data, int(step), false)
		for i := range whole {
			whole[i].HasValue, whole[i].Body = false, ""
		}
		if !reflect.DeepEqual(whole, discarded) {
			t.Fatalf("with values discarded: %+v, else: %+v", discarded, whole)
		}
	})
}

// readReplies reads replies from data, step bytes at a time, until an error.
func readReplies(t *testing.T, data []byte, step int) (all []readResult) {
	t.Helper()
	c := NewConn(&fakes.ScriptedConn{Input: data, MaxRead: step})
	for {
		if err := c.Await(); err != nil {
			return append(all, readResult{Error: err.Error()})
		}
		reply, err := c.ReadReply()
		if err != nil {
			if c.reader != nil || reply != nil {
				t.Fatalf("a buffer is held after %v", err)
			}
			return append(all, readResult{Error: err.Error()})
		}
		checkReply(t, reply)
		result := readResult{Words: append([]string{reply.Line}, reply.Attributes...), Kind: reply.Kind}
		result.record(reply.Value)
		all = append(all, result)
	}
}

// checkReply checks a reply against the limits of the protocol.
func checkReply(t *testing.T, reply *Reply) {
	t.Helper()
	isLine := strings.IndexByte("+-:", reply.Kind) >= 0
	isValue := reply.Kind == kindBulk || reply.Kind == kindArray
	if !isLine && !isValue || isLine && reply.Value != nil || reply.Kind != kindArray && len(reply.Attributes) > 0 {
		t.Fatalf(
			"a reply of kind %q with value %v and %d attributes",
			reply.Kind,
			reply.Value != nil,
			len(reply.Attributes),
		)
	}
	if reply.Value != nil && reply.Value.size > maxValueSize || slices.ContainsFunc(reply.Attributes, isTooLong) {
		t.Fatal("an attribute or a value beyond its limit")
	}
}

// Whatever a server sends: no panic, the limits hold, and the result does not depend on how the
// network splits the bytes.
func FuzzReadReply(f *testing.F) {
	served := fakes.FormatValue("hello", 3)
	for _, text := range []string{
		served, served + served, served[:9],
		"*3\r\n$5\r\nhello\r\n$-1\r\n$-1\r\n", "*3\r\n$-1\r\n$-1\r\n$-1\r\n", "$5\r\nhello\r\n",
		"$-1\r\n", "+PONG\r\n", "+OK\r\n+OK\r\n", ":7\r\n",
		"-BUSY\r\n", "-ERR failed\r\n", "-ERR failed used=37,cost=4 inflight=7\r\n",
		"-NOPERM\r\n", "*0\r\n", "*-1\r\n", "*1\r\n*1\r\n$1\r\na\r\n",
		"*2\r\n$1\r\na\r\n$2\r\na\r\n", "$65537\r\n", "\r\n", "?\r\n",
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
