package invariants

import (
	"fmt"
	"time"
)

// bucket is what a customer truly has left of its quota and its ceiling, in units.
type bucket struct {
	tokens, ceilingTokens float64
	refilledAt            time.Duration
}

// spend takes the units of a request that is forwarded from its customer's quota and ceiling.
func (c *Checker) spend(request *requestState) {
	plan := &c.limits.Plans[request.Plan]
	b := c.buckets[request.Customer]
	if b == nil {
		b = &bucket{tokens: plan.Burst, ceilingTokens: plan.CeilingBurst, refilledAt: c.now}
		c.buckets[request.Customer] = b
	}
	elapsed := (c.now - b.refilledAt).Seconds()
	b.refilledAt = c.now
	b.tokens = min(b.tokens+plan.Rate*elapsed, plan.Burst)
	b.ceilingTokens = min(b.ceilingTokens+plan.CeilingRate*elapsed, plan.CeilingBurst)
	c.ForwardedUnits += request.Units
	request.withinQuota = plan.Rate <= 0 || b.tokens >= request.Units
	if !request.withinQuota {
		c.OverQuotaUnits += request.Units
		c.OverQuotaPenalty += request.Class.Weight * plan.Price * request.Units * plan.OverQuotaCost
	} else if plan.Rate > 0 {
		b.tokens -= request.Units
	}
	if plan.CeilingRate > 0 {
		b.ceilingTokens -= request.Units
		if b.ceilingTokens < -plan.CeilingSlack {
			c.violated(Violation{
				Rule:     CeilingExceeded,
				Request:  request.ID,
				Gateway:  request.Gateway,
				Customer: request.Customer,
				Description: fmt.Sprintf(
					"%.1f units beyond the ceiling, %.1f are allowed",
					-b.ceilingTokens,
					plan.CeilingSlack,
				),
			})
		}
	}
}

// UnitsSettled gives back to a customer's quota what a request declared in excess of its true
// units.
func (c *Checker) UnitsSettled(id uint64, units float64) {
	if r := c.requests[id]; r != nil && r.withinQuota {
		if b := c.buckets[r.Customer]; b != nil {
			b.tokens += r.Units - units
		}
	}
}

// IsWithinQuota reports whether the customer had a request's units when it was first forwarded.
func (c *Checker) IsWithinQuota(id uint64) bool {
	r := c.requests[id]
	return r != nil && r.withinQuota
}
