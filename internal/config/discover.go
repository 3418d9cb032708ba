package config

import (
	"encoding/binary"
	"net/netip"
)

// maxPort is the highest port.
const maxPort = 1<<16 - 1

// discover derives what the file leaves to discovery: the addresses of the control members with their port, the id of
// this member, and the founders of a new group.
func (c *Config) discover() {
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
	founds := false
	for _, address := range c.ControlMembers {
		a := netip.MustParseAddrPort(address)
		founds = founds || a == own
		c.Control.Peers = append(c.Control.Peers, Peer{ID: MemberID(a), Address: address})
	}
	if !founds {
		c.Control.Join, c.Control.Peers = true, nil
	}
}

// MemberID returns the id of the control member at an address: a number that no other address has.
func MemberID(a netip.AddrPort) uint64 {
	ip := a.Addr().Unmap()
	if !ip.Is4() {
		h := ip.As16()
		return binary.BigEndian.Uint64(h[8:]) ^ binary.BigEndian.Uint64(h[:8])
	}
	b := ip.As4()
	return uint64(binary.BigEndian.Uint32(b[:]))<<16 | uint64(a.Port())
}
