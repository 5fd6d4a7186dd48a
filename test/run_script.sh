#!/usr/bin/env bash
# run_script.sh FILE: executes a scripted run and compares its output with FILE.
#
# Lines that start with "$ " are commands. All run in one shell that has sourced scripts/world.sh.
# The lines below a command are its expected output, including standard error. An expected line
# that ends in " (re)" is a regular expression. Empty lines are ignored. A command that fails adds
# "[N]", its exit status, as the last line. Lines that start with "# " and all lines before the
# first command are comments.
set -u
cd "$(dirname "$0")/.."
. scripts/world.sh
trap stop_all EXIT
file=$1
failed=0
command=
expected=()
line_number=0
command_line=0

matches() { # expected actual
	case $1 in
	*" (re)") [[ $2 =~ ^${1% (re)}$ ]] ;;
	*) [ "$1" = "$2" ] ;;
	esac
}

run_command() {
	local output status=0 actual=() i
	[ -n "$command" ] || return
	eval "$command" >"$WORK/output" 2>&1 || status=$?
	mapfile -t actual < <(grep -v '^$' "$WORK/output")
	[ $status = 0 ] || actual+=("[$status]")
	for ((i = 0; i < ${#actual[@]} || i < ${#expected[@]}; i++)); do
		if [ $i -ge ${#actual[@]} ] || [ $i -ge ${#expected[@]} ] ||
			! matches "${expected[i]}" "${actual[i]}"; then
			echo "$file:$command_line: \$ $command"
			printf '  expected: %s\n' "${expected[@]}"
			printf '  actual:   %s\n' "${actual[@]}"
			failed=1
			return
		fi
	done
}

while IFS= read -r line || [ -n "$line" ]; do
	line_number=$((line_number + 1))
	if [ "${line#\$ }" != "$line" ]; then
		run_command
		command=${line#\$ }
		expected=()
		command_line=$line_number
	elif [ -n "$command" ] && [ "${line#\# }" = "$line" ] && [ -n "$line" ]; then
		expected+=("$line")
	fi
done <"$file"
run_command
exit $failed
