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

// Discovery lists hosts, and tells changes to those that watch, as an agent does: a call without a version gets all
// that it has, and a watch ends after its time with no entries.
type Discovery struct {
	Addr     string
	mu       sync.Mutex
	versions []string // by version, from 1
	hosts    []string // all of the latest version
	changed  chan struct{}
	failure  http.HandlerFunc
	Queries  chan string
}

// FormatHost writes an entry of the list.
func FormatHost(name, dial, health string) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"hall-a","class":"m2","block":1,"health":%q,"share":1.0,`+
		`"born_ms":0}`, name, dial, health)
}

// NewDiscovery starts one with a first list.
func NewDiscovery(t testing.TB, hosts ...string) *Discovery {
	d := &Discovery{changed: make(chan struct{}), Queries: make(chan string, 1000)}
	d.Publish(true, hosts...)
	server := httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		select {
		case d.Queries <- request.URL.RawQuery:
		default: // nobody looks at them
		}
		since, err := strconv.Atoi(request.URL.Query().Get("since"))
		wait, _ := strconv.Atoi(request.URL.Query().Get("timeout_ms"))
		end := time.After(time.Duration(wait) * time.Millisecond)
		d.mu.Lock()
		if failure := d.failure; failure != nil {
			d.mu.Unlock()
			failure(response, request)
			return
		}
		for err == nil && since >= len(d.versions) {
			changed := d.changed
			d.mu.Unlock()
			select {
			case <-changed:
			case <-end:
				_, _ = io.WriteString(response, FormatList(since, false))
				return
			case <-request.Context().Done():
				return
			}
			d.mu.Lock()
		}
		text := FormatList(len(d.versions), true, d.hosts...)
		if err == nil {
			text = d.versions[since]
		}
		d.mu.Unlock()
		_, _ = io.WriteString(response, text)
	}))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	d.Addr = strings.TrimPrefix(server.URL, "http://")
	return d
}

// Publish adds a version: the whole list, or what changed.
func (d *Discovery) Publish(full bool, hosts ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.versions = append(d.versions, FormatList(len(d.versions)+1, full, hosts...))
	if full {
		d.hosts = nil
	}
	for _, h := range hosts {
		name, _, _ := strings.Cut(h, ",")
		d.hosts = slices.DeleteFunc(d.hosts, func(old string) bool { return strings.HasPrefix(old, name+",") })
		if !strings.Contains(h, `"health":"terminated"`) {
			d.hosts = append(d.hosts, h)
		}
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// Fail has each call that comes from now on answered by a function; nil: by a list again.
func (d *Discovery) Fail(failure http.HandlerFunc) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failure = failure
}

// FormatList writes a list in discovery's form.
func FormatList(seq int, full bool, hosts ...string) string {
	return fmt.Sprintf(`{"seq":%d,"whole":%t,"hosts":[%s]}`, seq, full, strings.Join(hosts, ","))
}
