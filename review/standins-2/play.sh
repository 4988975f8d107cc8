#!/bin/sh
# Plays a case: play.sh CASE FOLDER. Writes FOLDER/record.txt. Exits with 1 if the rule was broken, 0 if it held, and
# 2 if the case couldn't run.
case_name=$1
case_folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/../.." || exit 2
CASE_TMP=$(mktemp -d) || exit 2
RECORD=$case_folder/record.txt
export CASE_TMP RECORD
program=
# The gateways end with the program.
clean_up() {
  [ -n "$program" ] && kill -KILL "$program" 2>/dev/null
  rm -rf "$CASE_TMP"
}
trap clean_up EXIT
trap 'exit 2' INT TERM
review/standins-2/target/release/review-standins-2 "$case_name" &
program=$!
wait "$program"
status=$?
program=
[ "$status" -le 1 ] && exit "$status"
exit 2
