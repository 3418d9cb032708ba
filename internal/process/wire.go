package process

import "github.com/google/wire"

// EntrySet provides the entry role.
var EntrySet = wire.NewSet(NewBase, NewWatch, NewLinks, NewEntry)

// AgentSet provides the agent role.
var AgentSet = wire.NewSet(NewBase, NewAgent)

// ControlSet provides the control role.
var ControlSet = wire.NewSet(NewBase, NewState, NewReplica, NewControl)
