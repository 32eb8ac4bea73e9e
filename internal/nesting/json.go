package nesting

// PruneJSON returns a JSON document in which arrays and objects more than depth levels deep are
// replaced by {}, which no plain field takes, so that the rest of the document can be decoded. It does not check the document.
func PruneJSON(data []byte, depth int) []byte {
	out := make([]byte, 0, len(data))
	level := 0

	for i := 0; i < len(data); {
		end := i + 1

		switch data[i] {
		case '"':
			end = i + stringLen(data[i:])
		case '[', '{':
			level++

			if level == depth+1 {
				out = append(out, "{}"...)
			}
		}

		if level <= depth {
			out = append(out, data[i:end]...)
		}

		if data[i] == ']' || data[i] == '}' {
			level--
		}

		i = end
	}

	return out
}

// stringLen returns the length in bytes of the string at the start of data, with its quotes.
func stringLen(data []byte) int {
	for i := 1; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}

	return len(data)
}
