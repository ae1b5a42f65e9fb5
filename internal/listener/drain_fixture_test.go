package listener

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"harrierhoist/internal/dispatch"
	"harrierhoist/internal/testing/fakes"
	"harrierhoist/internal/upstream"
	"harrierhoist/policy"
)

// tappedConn is a connection as the front has it. Hooks hold it between two lines of the front's code; none: it goes on.
type tappedConn struct {
	*net.TCPConn
	waited   func()                            // a wait has ended: a byte has come, or the end
	write    func(p []byte) (n int, err error) // in place of a write
	halfShut func()                            // a half-close is about to be made
	breaks   func()                            // a reset is about to be made
	closes   func()                            // a close is about to be made
	words    func(at time.Time)                // a time for words is set; zero: they are read, or given up
	read     atomic.Int64                      // how many bytes were read
}

func (h *tappedConn) Read(p []byte) (int, error) {
	n, err := h.TCPConn.Read(p)
	runHook(h.waited) // where a wait reads
	h.read.Add(int64(n))
	return n, err
}

func (h *tappedConn) Write(p []byte) (int, error) {
	if h.write != nil {
		return h.write(p)
	}
	return h.TCPConn.Write(p)
}

func (h *tappedConn) CloseWrite() error {
	runHook(h.halfShut)
	return h.TCPConn.CloseWrite()
}

func (h *tappedConn) SetLinger(s int) error {
	runHook(h.breaks)
	return h.TCPConn.SetLinger(s)
}

func (h *tappedConn) Close() error {
	runHook(h.closes)
	return h.TCPConn.Close()
}

func (h *tappedConn) SetReadDeadline(at time.Time) error {
	if h.words != nil {
		h.words(at)
	}
	return h.TCPConn.SetReadDeadline(at)
}

func (h *tappedConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := h.TCPConn.SyscallConn()
	return heldRawConn{raw, h}, err
}

type heldRawConn struct {
	syscall.RawConn
	h *tappedConn
}

func (r heldRawConn) Read(f func(fd uintptr) bool) error {
	err := r.RawConn.Read(f)
	if err == nil {
		runHook(r.h.waited)
	}
	return err
}

func runHook(hook func()) {
	if hook != nil {
		hook()
	}
}

// once makes a hook that acts the first time only.
func once(act func()) func() {
	var o sync.Once
	return func() { o.Do(act) }
}

// drainFixture is a front in the open, with a gate, a fleet and one server that answers by a function.
type drainFixture struct {
	*testing.T
	*net.TCPListener
	f      *Listener
	server *fakes.Server
	logs   *observer.ObservedLogs
	hook   atomic.Pointer[func(*tappedConn)] // of the connections accepted from here on
	came   chan *tappedConn
	served chan error
}

func (h *drainFixture) Accept() (net.Conn, error) {
	conn, err := h.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	c := &tappedConn{TCPConn: conn.(*net.TCPConn)}
	if hook := h.hook.Load(); hook != nil && *hook != nil {
		(*hook)(c)
	}
	h.came <- c
	return c, nil
}

func newDrainFixture(t *testing.T, places int, hook func(*tappedConn), answer func(words []string) string) *drainFixture {
	t.Helper()
	t.Parallel()
	site := policy.Settings{
		Gateways: 1, Zones: 1, ClockTick: 2 * time.Millisecond, MaxAttempts: 5, CanCancel: true, RetryAfter: true,
		MaxRetryAfter: 2 * time.Second, DrainGrace: time.Second, ArrivalSlack: 8 * time.Millisecond, OverloadSpan: time.Second,
		Classes: []policy.TrafficClass{{Name: "look", LatencyObjective: 2 * time.Second, Timeout: 3 * time.Second, Effect: policy.Idempotent}},
		Plans:   []policy.Plan{{Name: "wide", Rate: 100000, Burst: 100000}},
	}
	core, logs := observer.New(zapcore.WarnLevel)
	g, err := dispatch.New(site, 7, dispatch.Dependencies{}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	go g.RunTimers(t.Context())
	h := &drainFixture{
		T: t, TCPListener: fakes.Listen(t).(*net.TCPListener), server: fakes.NewServer(t, answer), logs: logs,
		came: make(chan *tappedConn, 1000), served: make(chan error, 1),
	}
	g.HandleEndpoints(policy.ListFull, []dispatch.Server{{Name: "s-1", Address: h.server.Addr, Endpoint: policy.Endpoint{State: policy.Ready}}})
	h.f = New(&site, g, upstream.New(time.Second, time.Minute, nil, 100), places, 0, zap.New(core))
	h.f.Ready()
	h.hook.Store(&hook)
	go func() { h.served <- h.f.Serve(h) }()
	return h
}

// startDraining has the front close from here on, as Drain does when clients have stopped coming; it reads on for an hour, or
// as long as is said.
func (h *drainFixture) startDraining(reads ...time.Duration) {
	h.f.readUntil, h.f.answerUntil = time.Now().Add(append(reads, time.Hour)[0]), time.Now().Add(time.Hour)
	h.f.draining.Store(true)
}

// drain asks the front to end, and waits until it closes.
func (h *drainFixture) drain() (ended chan struct{}) {
	h.Helper()
	ended = make(chan struct{})
	go func() {
		h.f.Drain(h)
		close(ended)
	}()
	fakes.Eventually(h, "closing", h.f.draining.Load)
	return ended
}

// awaitDrained waits until the drain has ended.
func (h *drainFixture) awaitDrained(ended chan struct{}) {
	h.Helper()
	select {
	case <-ended:
	case <-time.After(20 * time.Second):
		h.Fatal("the drain does not end")
	}
}

// awaitEmpty waits until all places are free.
func (h *drainFixture) awaitEmpty() {
	h.Helper()
	fakes.Eventually(h, "all places free", func() bool { return len(h.f.slots) == 0 })
}

// makeIdle makes a client one that has been idle for long.
func (c *client) makeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastUsed = time.Now().Add(-time.Hour)
}
