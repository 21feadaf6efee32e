#!/bin/sh
# Runs the test of one case: run-case.sh CLASS RECORD TROUBLE. TROUBLE is 0 to leave out the disruption.
# Exit 1: the rule was broken, 0: it held, 2: the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(dirname "$here")
class=$1
record=$2
trouble=$3
if [ ! -f "$root/target/switchgap.jar" ]; then
    echo "no target/switchgap.jar: run the build of deploy/balancer.toml first" >&2
    exit 2
fi
"$here/build.sh" || exit 2
temporary=$(mktemp -d) || exit 2
java -Xmx512m -Dtrouble="$trouble" -cp "$here/out" "$class" "$root" "$temporary" "$record" &
test=$!
trap 'kill $test 2>/dev/null' INT TERM
wait $test
result=$?
while kill -0 $test 2>/dev/null; do
    sleep 0.2
done
rm -rf "$temporary"
[ $result -le 1 ] || result=2
exit $result
