package node

import (
	"os"
	"time"
)

// heldLook is how often a sync that is held looks whether it may go on.
const syncHoldPollInterval = 5 * time.Millisecond

// awaitHeldDisk returns once no drill holds the syncs of this node's disk.
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
