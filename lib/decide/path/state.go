package path

import "snipeshift.example/lib/clock"

// state is whether a group of direct paths counts as lost.
type state struct {
	lost bool
	// regained counts direct connects in a row while the paths are lost.
	regained int
	// testAt is when the next direct connect tests whether lost paths are back, testInterval the wait before it.
	testAt, testInterval clock.Milli
}

// lose records that the paths are lost. It returns false if they were before.
func (s *state) lose(now clock.Milli) bool {
	if s.lost {
		return false
	}
	*s = state{lost: true, testAt: now + firstRetry, testInterval: firstRetry}
	return true
}

// connected records a direct connect. It returns true if lost paths count as working again.
func (s *state) connected(now clock.Milli) (regained bool) {
	if !s.lost {
		return false
	}
	if s.regained++; s.regained < regainAfter {
		s.testAt = now
		return false
	}
	s.lost = false
	return true
}

// testDue reports whether a direct connect should test lost paths now, and schedules the next test.
func (s *state) testDue(now clock.Milli) bool {
	if !s.lost || now < s.testAt {
		return false
	}
	s.testAt = now + s.testInterval
	s.testInterval = min(2*s.testInterval, longestRetry)
	return true
}
