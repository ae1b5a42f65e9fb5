package main

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"harrierhoist/internal/testing/fakes"
)

// notReadyConfiguration is the configuration of a gateway that is not ready before an agent
// answers.
func notReadyConfiguration(gateway *gatewayUnderTest, agent string) string {
	text := configuration(gateway.addr, agent, gateway.counter.Addr, fakes.FormatList(1, true, gateway.host()))
	return strings.Replace(text, `"ConnectTimeoutMs":250`, `"ConnectTimeoutMs":60000`, 1)
}

// A signal that came before the program handled it killed the process.
func TestTerminate_beforeTheFileIsRead(t *testing.T) {
	for _, signal := range []os.Signal{syscall.SIGTERM, syscall.SIGINT} {
		t.Run(signal.String(), func(t *testing.T) {
			path := configFile(t)
			makePipe(t, path)
			process, log := startProgram(t, "RELAY_CONFIG="+path)
			waitForReader(t, path)
			_ = process.Process.Signal(signal)
			if err := process.Wait(); err != nil {
				t.Errorf("ended with %v: %s", err, log)
			}
		})
	}
}

// Between the listener and the signals, clients had connected to a program that any signal killed.
// Here it blocks on its coordination file in that moment.
func TestTerminate_afterListeningAndBeforeReady(t *testing.T) {
	gateway := newGateway(t, answerHello)
	coordinationPath := filepath.Join(t.TempDir(), "common.toml")
	replaceFile(t, gateway.configPath, notReadyConfiguration(gateway, newSilentDiscovery(t, "").addr))
	makePipe(t, coordinationPath)
	gateway.process, gateway.log = startProgram(t, "RELAY_CONFIG="+gateway.configPath, "RELAY_COMMON="+coordinationPath)
	end := waitForReader(t, coordinationPath)
	requesting, pinging := gateway.connect(), gateway.connect()
	requesting.send(queryCommand(longQueryList))
	pinging.send(fakes.FormatCommand("PING"))
	gateway.signal(syscall.SIGTERM, syscall.SIGTERM)
	const process = "[process]\nname = \"g\"\nhall = \"hall-a\"\nsingle = true\n"
	_, _ = io.WriteString(end, process+voterTable(1, "v1", loopbackAddress(), 0))
	_ = end.Close()
	requesting.want("hello")
	pinging.want("-ERR not ready")
	requesting.wantClosed()
	gateway.waitForCleanExit()
	if strings.Contains(gateway.log.String(), `"gateway: ready"`) {
		t.Error("ready although it was asked to end")
	}
}
