#!/bin/sh
# Plays case 10, after the build of the deploy file and review/build-2.sh. Exits with 1 if the rule was broken, 0 if it
# held, and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
folder=$(dirname "$0")
exec "$folder/../standins-2/play.sh" hung-endpoints "$folder"
