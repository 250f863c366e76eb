package main

import (
	"context"
	"strings"
	"time"

	"rosedrift.example/rosedrift/internal/query"
)

// completionTimeout keeps the shell from hanging on a gateway that does not answer.
const completionTimeout = time.Second

// bashCompletion asks "rosedrift complete LINE" for candidates. Gateway and key come from the environment.
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

func (s session) completion() int {
	if len(s.Words) != 2 || s.Words[1] != "bash" {
		return s.fail(exitUsage, "want: completion bash")
	}
	s.println(strings.TrimSuffix(bashCompletion, "\n"))
	return exitDone
}

// complete prints the candidates for the last word of a line. Without a gateway it offers the words of the language.
func (s session) complete(ctx context.Context, line string) int {
	ctx, cancel := context.WithTimeout(ctx, completionTimeout)
	defer cancel()
	candidates, err := s.client.complete(ctx, line)
	if err != nil {
		candidates = query.CompleteOffline(line)
	}
	s.println(candidates...)
	return exitDone
}
