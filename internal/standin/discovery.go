package standin

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
)

// Discovery lists hosts, and tells changes to those that watch.
type Discovery struct {
	Addr    string
	mu      sync.Mutex
	lists   []string // by version, from 1
	news    chan struct{}
	Queries chan string
}

// Host writes an entry of the list.
func Host(name, dial, health string) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"hall-a","class":"m2","block":1,"health":%q,"share":1.0,"born_ms":0}`,
		name, dial, health)
}

// NewDiscovery starts one with a first list.
func NewDiscovery(t testing.TB, hosts ...string) *Discovery {
	d := &Discovery{news: make(chan struct{}), Queries: make(chan string, 1000)}
	d.Tell(true, hosts...)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.Queries <- r.URL.RawQuery
		since, _ := strconv.Atoi(r.URL.Query().Get("since"))
		d.mu.Lock()
		for since >= len(d.lists) {
			news := d.news
			d.mu.Unlock()
			select {
			case <-news:
			case <-r.Context().Done():
				return
			}
			d.mu.Lock()
		}
		_, _ = io.WriteString(w, d.lists[since])
		d.mu.Unlock()
	}))
	t.Cleanup(server.CloseClientConnections)
	d.Addr = strings.TrimPrefix(server.URL, "http://")
	return d
}

// Tell adds a version.
func (d *Discovery) Tell(whole bool, hosts ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lists = append(d.lists, List(len(d.lists)+1, whole, hosts...))
	close(d.news)
	d.news = make(chan struct{})
}

// List writes a list in discovery's form.
func List(seq int, whole bool, hosts ...string) string {
	return fmt.Sprintf(`{"seq":%d,"whole":%t,"hosts":[%s]}`, seq, whole, strings.Join(hosts, ","))
}
