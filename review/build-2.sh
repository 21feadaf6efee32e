#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10, after the build of deploy/balancer.toml. Needs only a JDK.
set -euo pipefail
root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
classes="$root/target/review-2"
rm -rf "$classes"
mkdir -p "$classes"
javac -Xlint:all -d "$classes" "$root"/review/kit-2/*.java
