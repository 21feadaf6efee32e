#!/bin/sh
# Runs the test of one case: run-case.sh FOLDER CLASS. Exit 1: the rule was broken, 0: it held, 2: not run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(dirname "$here")
if [ ! -f "$root/target/switchgap.jar" ]; then
    echo "no target/switchgap.jar: run the build of deploy/balancer.toml first" >&2
    exit 2
fi
"$here/build.sh" || exit 2
temporary=$(mktemp -d) || exit 2
java -Xmx512m -cp "$here/out" "$2" "$root" "$temporary" "$1/record.txt" &
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
