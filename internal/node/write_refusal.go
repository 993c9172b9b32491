package node

import (
	"os"
	"syscall"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/raft"
)

// fullDiskLog is a log that refuses writes while the file Options.WriteRefusal exists, by
// which fault drills simulate a full disk. A refused write leaves the disk as it was.
type fullDiskLog struct {
	replicaLog
	path string
}

// Save implements replicaLog.
func (l *fullDiskLog) Save(r *raft.Ready) error {
	if err := l.refusal(); err != nil {
		return err
	}
	return l.replicaLog.Save(r)
}

// Reset implements replicaLog.
func (l *fullDiskLog) Reset(snap raft.Snapshot, st raft.HardState, entries []raft.Entry) error {
	if err := l.refusal(); err != nil {
		return err
	}
	return l.replicaLog.Reset(snap, st, entries)
}

// Create implements replicaLog.
func (l *fullDiskLog) Create(snap raft.Snapshot, st raft.HardState) error {
	if err := l.refusal(); err != nil {
		return err
	}
	return l.replicaLog.Create(snap, st)
}

// refusal returns the error of a full disk while the file exists.
func (l *fullDiskLog) refusal() error {
	if _, err := os.Stat(l.path); err != nil {
		return nil
	}
	return fault.Wrap(fault.DiskRefused, syscall.ENOSPC, "cannot write the log")
}
