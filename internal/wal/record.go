package wal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/juju/errors"
)

// A file is a sequence of records. Each record is synced before the next one is written, so a crash can damage only the last:
//
//	magic 4 bytes | length of the payload 4 bytes | CRC32C of length and payload 4 bytes | payload
const (
	headerSize = 12
	maxPayload = 1 << 30
)

var (
	recordMagic = []byte{0xB3, 'g', 'v', 0x1A}
	castagnoli  = crc32.MakeTable(crc32.Castagnoli)
)

// ErrDamaged means that a file has contents that a crash cannot have left.
const ErrDamaged = errors.ConstError("damaged record")

// appendRecord appends the record of payload to buf.
func appendRecord(buf, payload []byte) []byte {
	var head [headerSize]byte
	copy(head[:4], recordMagic)
	binary.LittleEndian.PutUint32(head[4:8], uint32(len(payload)))
	binary.LittleEndian.PutUint32(head[8:12], checksum(head[4:8], payload))
	buf = append(buf, head[:]...)
	return append(buf, payload...)
}

func checksum(length, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, payload)
}

// parseRecord returns the payload of the record at the start of data, or false if there is no complete, valid record.
func parseRecord(data []byte) ([]byte, bool) {
	if len(data) < headerSize || !bytes.Equal(data[:4], recordMagic) {
		return nil, false
	}
	length := binary.LittleEndian.Uint32(data[4:8])
	if length > maxPayload || uint64(length) > uint64(len(data)-headerSize) {
		return nil, false
	}
	payload := data[headerSize : headerSize+int(length)]
	if checksum(data[4:8], payload) != binary.LittleEndian.Uint32(data[8:12]) {
		return nil, false
	}
	return payload, true
}

// parseRecords returns the payloads of the records in data and the total length of these records, with their headers. A torn
// record at the end is ignored; anything else that is not a valid record is reported as ErrDamaged.
func parseRecords(data []byte) (payloads [][]byte, valid int, err error) {
	for valid < len(data) {
		payload, ok := parseRecord(data[valid:])
		if !ok {
			if isTorn(data[valid:]) {
				return payloads, valid, nil
			}
			return nil, valid, errors.Annotatef(ErrDamaged, "at offset %d of %d", valid, len(data))
		}
		payloads = append(payloads, payload)
		valid += headerSize + len(payload)
	}
	return payloads, valid, nil
}

// isTorn reports whether rest can be an incompletely written record: the start of a record, possibly followed by zeros
// that the file system left in place of unwritten data, without a valid record after it.
func isTorn(rest []byte) bool {
	written := bytes.TrimRight(rest, "\x00")
	if hasRecord(rest) {
		return false
	}
	head := min(len(written), len(recordMagic))
	if !bytes.Equal(written[:head], recordMagic[:head]) {
		return false
	}
	if len(rest) < headerSize {
		return true
	}
	length := uint64(binary.LittleEndian.Uint32(rest[4:8]))
	isShort := length <= maxPayload && headerSize+length > uint64(len(rest))
	return isShort || len(written) < len(rest)
}

// hasRecord reports whether a valid record starts anywhere after the first byte of data.
func hasRecord(data []byte) bool {
	for at := 1; at < len(data); at++ {
		next := bytes.Index(data[at:], recordMagic)
		if next < 0 {
			return false
		}
		at += next
		if _, ok := parseRecord(data[at:]); ok {
			return true
		}
	}
	return false
}
