package resp

import (
	"bufio"
	"errors"
	"fmt"
	"strconv"
)

// readHeader reads a line that consists of the type byte kind and a length. It returns the length,
// or -1 for null.
func (c *Conn) readHeader(kind byte) (int, error) {
	line, err := c.readLine()
	if err != nil {
		return 0, err
	}
	if len(line) < 2 || line[0] != kind {
		return 0, ProtocolError(fmt.Sprintf("no line of kind %c", kind))
	}
	return parseLength(string(line[1:]))
}

// readLine reads a line and returns it without its end. The result is valid until the next read. A line
// must fit into the reader's buffer, so that one that arrives slowly takes no further memory.
func (c *Conn) readLine() ([]byte, error) {
	line, err := c.reader.R.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, ProtocolError("message too long")
	}
	if err != nil {
		return nil, err
	}
	line = line[:len(line)-1]
	if n := len(line); n > 0 && line[n-1] == '\r' {
		line = line[:n-1]
	}
	return line, nil
}

// parseLength parses a length in its shortest decimal form. -1 is the only negative length.
func parseLength(text string) (int, error) {
	n, err := strconv.Atoi(text)
	if err != nil || n < -1 || strconv.Itoa(n) != text {
		return 0, ProtocolError("a length is no number")
	}
	return n, nil
}
