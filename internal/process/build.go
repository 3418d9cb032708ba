//go:build wireinject

package process

import "github.com/google/wire"

// BuildEntry builds the entry role.
func BuildEntry(base *Base) (*Entry, error) {
	panic(wire.Build(NewWatch, NewLinks, NewEntry))
}

// BuildGateway builds the gateway role.
func BuildGateway(base *Base) (*Gateway, error) {
	wire.Build(NewGateway)
	return nil, nil
}

// BuildRelay builds the relay role.
func BuildRelay(base *Base) (*Relay, error) {
	wire.Build(NewRelay)
	return nil, nil
}

// BuildAgent builds the agent role.
func BuildAgent(base *Base) (*Agent, error) {
	panic(wire.Build(NewAgent))
}

// BuildControl builds the control role.
func BuildControl(base *Base) (*Control, error) {
	panic(wire.Build(NewState, NewReplica, NewControl))
}
