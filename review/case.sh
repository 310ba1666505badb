#!/bin/sh
# Plays one case: case.sh FOLDER NAME. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
folder=$(cd "$1" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
program="$root/review/stand-ins/target/release/review-case"
# The command with which the platform starts a call controller.
RUN_COMMAND=$(sed -n 's/^run = "\([^"]*\)".*$/\1/p' "$root/deploy/balancer.toml" | head -n 1)
if [ ! -x "$program" ] || [ ! -x "$root/target/release/slateshed" ] || [ -z "$RUN_COMMAND" ]; then
    echo "build first: the deploy file's build, then review/build.sh" >&2
    exit 2
fi
CASE_TMP=$(mktemp -d) || exit 2
PROJECT_ROOT=$root
export RUN_COMMAND CASE_TMP PROJECT_ROOT
unset ROUTER_NAME ROUTER_LISTEN ROUTER_CONFIG ROUTER_ADMIN_ADDR ROUTER_SOCKET_FD SLATESHED_OPERATOR
case_pid=
# Ends what was started, by its id, and removes the temporary folder.
clean_up() {
    [ -z "$case_pid" ] || kill -TERM "$case_pid" 2>/dev/null
    for id_file in "$CASE_TMP"/*.id; do
        [ -f "$id_file" ] && kill -KILL "$(cat "$id_file")" 2>/dev/null
    done
    rm -rf "$CASE_TMP"
}
trap 'clean_up; exit 2' INT TERM
timeout -s KILL 110 "$program" "$2" >"$folder/record.txt" 2>&1 &
case_pid=$!
wait $case_pid
status=$?
case_pid=
clean_up
case $status in
0 | 1) exit $status ;;
*) exit 2 ;;
esac
