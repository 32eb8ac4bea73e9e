package timeline

import "strconv"

// AppendNumber appends a name and its value to the detail of an entry. Entries of calls
// are made for each call, also where nobody reads them: a buffer that is appended to costs
// one allocation, fmt a dozen.
func AppendNumber(b []byte, name string, value int64) []byte {
	return strconv.AppendInt(append(b, name...), value, 10)
}
