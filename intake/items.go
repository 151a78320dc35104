package intake

// shallow is the depth of the items of a list that is a field of the whole text.
const shallow = 2

// CountItems counts the items and fields in a JSON text that can each become an element of a
// list when it is decoded: those of lists and objects directly in the outermost object, and
// those that are deeper. Items of any type count, as a decoder grows its list also for those
// that it then rejects. Texts are skipped.
func CountItems(body []byte) (direct, deeper int) {
	depth := 0
	for i := 0; i < len(body); i++ {
		switch body[i] {
		case '"':
			for i++; i < len(body) && body[i] != '"'; i++ {
				if body[i] == '\\' {
					i++
				}
			}
			continue
		case '{', '[':
			depth++
		case '}', ']':
			depth--
			continue
		case ',':
		default:
			continue
		}
		// Each bracket opens a first item, and each comma begins another one.
		if depth == shallow {
			direct++
		} else if depth > shallow {
			deeper++
		}
	}
	return direct, deeper
}
