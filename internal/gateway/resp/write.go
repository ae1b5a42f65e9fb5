package resp

import (
	"bufio"
	"strconv"
)

const decimal = 10 // the base in which lengths are written

// WriteCommand writes a command, in one system call if it fits a buffer. An error means that its
// last byte was not written.
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

// WriteLine writes a status or error line; its first byte is its kind.
func (c *Conn) WriteLine(line string) error {
	return c.write(func(w *bufio.Writer) {
		_, _ = w.WriteString(line)
		_, _ = w.WriteString(terminator)
	})
}

// WriteValue writes a bulk value.
func (c *Conn) WriteValue(b *Bulk) error {
	return c.write(func(w *bufio.Writer) { writeBulk(w, b) })
}

// write passes a pooled writer to fill and flushes it. The writer keeps its first error, which the
// flush returns.
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
