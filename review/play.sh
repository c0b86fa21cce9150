#!/bin/sh
# Plays a case, `play.sh NAME RECORD`, in a temporary folder, and ends all processes that it started.
cd "$(dirname "$0")/.." || exit 2
programs="target/review/stand-ins target/release/cinderspoke-entry target/release/cinderspoke-agent"
for program in $programs; do
    if [ ! -x "$program" ]; then
        echo "$program is not built" >&2
        exit 2
    fi
done
folder=$(mktemp -d) || exit 2
end() {
    # Each process that was started has the folder in its command.
    while read -r id; do
        if grep -qs "$folder" "/proc/$id/cmdline"; then
            kill -KILL "$id" 2>/dev/null
        fi
    done <"$folder/processes"
    rm -rf "$folder"
}
: >"$folder/processes"
trap end EXIT
trap 'exit 2' HUP INT TERM
target/review/stand-ins "$1" "$folder" "$2" &
echo "$!" >>"$folder/processes"
wait "$!"
code=$?
# A panic or a signal is no verdict.
[ "$code" -le 2 ] || code=2
exit "$code"
