package commander

import (
	"github.com/cranberryward/cranberryward/cranberryward/administrator"
)

const (
	addressVariable = "CRANBERRYWARD_ADMIN"
	tokenVariable   = "CRANBERRYWARD_TOKEN"
)

// Factory creates the dependencies of commands on demand, after the flags are parsed.
type Factory struct {
	streams   Streams
	lookupEnv func(string) (string, bool)
	address   string
	token     string
}

// NewFactory returns a factory that uses the given streams and looks up environment variables with lookupEnv.
func NewFactory(streams Streams, lookupEnv func(string) (string, bool)) *Factory {
	return &Factory{
		streams:   streams,
		lookupEnv: lookupEnv,
	}
}

// Streams returns the input and output streams.
func (factory *Factory) Streams() Streams { return factory.streams }

// Variable returns the value of an environment variable, or an empty text if it is not set.
func (factory *Factory) Variable(name string) string {
	value, _ := factory.lookupEnv(name)
	return value
}

// AdminClient returns a client for the administration interface of the entry given by flags or environment variables.
func (factory *Factory) AdminClient() (*administrator.Client, error) {
	address, token := factory.address, factory.token
	if address == "" {
		address, _ = factory.lookupEnv(addressVariable)
	}
	if token == "" {
		token, _ = factory.lookupEnv(tokenVariable)
	}
	if address == "" {
		return nil, NewExitError(ExitUsage, "no entry address: pass --address IP:port or set "+addressVariable)
	}
	return administrator.New(address, token), nil
}
