package main

import (
	"context"
	"slices"
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
	s.println(append(candidates, completeLocal(line)...)...)
	return exitDone
}

// localCommands are the commands that the grammar of gateways does not have. Those of a gateway's metrics address and those
// without a gateway are among them.
var localCommands = [][]string{
	{"completion", "bash"}, {"key", "create"}, {"quarantines", "lift"}, {commandWhere},
}

// whereFlags are the options of the command where.
var whereFlags = []string{"--count", "--cpu", "--estimate", "--file", "--label", "--memory", "--rack"}

// completeLocal returns the candidates for the last word of a line among the local commands and their options.
func completeLocal(line string) []string {
	words := strings.Split(line, " ")
	before, partial := words[:len(words)-1], words[len(words)-1]
	var found []string
	for _, command := range localCommands {
		if len(before) < len(command) && slices.Equal(before, command[:len(before)]) {
			found = append(found, command[len(before)])
		}
	}
	if len(before) > 0 && before[0] == commandWhere {
		found = append(found, whereFlags...)
	}
	return slices.DeleteFunc(found, func(word string) bool {
		return !strings.HasPrefix(word, partial) || (partial == "" && strings.HasPrefix(word, "--"))
	})
}
