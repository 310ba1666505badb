#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
# The record is written to record.txt beside this script. Needs the build of the deploy file and review/build-2.sh.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
if [ ! -x "$root/target/review-2/cases-2" ] || [ ! -x "$root/target/release/slateshed" ]; then
    echo "could not run: build first"
    exit 2
fi
exec "$root/target/review-2/cases-2" restart-standing "$root" "$folder"
