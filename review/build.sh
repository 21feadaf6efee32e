#!/bin/sh
# Builds the stand-ins and the tests of the cases into review/out with the JDK alone.
set -e
cd "$(dirname "$0")"
mkdir -p out
javac -nowarn -d out rig/*.java
