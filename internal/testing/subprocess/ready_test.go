package subprocess

import (
	"bufio"
	"io"
	"testing"

	"harrierhoist/internal/testing/fakes"
)

func TestIsReady_wantsTheAnswerToAPing(t *testing.T) {
	for answer, want := range map[string]bool{
		"+PONG\r\n": true, "+PONG": false, "-ERR not ready\r\n": false,
		"": false,
	} {
		t.Run(answer, func(t *testing.T) {
			listener, called := fakes.Listen(t), make(chan string, 1)
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					close(called)
					return
				}
				defer func() { _ = conn.Close() }() // it was answered by then
				line, _ := bufio.NewReader(conn).ReadString('\n')
				called <- line
				_, _ = io.WriteString(conn, answer)
			}()
			if IsReady(listener.Addr().String()) != want {
				t.Errorf("ready is %v", !want)
			}
			if line := <-called; line != "*1\r\n" {
				t.Errorf("called with %q", line)
			}
		})
	}
	listener := fakes.Listen(t)
	_ = listener.Close()
	if IsReady(listener.Addr().String()) {
		t.Error("ready where nobody listens")
	}
}
