package main

import (
	"context"
	"strings"
	"time"

	"rosedrift.example/rosedrift/internal/query"
)

// completionTimeout keeps the shell from hanging on a gateway that does not answer.
const completionTimeout = time.Second

// bashCompletion is a script that asks "rosedrift complete LINE" for the candidates. That command takes the gateway and
// the key from the environment.
const bashCompletion = `_rosedrift() {
  local words=("${COMP_WORDS[@]:1:COMP_CWORD-1}") line="" word
  for word in "${words[@]}"; do
    [[ $word == -* ]] || line+="$word "
  done
  local current="${COMP_WORDS[COMP_CWORD]}"
  mapfile -t COMPREPLY < <(compgen -W "$(rosedrift complete "$line$current" 2>/dev/null)" -- "$current")
}
complete -F _rosedrift rosedrift
`

// printCompletion prints the completion script.
func (s session) printCompletion() int {
	if len(s.Words) != 2 || s.Words[1] != "bash" {
		return s.fail(exitUsage, "usage: rosedrift completion bash")
	}
	s.println(strings.TrimSuffix(bashCompletion, "\n"))
	return exitDone
}

// printCandidates prints the candidates for the last word of a line. Without an answer of the gateway these are only
// the words of the command language, not the names of zones, servers and the like.
func (s session) printCandidates(ctx context.Context, line string) int {
	ctx, cancel := context.WithTimeout(ctx, completionTimeout)
	defer cancel()
	candidates, err := s.client.complete(ctx, line)
	if err != nil {
		candidates = query.CompleteOffline(line)
	}
	s.println(candidates...)
	return exitDone
}
