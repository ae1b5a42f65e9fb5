package resp

import (
	"unsafe"

	"golang.org/x/sys/unix"
)

// hiddenCloseDivisor defines when a receive buffer may hide a close: when unread bytes take more than
// 1/hiddenCloseDivisor of it. The window that the system offers is full no earlier than at half.
const hiddenCloseDivisor = 4

// socketMemory is what the socket option SO_MEMINFO returns (linux/sock_diag.h). Unread bytes count with
// the system's overhead for them.
type socketMemory struct {
	received      uint32 // bytes of memory that unread bytes take
	receiveBuffer uint32 // size of the receive buffer in bytes
	_             [unix.SK_MEMINFO_VARS - 2]uint32
}

// mayHideClose reports whether so many bytes are unread that the receive window may be full. The
// peer's system cannot send a close then.
func mayHideClose(fd int) bool {
	memory, err := getSocketMemory(fd)
	return err == nil && memory.received > memory.receiveBuffer/hiddenCloseDivisor
}

func getSocketMemory(fd int) (memory socketMemory, err error) {
	size := uint32(unsafe.Sizeof(memory))
	_, _, errno := unix.Syscall6(unix.SYS_GETSOCKOPT, uintptr(fd), unix.SOL_SOCKET, unix.SO_MEMINFO,
		uintptr(unsafe.Pointer(&memory)), uintptr(unsafe.Pointer(&size)), 0)
	if errno != 0 {
		return memory, errno
	}
	return memory, nil
}
