package config

import (
	"encoding/binary"
	"net/netip"
)

const maxPort = 1<<16 - 1

// applyDiscovery applies control_port to the addresses of the control members and, with control.discover, derives the id
// of this member and the initial members of a new group. A member that is not among control_members can only join.
func (c *Config) applyDiscovery() {
	if c.ControlPort != 0 {
		for i, address := range c.ControlMembers {
			c.ControlMembers[i] = netip.AddrPortFrom(netip.MustParseAddrPort(address).Addr(), uint16(c.ControlPort)).String()
		}
	}
	if c.Control == nil || !c.Control.Discover {
		return
	}
	own := netip.MustParseAddrPort(c.Control.Listen)
	c.Control.Member = MemberID(own)
	if c.Control.Join {
		return
	}
	isInitialMember := false
	for _, address := range c.ControlMembers {
		a := netip.MustParseAddrPort(address)
		isInitialMember = isInitialMember || a == own
		c.Control.Peers = append(c.Control.Peers, Peer{ID: MemberID(a), Address: address})
	}
	if !isInitialMember {
		c.Control.Join, c.Control.Peers = true, nil
	}
}

// MemberID returns the id of the control member at an address. It is unique for IPv4 addresses. For IPv6 it is the XOR of
// the halves of the address and ignores the port.
func MemberID(a netip.AddrPort) uint64 {
	ip := a.Addr().Unmap()
	if !ip.Is4() {
		h := ip.As16()
		return binary.BigEndian.Uint64(h[8:]) ^ binary.BigEndian.Uint64(h[:8])
	}
	b := ip.As4()
	return uint64(binary.BigEndian.Uint32(b[:]))<<16 | uint64(a.Port())
}
