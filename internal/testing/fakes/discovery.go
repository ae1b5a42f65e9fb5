package fakes

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// Discovery is a fake agent of discovery. A call without a version gets the complete list; one with
// a version is a watch, which gets the next version, or no entries once its time is over.
type Discovery struct {
	Addr    string
	Queries chan string // of the calls that came, as many as fit

	mu       sync.Mutex
	versions []string         // what each version published, the first at 0
	hosts    []string         // all entries of the latest version
	changed  chan struct{}    // closed with the next version
	failure  http.HandlerFunc // answers in place of a list; nil: none
}

// FormatHost returns an entry of a list in discovery's form.
func FormatHost(name, dial, health string) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"hall-a","class":"m2","block":1,"health":%q,"share":1.0,`+
		`"born_ms":0}`, name, dial, health)
}

// FormatList returns a list in discovery's form; full: a complete list, and no changes.
func FormatList(seq int, full bool, hosts ...string) string {
	return fmt.Sprintf(`{"seq":%d,"whole":%t,"hosts":[%s]}`, seq, full, strings.Join(hosts, ","))
}

// NewDiscovery starts an agent with a first list, which ends with the test.
func NewDiscovery(tb testing.TB, hosts ...string) *Discovery {
	tb.Helper()
	d := &Discovery{changed: make(chan struct{}), Queries: make(chan string, 1000)}
	d.Publish(true, hosts...)
	server := httptest.NewServer(d)
	tb.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	d.Addr = strings.TrimPrefix(server.URL, "http://")
	return d
}

// ServeHTTP answers a call.
func (d *Discovery) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	select {
	case d.Queries <- request.URL.RawQuery:
	default: // the test does not read them
	}
	d.mu.Lock()
	failure := d.failure
	d.mu.Unlock()
	if failure != nil {
		failure(response, request)
		return
	}
	text, ok := d.answer(request)
	if !ok {
		return
	}
	_, _ = io.WriteString(response, text) // a caller that has gone is no fault of the test's
}

// answer returns the list for a call, or false where the caller has gone before there was one.
func (d *Discovery) answer(request *http.Request) (text string, ok bool) {
	query := request.URL.Query()
	since, err := strconv.Atoi(query.Get("since"))
	if err != nil { // no watch
		d.mu.Lock()
		defer d.mu.Unlock()
		return FormatList(len(d.versions), true, d.hosts...), true
	}
	wait, _ := strconv.Atoi(query.Get("timeout_ms")) // none: the watch ends at once
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		d.mu.Lock()
		versions := d.versions
		changed := d.changed
		d.mu.Unlock()
		if since < len(versions) {
			return versions[since], true
		}
		select {
		case <-changed:
		case <-timer.C:
			return FormatList(since, false), true
		case <-request.Context().Done():
			return "", false
		}
	}
}

// Publish adds a version: the complete list, or what changed.
func (d *Discovery) Publish(full bool, hosts ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.versions = append(d.versions, FormatList(len(d.versions)+1, full, hosts...))
	if full {
		d.hosts = nil
	}
	for _, host := range hosts {
		name, _, _ := strings.Cut(host, ",")
		d.hosts = slices.DeleteFunc(d.hosts, func(old string) bool { return strings.HasPrefix(old, name+",") })
		if !strings.Contains(host, `"health":"terminated"`) {
			d.hosts = append(d.hosts, host)
		}
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// Fail has a function answer each later call; nil: the lists again.
func (d *Discovery) Fail(failure http.HandlerFunc) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failure = failure
}
