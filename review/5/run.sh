#!/bin/sh
# Plays the case; TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/review/cases ] && [ -x target/release/yuccatack ] || exit 2
exec target/review/cases same_id "$folder"
