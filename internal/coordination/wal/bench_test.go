package wal

import (
	"encoding/binary"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"go.etcd.io/bbolt"
)

// reportLatency reports the median and the 99th of 100 of what each call took.
func reportLatency(b *testing.B, do func(i int) error) {
	took := make([]time.Duration, 0, b.N)
	b.ResetTimer()
	for i := range b.N {
		began := time.Now()
		if err := do(i); err != nil {
			b.Fatal(err)
		}
		took = append(took, time.Since(began))
	}
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
}

var benchmarkRecord = make([]byte, 300) // about one decision with what raft says beside it

// One write and sync of a block at the end of a file: what no log can be faster than.
func BenchmarkFile_sync(b *testing.B) {
	f, err := os.OpenFile(filepath.Join(b.TempDir(), "f"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	one := make([]byte, blockSize)
	reportLatency(b, func(int) error {
		if _, err := f.Write(one); err != nil {
			return err
		}
		return f.Sync()
	})
}

func BenchmarkLog_Append(b *testing.B) {
	l, err := Open(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	reportLatency(b, func(int) error { return l.Append(benchmarkRecord) })
}

func BenchmarkBbolt_put(b *testing.B) {
	db, err := bbolt.Open(filepath.Join(b.TempDir(), "db"), 0o600, nil)
	if err != nil {
		b.Fatal(err)
	}
	defer db.Close()
	reportLatency(b, func(i int) error {
		return db.Update(func(tx *bbolt.Tx) error {
			k, err := tx.CreateBucketIfNotExists([]byte("log"))
			if err != nil {
				return err
			}
			return k.Put(binary.BigEndian.AppendUint64(nil, uint64(i)), benchmarkRecord)
		})
	})
}
