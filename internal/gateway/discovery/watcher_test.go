package discovery

import (
	"strings"
	"testing"

	"go.uber.org/zap"

	"harrierhoist/internal/gateway/config"
	"harrierhoist/internal/testing/fakes"
)

func TestWatch_continuesFromTheLatestVersion(t *testing.T) {
	discovery := fakes.NewDiscovery(t, fakes.FormatHost("s-1", "x", "in_service"))
	startWatcher(t, discovery.Addr, options{})
	if query := <-discovery.Queries; query != "" {
		t.Errorf("first call has query %q, want a call for the full list", query)
	}
	if query := nextWatch(discovery); !strings.HasPrefix(query, "since=1&timeout_ms=") {
		t.Errorf("first watch has query %q, want since=1", query)
	}
	discovery.Publish(false, fakes.FormatHost("s-1", "x", "terminating"))
	if query := nextWatch(discovery); !strings.HasPrefix(query, "since=2&") {
		t.Errorf("next watch has query %q, want since=2", query)
	}
}

// nextWatch returns the query of the next watch. It skips calls for the full list, because on a
// slow machine a parallel one may come before the watch.
func nextWatch(discovery *fakes.Discovery) string {
	query := <-discovery.Queries
	for query == "" {
		query = <-discovery.Queries
	}
	return query
}

func TestRun_unreachableAgentIsCalledAgain(t *testing.T) {
	t.Parallel()
	listener := fakes.Listen(t)
	startWatcher(t, listener.Addr().String(), options{known: fullList(1)})
	for range 2 {
		conn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.Close()
	}
}

func TestNew_rejectsMalformedKnownList(t *testing.T) {
	configuration := &config.Gateway{Settings: forwardingSettings(), KnownEndpoints: []byte(`{"hosts":7}`)}
	_, err := New(configuration, newDispatcher(t, configuration.Settings, zap.NewNop()), zap.NewNop())
	if err == nil || !strings.Contains(err.Error(), "known") {
		t.Errorf("got error %v, want one that names the key known", err)
	}
}
