package link

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"syscall"
)

// Plain says where links may go: they are plain, so they stay on loopback unless the network is said to be private.
type Plain struct {
	// Private is the operators' word that nobody else is on the network: process.private_network of their file.
	Private bool
}

// Listen opens a voter's listener. An address other than loopback is refused unless the network is private.
func (p Plain) Listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	if err := p.refuse(l.Addr().String()); err != nil {
		_ = l.Close()
		return nil, err
	}
	return l, nil
}

// refuse gives an error for an address, already looked up, that links may not go to.
func (p Plain) refuse(address string) error {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return err
	}
	if !p.Private && !at.Addr().Unmap().IsLoopback() {
		return fmt.Errorf("%s is not a loopback address: links are plain, and go there only where "+
			"process.private_network = true", address)
	}
	return nil
}

// dialer dials what it may. A name is judged by what it stands for at each dial.
func (p Plain) dialer() func(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialWithin, Control: func(_, address string, _ syscall.RawConn) error {
		return p.refuse(address)
	}}
	return d.DialContext
}
