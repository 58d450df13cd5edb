#!/bin/sh
# Plays the case. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 leaves out the disruption. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/cases ] && [ -x target/release/moleroad_platform ] || exit 2
exec target/review-2/cases late-heartbeat review/8/record.txt
