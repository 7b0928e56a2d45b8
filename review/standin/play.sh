#!/usr/bin/env bash
# play.sh SCENARIO RECORD: plays one scenario with the programs that the deploy
# file names, in a temporary folder, and ends all that it started.
set -uo pipefail
cd "$(dirname "$0")/../.."
command_of() { # ROLE
  sed -n "/^\[roles\.$1\]/,/^\[/s/^run = \"\(.*\)\"/\1/p" deploy/system.toml
}
control=$(command_of control) entry=$(command_of entry)
for program in "$control" "$entry" target/review/standin; do
  [ -x "$program" ] || { echo "no $program" >&2; exit 2; }
done
folder=$(mktemp -d)
timeout -k 5 118 target/review/standin "$1" "$folder" "$control" "$entry" "$2"
code=$?
[ -n "${KEEP:-}" ] && cp -r "$folder" "$KEEP"
rm -rf "$folder"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
