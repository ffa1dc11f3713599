#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 plays it without the disruption. Exit code: 1 broken, 0 held, 2 could not run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
WORK=$(mktemp -d) || exit 2
export WORK
target/review-2/standin memory "$here"
code=$?
rm -rf "$WORK"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
