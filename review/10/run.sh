#!/usr/bin/env bash
# Plays the case on loopback addresses; exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../.."
[ -f platform/target/auburnstream-platform.jar ] && [ -f review/target/standins-2/Play.class ] || exit 2
exec java -cp review/target/standins-2 Play flap . review/10/record.txt
