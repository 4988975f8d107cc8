#!/usr/bin/env bash
# Runs a case: run_case.sh CASE FOLDER. Writes FOLDER/record.txt. Exits with 1 if the rule was broken, 0 if it held and
# 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
review=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
root=$(dirname "$review")
case_name=$1
folder=$2
for program in "$review/bin/harness" "$root/target/release/irishinge"; do
  if [ ! -x "$program" ]; then
    echo "$program is missing: run the build of the deploy file and review/build.sh" >&2
    exit 2
  fi
done
temporary=$(mktemp -d)
harness=
# Ends all processes that the case started: the harness, and the gateway if the harness could not end it.
clean_up() {
  [ -n "$harness" ] && kill -KILL "$harness" 2>/dev/null
  if [ -f "$temporary/gateway.pid" ]; then
    gateway=$(cat "$temporary/gateway.pid")
    if [ -n "$gateway" ] && grep -qsF "$temporary" "/proc/$gateway/environ"; then
      kill -KILL "$gateway" 2>/dev/null
    fi
  fi
  rm -rf "$temporary"
}
trap clean_up EXIT
trap 'exit 2' INT TERM
"$review/bin/harness" "$case_name" "$root" "$folder/record.txt" "$temporary" &
harness=$!
wait "$harness"
status=$?
harness=
case $status in
  0 | 1) exit "$status" ;;
  *) exit 2 ;;
esac
