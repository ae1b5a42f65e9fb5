package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"harrierhoist/internal/gateway/resp"
	"harrierhoist/internal/lab/emulation"
	"harrierhoist/internal/lab/scenario"
)

const (
	socketsPerGateway = 512
	readyTimeout      = 10 * time.Second
	pingTimeout       = time.Second
	pingInterval      = 20 * time.Millisecond
	stopTimeout       = 5 * time.Second // from SIGTERM to SIGKILL, once the context has ended
)

// cluster is the running back end of a scenario and gateways before it, each a process of this
// program.
type cluster struct {
	*emulation.Backend
	addresses []string // of the gateways
	processes []*exec.Cmd
	dir       string // of the gateways' configurations
}

// startCluster starts a scenario's back end, and gateways on free ports with their logs going to a
// writer. It waits until they are ready.
func startCluster(ctx context.Context, s *scenario.Scenario, log io.Writer) (*cluster, error) {
	backend, err := emulation.Start(ctx, s, s.Seed)
	if err != nil {
		return nil, err
	}
	c := &cluster{Backend: backend}
	if err := c.startGateways(ctx, s.Gateways.Count, log); err != nil {
		return nil, errors.Join(err, c.stop())
	}
	return c, nil
}

func (c *cluster) startGateways(ctx context.Context, count int, log io.Writer) (err error) {
	c.dir, err = os.MkdirTemp("", "loadlab-")
	if err != nil {
		return err
	}
	program, err := os.Executable()
	if err != nil {
		return err
	}
	for n := range count {
		if err := c.startGateway(ctx, program, n, log); err != nil {
			return err
		}
	}
	for _, addr := range c.addresses {
		if err := waitReady(ctx, addr); err != nil {
			return err
		}
	}
	return nil
}

// configFileMode lets only this user read the gateways' configuration files.
const configFileMode = 0o600

func (c *cluster) startGateway(ctx context.Context, program string, number int, log io.Writer) error {
	addr, err := freeAddress(ctx)
	if err != nil {
		return err
	}
	configuration, err := c.GatewayConfig(number, addr, socketsPerGateway)
	if err != nil {
		return err
	}
	file := filepath.Join(c.dir, fmt.Sprintf("n%d.json", number))
	if err := os.WriteFile(file, configuration, configFileMode); err != nil {
		return err
	}
	process := exec.CommandContext(ctx, program, "gateway", file)
	process.Cancel = func() error { return process.Process.Signal(syscall.SIGTERM) }
	process.WaitDelay = stopTimeout
	process.Stderr = log
	if err := process.Start(); err != nil {
		return err
	}
	c.processes = append(c.processes, process)
	c.addresses = append(c.addresses, addr)
	return nil
}

// freeAddress returns an address on loopback whose port was free a moment ago.
func freeAddress(ctx context.Context) (string, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// waitReady waits until a gateway answers PING with PONG.
func waitReady(ctx context.Context, addr string) error {
	var err error
	for end := time.Now().Add(readyTimeout); ctx.Err() == nil && time.Now().Before(end); time.Sleep(pingInterval) {
		err = ping(ctx, addr)
		if err == nil {
			return nil
		}
	}
	return fmt.Errorf("the gateway at %s is not ready after %v: %w", addr, readyTimeout, errors.Join(ctx.Err(), err))
}

var errNoPong = errors.New("PING was not answered with PONG")

func ping(ctx context.Context, addr string) error {
	dialer := net.Dialer{Timeout: pingTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	conn := resp.NewConn(raw)
	defer func() { _ = conn.Close() }() // it was only for this answer
	if err := conn.SetDeadline(time.Now().Add(pingTimeout)); err != nil {
		return err
	}
	if err := conn.WriteCommand(&resp.Command{Words: []string{"PING"}}); err != nil {
		return err
	}
	if err := conn.Await(); err != nil {
		return err
	}
	reply, err := conn.ReadReply()
	if err == nil && reply.Line != "PONG" {
		err = errNoPong
	}
	return err
}

// stop ends the gateways, then the back end.
func (c *cluster) stop() error {
	for _, process := range c.processes {
		_ = process.Process.Signal(syscall.SIGTERM) // fails if it has ended
	}
	for _, process := range c.processes {
		_ = process.Wait() // the signal is its error
	}
	return errors.Join(c.Close(), os.RemoveAll(c.dir))
}

func emulateCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "emulate SCENARIO.toml",
		Short: "start a scenario's servers, counter, discovery and real gateways on loopback until Ctrl-C",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) (err error) {
			s, err := scenario.Read(args[0])
			if err != nil {
				return err
			}
			c, err := startCluster(cmd.Context(), s, cmd.ErrOrStderr())
			if err != nil {
				return err
			}
			defer func() { err = errors.Join(err, c.stop()) }()
			counter := ""
			if c.Counter != nil {
				counter = c.Counter.Addr
			}
			err = json.NewEncoder(cmd.OutOrStdout()).Encode(map[string]any{
				"gateways": c.addresses, "discovery": c.Discovery.Addr, "counter": counter,
			})
			if err != nil {
				return err
			}
			<-cmd.Context().Done()
			return nil
		},
	}
}
