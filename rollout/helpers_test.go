package rollout

import "github.com/goldcrestspan/goldcrestspan/bundle"

func mustCaller(c *bundle.Config) *bundle.Caller {
	caller, ok := c.Caller("screens")
	if !ok {
		panic("the test's caller is missing")
	}
	return caller
}
