package node

import (
	"sync/atomic"
	"time"
)

// doubtCause is why the settings of a node may be outdated.
type doubtCause uint8

const (
	// noDoubt means that the settings are the current ones as far as the node can know.
	noDoubt doubtCause = iota
	// noSettings means that the node has no settings yet.
	noSettings
	// newerVersionHeard means that a newer version exists.
	newerVersionHeard
	// recentlyPaused means that the process did not run until shortly before.
	recentlyPaused
	// noContact means that no other node was heard within contactTimeout.
	noContact
	// domainCutOff means that no link member reaches another failure domain.
	domainCutOff
	// domainNotReported means that none of the current link members has yet said whether it
	// reaches another failure domain.
	domainNotReported
	// unconfirmed means that no quorum has confirmed the settings for Options.KeyTrust. It
	// concerns requests that need a key.
	unconfirmed
)

// settingsDoubt is why the settings of a node may be outdated, with what it depends on.
type settingsDoubt struct {
	cause doubtCause
	// heard is the newer version.
	heard uint64
	// silence is the time since the last contact or confirmation.
	silence time.Duration
	// domain is the domain that is cut off or not reported on.
	domain string
}

// String returns the reason for operators.
func (d settingsDoubt) String() string {
	switch d.cause {
	case noSettings:
		return "no settings were received yet"
	case newerVersionHeard:
		return "version " + formatUint(d.heard) + " exists"
	case recentlyPaused:
		return "the process was paused"
	case noContact:
		return "no other node was heard for " + d.silence.Round(100*time.Millisecond).String()
	case domainCutOff:
		return "failure domain " + d.domain + " is cut off"
	case domainNotReported:
		return "no link member has reported on failure domain " + d.domain
	case unconfirmed:
		return "no quorum of replicas has confirmed them in time"
	}
	return ""
}

// settingsDoubtHysteresis is how long the settings must count as possibly outdated, and as
// current afterwards, before that is logged: a lost packet is no news for operators.
const settingsDoubtHysteresis = time.Second

// doubtReport is what a node has to log of its doubt.
type doubtReport uint8

const (
	// doubtUnchanged means that nothing is to be logged.
	doubtUnchanged doubtReport = iota
	// doubtBegan means that the settings have been in doubt for settingsDoubtHysteresis.
	doubtBegan
	// doubtEnded means that they have been current again for that time.
	doubtEnded
)

// doubtWatch tracks how long the settings may have been outdated. Times are on the node's
// clock.
type doubtWatch struct {
	// doubted is set in a period of doubt, which began at since. calm is set while the
	// settings have been current since calmSince, but not for long enough to end it.
	doubted, calm    bool
	since, calmSince time.Duration
	// logged is set once the period has been reported.
	logged bool
}

// observe records whether the settings are in doubt. It returns what to log and how long the
// doubt has lasted; the time is 0 while there is none.
func (w *doubtWatch) observe(now time.Duration, inDoubt bool) (r doubtReport, lasted time.Duration) {
	switch {
	case inDoubt && !w.doubted:
		*w = doubtWatch{doubted: true, since: now}
		return doubtUnchanged, 0
	case inDoubt:
		w.calm = false
		lasted = now - w.since
		if w.logged || lasted < settingsDoubtHysteresis {
			return doubtUnchanged, lasted
		}
		w.logged = true
		return doubtBegan, lasted
	case !w.logged:
		*w = doubtWatch{}
	case !w.calm:
		w.calm, w.calmSince = true, now
	case now-w.calmSince >= settingsDoubtHysteresis:
		lasted = w.calmSince - w.since
		*w = doubtWatch{}
		return doubtEnded, lasted
	}
	return doubtUnchanged, 0
}

// doubtTracker tracks for how long the settings in force may have been outdated. The
// maintenance task owns watch and unconfirmed.
type doubtTracker struct {
	watch doubtWatch
	// unconfirmed tracks for how long no quorum has confirmed them.
	unconfirmed doubtWatch
	// since is when the doubt began, on the node's clock, 0 while there is none.
	since atomic.Int64
}

// currentDoubt returns why the settings in force may be outdated, for any request.
func (n *Node) currentDoubt(conf *config) settingsDoubt {
	doubt := n.settingsDoubt(conf)
	if doubt.cause == noDoubt && !n.quotas.keysTrusted(n.clock()) {
		doubt.cause = unconfirmed
	}
	return doubt
}

// trackSettingsDoubt follows whether the settings in force may be outdated, and logs when
// that begins and ends.
func (n *Node) trackSettingsDoubt(now time.Duration) {
	conf := n.conf.Load()
	doubt := n.currentDoubt(conf)
	report, lasted := n.doubts.watch.observe(now, doubt.cause != noDoubt)
	since := time.Duration(0)
	if doubt.cause != noDoubt {
		since = n.doubts.watch.since
	}
	n.doubts.since.Store(int64(since))
	switch report {
	case doubtBegan:
		n.warnEvent("config", "Serving by settings that may be outdated: "+doubt.String()+".", "version", conf.version, "since_ms", lasted.Milliseconds())
	case doubtEnded:
		n.logEvent("config", "The settings in force are current again after "+lasted.Round(time.Millisecond).String()+".")
	}
}

// settingsDoubtStatus returns for how long the settings in force may have been outdated and
// why, 0 and "" if they are current. The reason is the present one, and a doubt that the
// maintenance task has not seen yet counts as a millisecond.
func (n *Node) settingsDoubtStatus() (lasted time.Duration, reason string) {
	doubt := n.currentDoubt(n.conf.Load())
	if doubt.cause == noDoubt {
		return 0, ""
	}
	if since := time.Duration(n.doubts.since.Load()); since > 0 {
		lasted = n.clock() - since
	}
	return max(lasted, time.Millisecond), doubt.String()
}

// confirmationAge returns how long ago a quorum of replicas confirmed that the version in
// force, or an older one, was the newest; ok is false if that was never the case.
func (n *Node) confirmationAge() (age time.Duration, ok bool) {
	at := max(time.Duration(n.quotas.confirmedAt.Load()), n.versions.confirmation())
	return n.clock() - at, at > 0
}
