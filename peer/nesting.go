package peer

import (
	"encoding/binary"

	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxNesting is the maximum depth of nested arrays and maps in a frame. Messages
// are nested less than ten deep. The decoder recurses once for each level, and the
// bytes of a frame suffice for millions of levels.
const maxNesting = 100

// exceedsNesting reports whether the msgpack values in data are nested deeper than
// limit. It stops at the first value that is malformed.
func exceedsNesting(data []byte, limit int) bool {
	// remaining holds the number of values that are left in each open array or map.
	var remaining []uint64
	for len(data) > 0 {
		values, size := measureValue(data)
		if size > uint64(len(data)) {
			return false
		}
		data = data[size:]
		for len(remaining) > 0 && remaining[len(remaining)-1] == 0 {
			remaining = remaining[:len(remaining)-1]
		}
		if len(remaining) > 0 {
			remaining[len(remaining)-1]--
		}
		if values == 0 {
			continue
		}
		if remaining = append(remaining, values); len(remaining) > limit {
			return true
		}
	}
	return false
}

// measureValue returns the number of values directly inside the first value of data,
// and the number of bytes before the first of them, or before the next value if there
// are none.
func measureValue(data []byte) (values, size uint64) {
	c := data[0]
	number := func(bytes int) uint64 {
		if len(data) <= bytes {
			return 0
		}
		var b [8]byte
		copy(b[8-bytes:], data[1:1+bytes])
		return binary.BigEndian.Uint64(b[:])
	}
	switch {
	case msgpcode.IsFixedArray(c):
		return uint64(c & msgpcode.FixedArrayMask), 1
	case msgpcode.IsFixedMap(c):
		return 2 * uint64(c&msgpcode.FixedMapMask), 1
	case msgpcode.IsFixedString(c):
		return 0, 1 + uint64(c&msgpcode.FixedStrMask)
	case msgpcode.IsFixedExt(c):
		return 0, 2 + 1<<(c-msgpcode.FixExt1)
	}
	switch c {
	case msgpcode.Array16:
		return number(2), 3
	case msgpcode.Array32:
		return number(4), 5
	case msgpcode.Map16:
		return 2 * number(2), 3
	case msgpcode.Map32:
		return 2 * number(4), 5
	case msgpcode.Str8, msgpcode.Bin8:
		return 0, 2 + number(1)
	case msgpcode.Str16, msgpcode.Bin16:
		return 0, 3 + number(2)
	case msgpcode.Str32, msgpcode.Bin32:
		return 0, 5 + number(4)
	case msgpcode.Ext8:
		return 0, 3 + number(1)
	case msgpcode.Ext16:
		return 0, 4 + number(2)
	case msgpcode.Ext32:
		return 0, 6 + number(4)
	case msgpcode.Uint8, msgpcode.Int8:
		return 0, 2
	case msgpcode.Uint16, msgpcode.Int16:
		return 0, 3
	case msgpcode.Uint32, msgpcode.Int32, msgpcode.Float:
		return 0, 5
	case msgpcode.Uint64, msgpcode.Int64, msgpcode.Double:
		return 0, 9
	}
	return 0, 1
}
