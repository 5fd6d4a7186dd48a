#!/usr/bin/env bash
# regress.sh [full]: scores the deployments in force with the users' bench, beside the last journal
# entry of each, and prints one table. "full" plays all standard days, otherwise the quick ones.
# Exits 1 if a gate failed or the mean worth of the days fell by more than 0.03.
#
# KIT is the folder with the site files, BENCH the bench program; without them nothing is run.
set -u
cd "$(dirname "$0")/.."
sites=(
	grown/tembo-parts-grown grown/sti-skylark-grown
	further/skolmat-ansokan further-grown/skolmat-ansokan-grown
	large/tembo-parts-large
)
options=(--quick)
[ "${1:-}" = full ] && options=()

if [ ! -d "${KIT:-}" ] || [ ! -x "${BENCH:-}" ]; then
	echo "not run: KIT and BENCH must name the users' site files and their bench"
	exit 0
fi

newest_entry() { # site: the newest journal entry of a score with the same days
	python3 - "$1" "${options[*]}" <<-'PYTHON'
		import glob, json, sys
		site, quick = sys.argv[1], "--quick" in sys.argv[2]
		for name in sorted(glob.glob("journal/*.json"), reverse=True):
		    entry = json.load(open(name))
		    if (entry["cmd"], entry["site"], entry["ok"]) == ("score", site, True) \
		            and ("--quick" in entry["argv"]) == quick:
		        print(name)
		        break
	PYTHON
}

compare() { # site, entry before or "", entry now: prints a row, exits 1 if it fell or failed
	python3 - "$1" "$2" "$3" <<-'PYTHON'
		import json, sys
		MAX_FALL = 0.03  # the bench's own noise
		site, before, now = sys.argv[1:]
		def worths(name):
		    return {day["name"]: day["G"] for day in json.load(open(name))["days"]} if name else {}
		def mean(values):
		    return sum(values) / len(values) if values else float("nan")
		old, new = worths(before), worths(now)
		common = [day for day in new if day in old]
		fell = mean([old[day] for day in common]) - mean([new[day] for day in common])
		gate = "failed" if "GATE failed" in json.load(open(now))["digest"] else "passed"
		days = " ".join(f"{day}={worth:.3f}" for day, worth in new.items())
		print(f"{site:24} gate {gate:7} before {mean(list(old.values())):.3f} "
		      f"now {mean(list(new.values())):.3f}  {days}")
		sys.exit(1 if gate == "failed" or fell > MAX_FALL else 0)
	PYTHON
}

status=0
for site in "${sites[@]}"; do
	name=$(basename "$site")
	before=$(newest_entry "$name")
	"$BENCH" score "$KIT/$site.toml" "${options[@]}" --jobs "${JOBS:-3}" \
		--why "Regression run of $name on $(git rev-parse --short HEAD)" >/dev/null 2>&1
	now=$(newest_entry "$name")
	if [ "$now" = "$before" ] || [ -z "$now" ]; then
		echo "$name: not run: the bench left no finished entry"
		status=1
		continue
	fi
	compare "$name" "$before" "$now" || status=1
done
exit $status
