package controller

import (
	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/entry/logger"
	"github.com/endiverun/endiverun/entry/meter"
)

// Causes of meter.MalformedResponses: who sent them.
const (
	malformedUpstream = "upstream"
	malformedHost     = "host"
)

// recordMalformed counts and logs bytes of an upstream that are no valid response.
func (c *Controller) recordMalformed(upstream core.Upstream, err error) {
	c.Meter.Count(meter.MalformedResponses, meter.Labels{
		Service: string(upstream.Service), Zone: string(upstream.Zone), Cause: malformedUpstream,
	})
	c.Log.Event(logger.UpstreamAnswerRejected).
		Str("upstream", string(upstream.Name)).Str("service", string(upstream.Service)).Err(err).Send()
}

// recordMalformedHost counts bytes of another host that are no valid response. The call that
// got them logs them.
func (c *Controller) recordMalformedHost(string, error) {
	c.Meter.Count(meter.MalformedResponses, meter.Labels{Cause: malformedHost})
}

// recordUnreadableLoad logs that the load that an upstream stated cannot be read. The host then
// goes by the requests that it sent there itself.
func (c *Controller) recordUnreadableLoad(upstream core.Upstream, finding string) {
	c.Log.Event(logger.UpstreamLoadUnreadable).
		Str("upstream", string(upstream.Name)).Str("service", string(upstream.Service)).Str("finding", finding).Send()
}
