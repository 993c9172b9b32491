package node

import (
	"os"
	"time"
)

// syncHoldPollInterval is the interval at which a held sync checks for the SyncHold file.
const syncHoldPollInterval = 5 * time.Millisecond

// awaitSyncRelease blocks while the file Options.SyncHold exists, by which fault drills
// simulate a stalled disk, or until the node stops.
func (n *Node) awaitSyncRelease() {
	for {
		if _, err := os.Stat(n.opt.SyncHold); err != nil {
			return
		}
		select {
		case <-n.stop:
			return
		case <-time.After(syncHoldPollInterval):
		}
	}
}
