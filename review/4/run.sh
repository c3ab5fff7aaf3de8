#!/bin/bash
# Runs the case; see claim.txt.  TROUBLE=0 leaves the disruption out.
#
#     review/1/run.sh
#
# Exit status: 1 if the rule was broken, 0 if it held, 2 if it could not run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
program=review/bin/case-$(basename "$folder")
if [ ! -x "$program" ] || [ ! -x target/nutmegentry ]; then
    echo "build the deploy file and run review/build.sh first"
    exit 2
fi
exec "$program" "$folder"
