package configuration

// Nearest returns the candidate with the smallest edit distance to the word, if the distance is at most a third of
// the word's length, rounded up. It returns an empty string if no candidate is near enough to be a typing error.
func Nearest(word string, candidates []string) string {
	best := ""
	limit := (len(word)+2)/3 + 1
	for _, candidate := range candidates {
		if distance := editDistance(word, candidate); distance < limit {
			best, limit = candidate, distance
		}
	}
	return best
}

// editDistance counts insertions, deletions, replacements and swaps of neighbours (optimal string alignment).
func editDistance(a, b string) int {
	var beforeLast []int
	last := make([]int, len(b)+1)
	for j := range last {
		last[j] = j
	}
	for i := 1; i <= len(a); i++ {
		row := make([]int, len(b)+1)
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			row[j] = min(last[j]+1, row[j-1]+1, last[j-1]+cost)
			if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
				row[j] = min(row[j], beforeLast[j-2]+1)
			}
		}
		beforeLast, last = last, row
	}
	return last[len(b)]
}
