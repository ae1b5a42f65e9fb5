package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// readCommand reads an array of bulk strings.
func readCommand(r *bufio.Reader) ([]string, error) {
	count, err := readHeader(r, '*')
	if err != nil {
		return nil, err
	}
	words := make([]string, 0, count)
	for range count {
		size, err := readHeader(r, '$')
		if err != nil {
			return nil, err
		}
		text := make([]byte, size+2)
		if _, err := io.ReadFull(r, text); err != nil {
			return nil, err
		}
		words = append(words, string(text[:size]))
	}
	return words, nil
}

func readHeader(r *bufio.Reader, kind byte) (int, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return 0, err
	}
	line = strings.TrimRight(line, "\r\n")
	if line == "" || line[0] != kind {
		return 0, errors.New("unexpected line " + strconv.Quote(line))
	}
	return strconv.Atoi(line[1:])
}

// encode returns a command as an array of bulk strings.
func encode(words ...string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, word := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(word), word)
	}
	return []byte(b.String())
}

// readAnswer reads a gateway's answer: the text of a bulk string with a + before it, or the line of
// another answer.
func readAnswer(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return "", err
	}
	line = strings.TrimRight(line, "\r\n")
	if line == "" || line[0] != '$' {
		return line, nil
	}
	size, err := strconv.Atoi(line[1:])
	if err != nil || size < 0 {
		return line, err
	}
	text := make([]byte, size+2)
	if _, err := io.ReadFull(r, text); err != nil {
		return "", err
	}
	return "+" + string(text[:size]), nil
}

// parameter returns the value of a name in a list of names and values.
func parameter(list, name string) string {
	for pair := range strings.SplitSeq(list, ",") {
		if key, value, _ := strings.Cut(pair, "="); key == name {
			return value
		}
	}
	return ""
}
