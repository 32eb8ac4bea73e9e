package timeline

import "strconv"

// AppendNumber appends a name and its value to the detail of an entry. Every call
// makes such entries, even if they are never read: appending to a buffer costs one
// allocation, and fmt about a dozen.
func AppendNumber(b []byte, name string, value int64) []byte {
	return strconv.AppendInt(append(b, name...), value, 10)
}
