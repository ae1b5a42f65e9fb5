package listener

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
	"harrierhoist/policy"
)

// When the drain begins, one connection waits for a slot and two are in the backlog. All are
// answered, and no later connection is accepted.
func TestDrain_answersConnectionsInTheBacklog(t *testing.T) {
	release := map[int]chan bool{1: make(chan bool)}
	f := newDrainFixture(t, 1, nil, answerByNumber(release))
	served := f.dial()
	served.send(numberedQuery(1))
	f.server.NextCommand(t)
	waiting, inBacklog, alsoInBacklog := f.dial(), f.dial(), f.dial()
	waiting.send(numberedQuery(2))
	<-f.accepted
	<-f.accepted // of the three, the first is accepted and waits for a slot; the others are in the backlog
	inBacklog.send(numberedQuery(3))
	alsoInBacklog.send(numberedQuery(4))
	finished := f.startDrain()
	fakes.Eventually(t, "the end of forwarding", f.drain.hasStoppedForwarding)
	close(release[1])
	for i, c := range []*testClient{served, waiting, inBacklog, alsoInBacklog} {
		c.wantAnswer([]string{"value 1", "value 2", "value 3", "value 4"}[i])
		c.wantClose()
		_ = c.Close()
	}
	f.awaitDrained(finished)
	if err := <-f.served; err != nil {
		t.Error(err)
	}
	if conn, err := net.Dial("tcp", f.socket.Addr().String()); err == nil {
		_ = conn.Close()
		t.Error("the socket was not closed")
	}
}

// A client sends commands without a pause. Commands whose reading has begun are answered, no others
// are read, and the drain ends in time.
func TestDrain_closesClientThatNeverPauses(t *testing.T) {
	f := newDrainFixture(t, 8, nil, answerHello)
	client := f.dial()
	tapped := <-f.accepted
	go func() {
		for commands := strings.Repeat(pingCommand, 1000); ; {
			if _, err := io.WriteString(client, commands); err != nil {
				return
			}
		}
	}()
	answers, unexpected := 0, 0
	ended := make(chan error)
	go func() {
		for {
			line, err := client.reader.ReadString('\n')
			if err != nil {
				ended <- err
				return
			}
			answers++
			if line != "+PONG\r\n" {
				unexpected++
			}
		}
	}()
	began := time.Now()
	finished := f.startDrain()
	if err := <-ended; !errors.Is(err, io.EOF) {
		t.Errorf("reading answers: error %v, want EOF", err)
	}
	_ = client.Close()
	f.awaitDrained(finished)
	if took := time.Since(began); took > writeTimeout+killGrace {
		t.Errorf("the drain took %v, which is too long", took)
	}
	if read := int(tapped.readBytes.Load()); unexpected > 0 || read != answers*len(pingCommand) {
		t.Errorf("%d answers, %d of them unexpected, for %d commands read",
			answers, unexpected, read/len(pingCommand))
	}
}

