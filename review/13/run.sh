#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -d target/review-3 ] || [ ! -f platform/target/auburnstream-platform.jar ]; then
    echo "build first: the build line of deploy/system.toml, then review/build-3.sh" >&2
    exit 2
fi
exec java -Xmx256m -cp target/review-3 WaveList review/13
