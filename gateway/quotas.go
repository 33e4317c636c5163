package gateway

import "github.com/goldcrestspan/goldcrestspan/customer"

// quotaPermit is the permission of one request under its customer's limit.
type quotaPermit struct{}

// takeQuota counts a request against its customer's limit, or refuses it.
func (g *Gateway) takeQuota(who *customer.Customer) (quotaPermit, *Answer) {
	return quotaPermit{}, nil
}

// settleQuota gives back what was taken for a request that has not run.
func (g *Gateway) settleQuota(permit quotaPermit, answer *Answer) {}
