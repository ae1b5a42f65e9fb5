package transport

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"syscall"
)

// Network decides where connections may go. They are not encrypted, so they stay on loopback unless
// the network is private.
type Network struct {
	// Private reports that nobody else is on the network: process.private_network of the operators'
	// file.
	Private bool
}

// NotLoopbackError reports that an address is not on loopback while the network is not private.
type NotLoopbackError struct{ Address string }

// Error implements error.
func (e *NotLoopbackError) Error() string {
	return fmt.Sprintf("%s is not a loopback address: links are plain, and go there only where "+
		"process.private_network = true", e.Address)
}

// Listen opens a voter's listener; the context ends only the opening. Errors: a *NotLoopbackError,
// or the system's.
func (n Network) Listen(ctx context.Context, address string) (net.Listener, error) {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if err := n.checkAddress(listener.Addr().String()); err != nil {
		_ = listener.Close() // it is not used; the error that matters is the address's
		return nil, err
	}
	return listener, nil
}

// checkAddress decides whether connections may go to an address, which is resolved already.
func (n Network) checkAddress(address string) error {
	resolved, err := netip.ParseAddrPort(address)
	if err != nil {
		return err
	}
	if !n.Private && !resolved.Addr().Unmap().IsLoopback() {
		return &NotLoopbackError{Address: address}
	}
	return nil
}

// dialer returns a function that dials allowed addresses only. A name is judged by the address that
// it resolves to at each dial.
func (n Network) dialer() func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: func(_, address string, _ syscall.RawConn) error {
		return n.checkAddress(address)
	}}
	return dialer.DialContext
}
