package railfetchorder

import "time"

const (
	// distributionTime is the time from the origin's last chunk until every agent has received it from its peers.
	distributionTime = 600 * time.Millisecond
	// loadTime is the time from then until an engine serves the weights, including the load order and the verification.
	loadTime = 500 * time.Millisecond
	// alwaysFinishBelow is the remaining fetch time up to which an older version is always finished first: the engines can switch
	// to it if the newer one is late.
	alwaysFinishBelow = 300 * time.Millisecond
	// minGain is the minimum reduction of the serving gap for which the newer version waits.
	minGain = 200 * time.Millisecond
)

// Version is a wanted version of weights.
type Version struct {
	Number int64
	// DueIn is the time until no response may start on older weights; it is negative after that.
	DueIn time.Duration
}

// Candidate is an incomplete version of weights.
type Candidate struct {
	// FetchTime is the time to transfer the missing chunks at the link's rate.
	FetchTime time.Duration
	// DueIn is the time until no response may start on older weights; it is negative after that.
	DueIn time.Duration
}

// Before reports whether this version should be fetched before a newer one. That is so if little of it is missing, or if it reduces
// the time in which the engines have nothing to serve because the newer version can't be loaded by the time this one is due. It is
// never so if this version would be ready only after the newer one is due.
func (c Candidate) Before(newer Candidate) bool {
	readyIn := c.FetchTime + distributionTime + loadTime
	if readyIn >= newer.DueIn {
		return false
	}
	if c.FetchTime <= alwaysFinishBelow {
		return true
	}
	newerOnlyGap := gap(newer.FetchTime+distributionTime+loadTime, c.DueIn)
	olderFirstGap := gap(readyIn, c.DueIn) + gap(readyIn+newer.FetchTime+distributionTime, newer.DueIn)
	return olderFirstGap+minGain < newerOnlyGap
}

// gap returns the time without weights to serve if new weights are ready in readyIn and the older ones may serve for dueIn.
func gap(readyIn, dueIn time.Duration) time.Duration {
	return max(readyIn-max(dueIn, 0), 0)
}
