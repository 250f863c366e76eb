package configuration

// Nearest returns the candidate with the smallest edit distance to the word, provided that the distance is at most a
// third of the word's length, rounded up. A larger distance is unlikely to be a typing error, and Nearest returns an
// empty string.
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

// editDistance counts insertions, deletions, substitutions and transpositions of adjacent bytes (optimal string
// alignment distance).
func editDistance(a, b string) int {
	var rowBeforePrevious []int
	previousRow := make([]int, len(b)+1)
	for j := range previousRow {
		previousRow[j] = j
	}
	for i := 1; i <= len(a); i++ {
		row := make([]int, len(b)+1)
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			row[j] = min(previousRow[j]+1, row[j-1]+1, previousRow[j-1]+cost)
			if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
				row[j] = min(row[j], rowBeforePrevious[j-2]+1)
			}
		}
		rowBeforePrevious, previousRow = previousRow, row
	}
	return previousRow[len(b)]
}
