package resp

import (
	"bufio"
	"iter"
	"strconv"
)

const decimal = 10 // number base of lengths

// WriteCommand writes a command, in a single system call if it fits into one buffer. After an
// error, the command has not been written completely.
func (c *Conn) WriteCommand(cmd *Command) error {
	return c.write(func(w *bufio.Writer) {
		n := len(cmd.Words)
		if cmd.Body != nil {
			n++
		}
		writeHeader(w, kindArray, n)
		for _, word := range cmd.Words {
			writeHeader(w, kindBulk, len(word))
			_, _ = w.WriteString(word)
			_, _ = w.WriteString(terminator)
		}
		if cmd.Body != nil {
			writeBulk(w, cmd.Body)
		}
	})
}

// WriteLine writes a status or error line. The first byte of line is the type byte.
func (c *Conn) WriteLine(line string) error {
	return c.write(func(w *bufio.Writer) {
		_, _ = w.WriteString(line)
		_, _ = w.WriteString(terminator)
	})
}

// WriteLines writes status or error lines, as many as fit into one buffer in each system call.
func (c *Conn) WriteLines(lines iter.Seq[string]) error {
	return c.write(func(w *bufio.Writer) {
		for line := range lines {
			_, _ = w.WriteString(line)
			_, _ = w.WriteString(terminator)
		}
	})
}

// WriteValue writes a bulk value.
func (c *Conn) WriteValue(b *Bulk) error {
	return c.write(func(w *bufio.Writer) { writeBulk(w, b) })
}

// write calls fill with a pooled writer and flushes the writer. Flush returns the first error of
// the writer, so fill need not check for errors.
func (c *Conn) write(fill func(*bufio.Writer)) error {
	w := writerPool.get()
	w.Reset(c.Conn)
	fill(w)
	err := w.Flush()
	w.Reset(nil)
	writerPool.put(w)
	return err
}

func writeBulk(w *bufio.Writer, b *Bulk) {
	writeHeader(w, kindBulk, b.size)
	remaining := b.size
	for _, part := range b.parts {
		_, _ = w.Write(part[:min(remaining, bufferSize)])
		remaining -= bufferSize
	}
	_, _ = w.WriteString(terminator)
}

func writeHeader(w *bufio.Writer, kind byte, n int) {
	_ = w.WriteByte(kind)
	_, _ = w.Write(strconv.AppendInt(w.AvailableBuffer(), int64(n), decimal))
	_, _ = w.WriteString(terminator)
}
