package controller

import (
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/endiverun/endiverun/entry/heartbeater"
	"github.com/endiverun/endiverun/entry/timekeeper"
)

// PeerRoutes adds the endpoints for other hosts to an application.
func (c *Controller) PeerRoutes(app *fiber.App) {
	app.Get(heartbeater.SnapshotPath, c.handleSnapshot)
	app.Get(heartbeater.ConfirmationPath, c.handleConfirmation)
}

// handleSnapshot serves this host's copy of the store.
func (c *Controller) handleSnapshot(ctx fiber.Ctx) error {
	held := heartbeater.DecodeRevisions(func(name string) string { return ctx.Query(name) })
	data, err := c.Snapshot(held, time.Now())
	if err != nil {
		return err
	}
	return ctx.Send(data)
}

// handleConfirmation tells as of when this host knows which policy is the newest.
func (c *Controller) handleConfirmation(ctx fiber.Ctx) error {
	data, err := c.Confirmation(timekeeper.Uptime()).Encode()
	if err != nil {
		return err
	}
	return ctx.Send(data)
}
