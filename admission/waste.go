package admission

import (
	"time"

	"github.com/umberthread/umberthread/rank"
)

const (
	// wasteEvery is the least time between two moves of a waste level, and
	// wasteResults how many requests must have ended since the last.
	wasteEvery   = 200 * time.Millisecond
	wasteResults = 12
	// wasteWait is after how long fewer results are enough.
	wasteWait = time.Second
	// wasteAim is the share of requests let in that may be lost below: less
	// cannot be told from chance in a few windows.
	wasteAim = 0.08
	// wasteGain is the share of the demand cut for each share lost beyond it.
	wasteGain = 0.5
	// wasteOpen bounds the growth of what is let in, at each move.
	wasteOpen = 0.05
	// wasteKeep is the share of the old loss that a move keeps.
	wasteKeep = 0.5
)

// wasteLevel holds off requests of one kind that enter here and are lost
// further down for want of time or room.
//
// The load that it answers: a request makes eight calls in a row to a full
// service. Each call waits no longer than that service's guard allows, but the
// request has no time left after the sixth: what was done for it is lost, and
// taken from others. The deep guard sees calls, not requests; here it is seen
// which requests ended well.
type wasteLevel struct {
	level rank.Level
	next  time.Duration
	ended int
	lost  int
	share float64
	hist  [rank.Count]float32
}

func (l *wasteLevel) arrive(r rank.Rank) { l.hist[r%rank.Count]++ }

// end takes in how a request that was let in ended.
func (l *wasteLevel) end(now time.Duration, r rank.Rank, lost bool) {
	l.ended++
	if lost {
		l.lost++
	}
	due := now >= l.next && l.ended >= wasteResults || now >= l.next+wasteWait
	if !due {
		return
	}
	f := float64(l.lost) / float64(l.ended)
	l.share = l.share*wasteKeep + f*(1-wasteKeep)
	l.move(r)
	l.ended, l.lost = 0, 0
	l.next = now + wasteEvery
	for i := range l.hist {
		l.hist[i] *= keep
	}
}

// move raises or lowers the level within the class of the requests, never so
// far that none is let in: then nothing would tell when it may fall.
func (l *wasteLevel) move(r rank.Rank) {
	bottom := int(rank.Make(r.Class(), 0))
	top := bottom + rank.Cohorts - hopeRanks
	at := max(int(l.level), bottom)
	above := 0.0
	for i := at; i < bottom+rank.Cohorts; i++ {
		above += float64(l.hist[i])
	}
	change := min(wasteOpen, wasteGain*(wasteAim-l.share))
	if change < 0 {
		for cut := -change * above; cut > 0 && at < top; at++ {
			cut -= float64(l.hist[at])
		}
	} else {
		// Below the level the demand is not seen: as much for each rank as above.
		ranks := float64(bottom + rank.Cohorts - at)
		at = max(bottom, at-1-int(change*ranks))
	}
	l.level = rank.Level(at)
	if at == bottom {
		l.level = 0
	}
}

// hopeRanks is how many ranks of a class are always let in.
const hopeRanks = rank.Cohorts / 8
