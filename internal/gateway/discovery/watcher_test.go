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
		t.Errorf("called first with %q", query)
	}
	if query := nextWatch(discovery); !strings.HasPrefix(query, "since=1&timeout_ms=") {
		t.Errorf("went on with %q", query)
	}
	discovery.Publish(false, fakes.FormatHost("s-1", "x", "terminating"))
	if query := nextWatch(discovery); !strings.HasPrefix(query, "since=2&") {
		t.Errorf("went on with %q", query)
	}
}

// nextWatch is the query of the next watch; a parallel call for the full list may come before it on
// a machine that is slow.
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
		t.Errorf("got %v", err)
	}
}
