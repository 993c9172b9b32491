// Package seek finds the leader of a replica group for a command or a read. Given the
// outcomes of earlier requests, it decides which replica to send the next one to.
//
// A replica without power neither answers nor refuses connections. Waiting for such
// replicas in turn would delay the request long after a new leader is elected, so an
// unanswered request is hedged: another replica is asked as well. The package does no I/O
// and reads no clock.
package seek
