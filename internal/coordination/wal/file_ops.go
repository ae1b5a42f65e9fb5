package wal

import "os"

// FileOps are the operations that can fail on a disk. Tests inject failures and delays with their
// own.
type FileOps interface {
	// Write writes all of b.
	Write(f *os.File, b []byte) error
	// Sync returns once what was written is on disk.
	Sync(f *os.File) error
}

// OSFileOps are the operating system's.
type OSFileOps struct{}

// Write implements FileOps.
func (OSFileOps) Write(f *os.File, b []byte) error {
	_, err := f.Write(b)
	return err
}

// Sync implements FileOps.
func (OSFileOps) Sync(f *os.File) error { return f.Sync() }
