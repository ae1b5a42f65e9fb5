package conformance

import (
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// Fields of a line of /proc/PID/net/tcp and the like.
const (
	localAddressField  = 1
	remoteAddressField = 2
	inodeField         = 9
)

// recordConnections records whom the process is connected to, once each and sorted by name, from
// the kernel's tables. Clients are left out: they are connected to the process's own address.
func (p *processTarget) recordConnections() {
	p.t.Helper()
	sockets := p.socketInodes()
	if len(sockets) == 0 {
		p.t.Fatal("the process has no sockets")
	}
	names := p.peerNames()
	var events []string
	for _, table := range []string{"tcp", "tcp6", "udp", "udp6"} {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/%s", p.pid, table))
		if errors.Is(err, fs.ErrNotExist) {
			continue // a kernel without IPv6
		}
		if err != nil {
			p.t.Fatal(err)
		}
		for _, line := range strings.Split(string(text), "\n")[1:] {
			fields := strings.Fields(line)
			if len(fields) <= inodeField || !sockets[fields[inodeField]] ||
				parseAddress(fields[localAddressField]) == p.addr {
				continue
			}
			remote := parseAddress(fields[remoteAddressField])
			name, known := names[remote]
			if !known {
				name = "elsewhere " + table + " " + remote
			}
			events = append(events, "connection "+name)
		}
	}
	slices.Sort(events)
	for _, event := range slices.Compact(events) {
		p.events.add(event)
	}
}

// socketInodes returns the inode numbers of the process's sockets.
func (p *processTarget) socketInodes() map[string]bool {
	p.t.Helper()
	links, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", p.pid))
	if err != nil {
		p.t.Fatal(err)
	}
	inodes := map[string]bool{}
	for _, link := range links {
		to, err := os.Readlink(link)
		if err != nil {
			continue // closed meanwhile
		}
		if strings.HasPrefix(to, "socket:[") {
			inodes[strings.Trim(to, "socket:[]")] = true
		}
	}
	return inodes
}

// peerNames returns the names of those that the process may be connected to, by address.
func (p *processTarget) peerNames() map[string]string {
	names := map[string]string{p.counter.Addr: "counter", p.discovery.Addr: "discovery"}
	for _, server := range p.servers {
		names[server.Addr] = "server"
	}
	for _, addr := range p.peers {
		names[addr] = "peer"
	}
	return names
}

// parseAddress reads an address of the kernel's tables, like 0100007F:1F90. What it cannot read it
// returns unchanged.
func parseAddress(text string) string {
	var a, b, c, d byte
	var port int
	n, err := fmt.Sscanf(text, "%02X%02X%02X%02X:%04X", &d, &c, &b, &a, &port)
	if err != nil || n != 5 || len(text) != len("0100007F:1F90") {
		return text
	}
	return fmt.Sprintf("%s:%d", net.IPv4(a, b, c, d), port)
}
