package transport

import (
	"errors"
	"strings"
	"testing"
)

// Connections are not encrypted: they stay on this machine unless the network is private.
func TestNetwork_staysOnLoopbackUnlessPrivate(t *testing.T) {
	addresses := map[string]bool{"0.0.0.0:0": false, "[::]:0": false, "127.0.0.1:0": true, "localhost:0": true}
	for address, loopback := range addresses {
		listener, err := Network{}.Listen(t.Context(), address)
		if err == nil {
			_ = listener.Close()
		}
		if (err == nil) != loopback {
			t.Errorf("%s: %v", address, err)
		}
	}
	if listener, err := (Network{true}).Listen(t.Context(), "0.0.0.0:0"); err != nil {
		t.Error(err)
	} else {
		_ = listener.Close()
	}
	_, err := newTestClient(t).Info(t.Context(), "192.0.2.1:9")
	var refused *NotLoopbackError
	if !errors.As(err, &refused) || !strings.Contains(err.Error(), "process.private_network = true") {
		t.Errorf("dialled: %v", err)
	}
}
