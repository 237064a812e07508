// Package publisher serves the small HTTP interfaces of a host, each on an
// address of its own.
//
// # Usage
//
//	p := &publisher.Publisher{Log: log}
//	p.Serve(ctx, "10.0.0.1:9464", publisher.Metrics(m)) // until ctx ends
package publisher

import (
	"context"
	"net"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/endiverun/endiverun/entry/logger"
	"github.com/endiverun/endiverun/entry/meter"
)

const (
	// readBuffer holds the header of a call.
	readBuffer = 4 << 10
	// idleTimeout is how long a connection without calls is kept.
	idleTimeout = 30 * time.Second
)

// Publisher serves interfaces.
type Publisher struct {
	Log *logger.Logger
}

// Serve serves the routes on an IP address and port until ctx ends.
func (p *Publisher) Serve(ctx context.Context, address string, routes func(*fiber.App)) {
	listener, err := Listen(address)
	if err != nil {
		p.Log.Event(logger.ListenFailed).Str("address", address).Err(err).Send()
		return
	}
	app := fiber.New(fiber.Config{
		ReadBufferSize:          readBuffer,
		IdleTimeout:             idleTimeout,
		DisableHeadAutoRegister: true,
	})
	routes(app)
	context.AfterFunc(ctx, func() { _ = app.Shutdown() })
	err = app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true})
	if err != nil && ctx.Err() == nil {
		p.Log.Event(logger.ListenFailed).Str("address", address).Err(err).Send()
	}
}

// Listen opens the socket of an IP address and port.
func Listen(address string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(context.Background(), "tcp4", address)
}

// Metrics returns the routes of a registry: text for collectors, and JSON in the
// manner of expvar.
func Metrics(m *meter.Meter) func(*fiber.App) {
	return func(app *fiber.App) {
		app.Get("/metrics", func(c fiber.Ctx) error {
			c.Set(fiber.HeaderContentType, fiber.MIMETextPlainCharsetUTF8)
			return m.WriteText(c)
		})
		app.Get("/debug/vars", func(c fiber.Ctx) error {
			c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
			return c.SendString(m.String())
		})
	}
}
