#!/bin/sh
# Plays a case: play.sh CASE FOLDER. Writes FOLDER/record.txt. Exits with 1 if the rule was broken, 0 if it held, and
# 2 if the case couldn't run.
case_name=$1
case_folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/../.." || exit 2
CASE_TMP=$(mktemp -d) || exit 2
RECORD=$case_folder/record.txt
export CASE_TMP RECORD
trap 'rm -rf "$CASE_TMP"' EXIT
review/standins-2/target/release/review-standins-2 "$case_name"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