// After the drain has stopped reading, commands that were read ahead are answered, and no further
// byte is read.
func TestDrain_readsNothingAfterReadAhead(t *testing.T) {
	const commands, bufferSize = 300, 4 << 10
	f := newDrainFixture(t, 8, func(tapped *tappedConn) {
		tapped.afterWait = runOnce(func() {
			raw, _ := tapped.TCPConn.SyscallConn()
			fakes.Eventually(t, "the arrival of all commands", func() (arrived bool) {
				_ = raw.Control(func(fd uintptr) {
					buffer := make([]byte, 2*bufferSize)
					n, _, _ := syscall.Recvfrom(int(fd), buffer, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
					arrived = n == commands*len(pingCommand)
				})
				return arrived
			})
		})
	}, answerHello)
	f.activateDrain(0)
	c := f.dial()
	tapped := <-f.accepted
	c.send(strings.Repeat(pingCommand, commands))
	readAhead := bufferSize/len(pingCommand) + 1 // the last command is read in part
	for range readAhead {
		c.wantAnswer(`\+PONG`)
	}
	c.wantClose()
	if n := int(tapped.readBytes.Load()); n != readAhead*len(pingCommand) {
		t.Errorf("%d bytes read for %d answers", n, readAhead)
	}
}

// An answer cannot be written, and a connection waits for its slot. Requests read during the drain
// get only the time until SIGKILL, the drain does not end before SIGKILL is due, and it ends
// nevertheless.
func TestDrain_endsWhenAnAnswerIsStuck(t *testing.T) {
	release := make(chan bool)
	t.Cleanup(func() { close(release) })
	var isStuck atomic.Bool
	f := newDrainFixture(t, 1, func(tapped *tappedConn) {
		tapped.write = func([]byte) (int, error) {
			isStuck.Store(true)
			<-release
			return 0, errors.New("write fails")
		}
	}, answerHello)
	client := f.dial()
	client.send(numberedQuery(1))
	fakes.Eventually(t, "the answer being written", isStuck.Load)
	waiting := f.dial()
	began := time.Now()
	finished := f.startDrain()
	timeout := f.drain.boundTimeout(time.Hour)
	if timeout <= 0 || timeout > time.Until(began.Add(writeTimeout+killGrace)) {
		t.Errorf("a new request has a timeout of %v, want one before SIGKILL", timeout)
	}
	f.awaitDrained(finished)
	if took := time.Since(began); took < writeTimeout+killGrace { // no upper bound, for slow machines
		t.Errorf("the drain took %v, which is too short", took)
	}
	waiting.wantReset()
	warnings := func() int {
		return f.logs.FilterMessage("listener: drain timed out with unanswered commands").Len()
	}
	if err := <-f.served; err != nil || warnings() != 1 {
		t.Errorf("Serve returned %v, logged %v; want nil and one warning", err, f.logs.All())
	}
}

// SIGKILL is expected 0.7 s after the longest timeout of any class, which counts for at most 3 s.
func TestKillDelay(t *testing.T) {
	for longest, want := range map[time.Duration]time.Duration{
		500 * time.Millisecond: 1200 * time.Millisecond,
		3 * time.Second:        3700 * time.Millisecond,
		9 * time.Second:        3700 * time.Millisecond,
	} {
		t.Run(longest.String(), func(t *testing.T) {
			settings := policy.Settings{Classes: []policy.TrafficClass{
				{Name: "a", Timeout: longest / 2}, {Name: "b", Timeout: longest},
			}}
			if got := New(&settings, nil, nil, 1, 0, nil).killDelay(); got != want {
				t.Errorf("SIGKILL expected after %v, want %v", got, want)
			}
		})
	}
}

// A reload during a drain that shortens the longest timeout makes the drain expect SIGKILL earlier.
// A reload that lengthens it does not make the drain expect SIGKILL later.
func TestDrain_reloadCanShortenKillDelay(t *testing.T) {
	for name, row := range map[string]struct{ timeouts []time.Duration }{
		"shortened":                  {[]time.Duration{300 * time.Millisecond}},
		"shortened, then lengthened": {[]time.Duration{300 * time.Millisecond, 9 * time.Second}},
	} {
		for _, whileActive := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, drain active %v", name, whileActive), func(t *testing.T) {
				f := newDrainFixture(t, 8, nil, answerHello)
				began := time.Now()
				finished := make(chan struct{})
				go func() {
					f.Drain(f.tappedListener)
					close(finished)
				}()
				time.Sleep(50 * time.Millisecond)
				if whileActive {
					fakes.Eventually(t, "the drain", f.drain.active.Load)
				}
				for _, timeout := range row.timeouts {
					f.reconfigureTimeout(timeout)
				}
				fakes.Eventually(t, "the drain", f.drain.active.Load)
				if got, most := f.drain.boundTimeout(time.Hour), time.Until(began.Add(time.Second)); got > most {
					t.Errorf("a new request has a timeout of %v, want at most %v", got, most)
				}
				f.awaitDrained(finished)
			})
		}
	}
}

// reconfigureTimeout sets the timeout of all classes by a reload.
func (d *drainFixture) reconfigureTimeout(timeout time.Duration) {
	d.Helper()
	settings := drainSettings()
	for i := range settings.Classes {
		settings.Classes[i].Timeout = timeout
	}
	if _, err := d.Reconfigure(settings); err != nil {
		d.Fatal(err)
	}
}
