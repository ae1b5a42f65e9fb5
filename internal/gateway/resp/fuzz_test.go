package resp

import (
	"reflect"
	"slices"
	"strings"
	"testing"

	"harrierhoist/internal/testing/fakes"
)

// readResult is the comparable result of reading a command or a reply.
type readResult struct {
	Words    []string
	Body     string
	Kind     byte
	HasValue bool
	Error    string
}

// record stores the text of value and frees it. A nil value means that there is none.
func (r *readResult) record(value *Bulk) {
	if r.HasValue = value != nil; r.HasValue {
		r.Body = value.String()
		value.Free()
	}
}

// maxWords is the maximum number of words of a command in the fuzz tests, without its value.
const maxWords = 4

// readCommands reads commands from data until an error and returns the results. The connection
// returns at most step bytes per read; 0 means no limit. Values are discarded unless hasMemory.
func readCommands(t *testing.T, data []byte, step int, hasMemory bool) (all []readResult) {
	t.Helper()
	c := NewConn(&fakes.ScriptedConn{Input: data, MaxRead: step})
	for {
		if err := c.Await(); err != nil {
			return append(all, readResult{Error: err.Error()})
		}
		cmd, err := c.ReadCommand(maxWords, func(int) bool { return hasMemory })
		if err != nil {
			if c.reader != nil || cmd != nil {
				t.Fatalf("the reader is not released or a result is returned after error %v", err)
			}
			return append(all, readResult{Error: err.Error()})
		}
		checkCommand(t, cmd, hasMemory)
		result := readResult{Words: cmd.Words}
		result.record(cmd.Body)
		all = append(all, result)
	}
}

// checkCommand checks that cmd respects the limits of the protocol and is unchanged when written
// and read again.
func checkCommand(t *testing.T, cmd *Command, hasMemory bool) {
	t.Helper()
	hasValue := cmd.Body != nil || cmd.BodyDiscarded
	if n := len(cmd.Words); n < 1 || n > maxWords || hasValue && n != maxWords || cmd.BodyDiscarded && hasMemory {
		t.Fatalf("command has %d words, value: %v, discarded: %v", n, cmd.Body != nil, cmd.BodyDiscarded)
	}
	if cmd.Body != nil && !hasMemory {
		t.Fatal("a value was read without memory for it")
	}
	if cmd.Body != nil && cmd.Body.size > maxValueSize || slices.ContainsFunc(cmd.Words, isTooLong) {
		t.Fatal("a word or a value is longer than its limit")
	}
	checkRoundTrip(t, cmd)
}

func isTooLong(word string) bool { return len(word) > maxWordSize }

// checkRoundTrip checks that cmd is equal to the command that is read after cmd is written.
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

// No input of a client may cause a panic or a command beyond the limits, and a command must be
// unchanged when written again. The result must not depend on how the network splits the input.
// Apart from the values themselves, it must not depend on whether there is memory for them.
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
			t.Fatalf("in reads of up to %d bytes: %+v, in full reads: %+v", step, parts, whole)
		}
		discarded := readCommands(t, data, int(step), false)
		for i := range whole {
			whole[i].HasValue, whole[i].Body = false, ""
		}
		if !reflect.DeepEqual(whole, discarded) {
			t.Fatalf("with values discarded: %+v, with values read: %+v", discarded, whole)
		}
	})
}

// readReplies reads replies from data until an error and returns the results. The connection
// returns at most step bytes per read; 0 means no limit.
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
				t.Fatalf("the reader is not released or a result is returned after error %v", err)
			}
			return append(all, readResult{Error: err.Error()})
		}
		checkReply(t, reply)
		result := readResult{Words: append([]string{reply.Line}, reply.Attributes...), Kind: reply.Kind}
		result.record(reply.Value)
		all = append(all, result)
	}
}

// checkReply checks that reply respects the limits of the protocol.
func checkReply(t *testing.T, reply *Reply) {
	t.Helper()
	isLine := strings.IndexByte("+-:", reply.Kind) >= 0
	isValue := reply.Kind == kindBulk || reply.Kind == kindArray
	if !isLine && !isValue || isLine && reply.Value != nil || reply.Kind != kindArray && len(reply.Attributes) > 0 {
		t.Fatalf(
			"reply of kind %q has value: %v, attributes: %d",
			reply.Kind,
			reply.Value != nil,
			len(reply.Attributes),
		)
	}
	if reply.Value != nil && reply.Value.size > maxValueSize || slices.ContainsFunc(reply.Attributes, isTooLong) {
		t.Fatal("an attribute or a value is longer than its limit")
	}
}

// No input of a server may cause a panic or a reply beyond the limits. The result must not depend
// on how the network splits the input.
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
			t.Fatalf("in reads of up to %d bytes: %+v, in full reads: %+v", step, parts, whole)
		}
	})
}
