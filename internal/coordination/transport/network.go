package transport

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"syscall"
)

// Network says where links may go: they are plain, so they stay on loopback unless the network is said to be private.
type Network struct {
	// Private is the operators' word that nobody else is on the network: process.private_network of their file.
	Private bool
}

// Listen opens a voter's listener. An address other than loopback is refused unless the network is private.
func (n Network) Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	if err := n.checkAddress(listener.Addr().String()); err != nil {
		_ = listener.Close()
		return nil, err
	}
	return listener, nil
}

// checkAddress gives an error for an address, already looked up, that links may not go to.
func (n Network) checkAddress(address string) error {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return err
	}
	if !n.Private && !at.Addr().Unmap().IsLoopback() {
		return fmt.Errorf("%s is not a loopback address: links are plain, and go there only where "+
			"process.private_network = true", address)
	}
	return nil
}

// dialer dials what it may. A name is judged by what it stands for at each dial.
func (n Network) dialer() func(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, Control: func(_, address string, _ syscall.RawConn) error {
		return n.checkAddress(address)
	}}
	return d.DialContext
}
