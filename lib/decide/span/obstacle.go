package span

import (
	"slices"

	"snipeshift.example/lib/clock"
)

// Obstacle is the reason why a request is not placed on an upstream.
type Obstacle string

// The obstacles. none is that of an upstream on which the request can be placed.
const (
	none Obstacle = ""
	// ObstacleFull is an upstream without a free slot, or without room for the prefill within the aim and the tolerated pauses.
	ObstacleFull Obstacle = "full"
	// ObstacleMemory is an upstream without free KV memory for the prompt and its answer.
	ObstacleMemory Obstacle = "memory"
	// ObstacleCold is an upstream that warms up and gets only what others have no room for.
	ObstacleCold Obstacle = "cold"
	// ObstacleExcluded is an upstream on which requests failed, or that declined to be a helper.
	ObstacleExcluded Obstacle = "excluded"
	// ObstacleLeaving is an upstream that is being drained.
	ObstacleLeaving Obstacle = "leaving"
	// ObstacleBackOff is an upstream that asked for a back-off, or one where a probe request is running after its end.
	ObstacleBackOff Obstacle = "back-off"
	// ObstacleLimit is an upstream whose declared rate limit is used up.
	ObstacleLimit Obstacle = "limit"
	// ObstacleUnverified is an engine whose load is not known until its next report.
	ObstacleUnverified Obstacle = "unverified"
	// ObstacleAvoided is an upstream that is slow, that the request has failed on, or that runs a request which may crash it as this
	// one may.
	ObstacleAvoided Obstacle = "avoided"
)

// obstacle returns why no new request may be placed on the upstream, whatever its free capacity.
func (r *upstreamState) obstacle(now clock.Milli, a *Ask) Obstacle {
	return r.obstacleIf(now, a, r.unverified && r.engine != nil)
}

// obstacleIf is obstacle with the decision of the caller whether an unverified load excludes the upstream.
func (r *upstreamState) obstacleIf(now clock.Milli, a *Ask, unverified bool) Obstacle {
	switch {
	case r.draining():
		return ObstacleLeaving
	case !r.health.available(now):
		return ObstacleExcluded
	case unverified:
		return ObstacleUnverified
	case !r.declared.limit.Allows(now):
		return ObstacleLimit
	case !r.warmUp.allows(now):
		return ObstacleCold
	case now < r.declared.backOffUntil(a.Gate) || r.probing():
		return ObstacleBackOff
	case slices.Contains(a.Avoid, r.ID) || a.Suspect && r.suspects > 0:
		return ObstacleAvoided
	}
	return none
}

// plainObstacle returns why a request of a plain service can't be placed on the upstream.
func (r *upstreamState) plainObstacle(now clock.Milli, a *Ask) Obstacle {
	if o := r.obstacle(now, a); o != none {
		return o
	}
	if len(r.grants)+r.external >= max(r.Slots, 1) {
		return ObstacleFull
	}
	return none
}

// plainLoad returns the number of requests and that of slots.
func (r *upstreamState) plainLoad() (requests, slots int) {
	return len(r.grants) + r.external, max(r.Slots, 1)
}

// prefillObstacle returns why the upstream can't compute a part of a long prefill by itself, without other work beside it.
func (r *upstreamState) prefillObstacle(now clock.Milli, a *Ask, avoidSlow bool) Obstacle {
	if o := r.obstacle(now, a); o != none {
		return o
	}
	switch {
	case now < r.health.helpsFrom:
		return ObstacleExcluded
	case r.prefills > 0 || r.hasShortStreams():
		return ObstacleFull
	case avoidSlow:
		return r.avoidance(now)
	}
	return none
}

// avoidance returns why the upstream gets only what others have no room for.
func (r *upstreamState) avoidance(now clock.Milli) Obstacle {
	switch {
	case r.warmUp.cold(now):
		return ObstacleCold
	case r.slow():
		return ObstacleAvoided
	}
	return none
}
