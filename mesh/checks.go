package mesh

import "time"

// Health checks of the own server cost the server and the node, and answers to requests
// carry the same load report. So a check is due only when no report has arrived for
// reportInterval, and for what only checks report every maxCheckInterval.

const (
	// reportInterval is the age of the newest load report at which a health check is due.
	// The slowdown of a server changes several times a second.
	reportInterval = 40 * time.Millisecond
	// maxCheckInterval is the maximum time between two health checks. Only checks report
	// the health and the warm-up time of a server. Its requests in this time have to fit
	// into the rate that a cold server tolerates.
	maxCheckInterval = 120 * time.Millisecond
)

// checkDelay returns the time until the next health check is due, given the times of the
// last check and of the last load report in an answer.
func checkDelay(now, checkedAt, reportedAt time.Time) time.Duration {
	due := checkedAt.Add(reportInterval)
	if d := reportedAt.Add(reportInterval); d.After(due) {
		due = d
	}
	if latest := checkedAt.Add(maxCheckInterval); due.After(latest) {
		due = latest
	}
	return due.Sub(now)
}
