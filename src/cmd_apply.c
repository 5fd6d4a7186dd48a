#include "apply.h"
#include "clock.h"
#include "cmd.h"
#include "config_watcher.h"
#include "fleet.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define POLL_US		 (200 * SKH_US_PER_MS)
#define DEFAULT_WAIT_S	 30
#define DEFAULT_PREFIX	 "/skylarkhead/"
#define DEFAULT_MEMBERS	 "/platform/instances/"
#define STORE_TIMEOUT_MS 5000

typedef struct apply_options {
	const char *store_url;
	const char *manifest_file;
	const char *prefix;
	const char *instances_prefix;
	int64_t base;
	int64_t wait_by_us;
} apply_options_t;

static skh_manifest_t *load_manifest(const char *file)
{
	g_autoptr(GError) fault = NULL;
	g_autofree char *text = NULL;
	gsize len = 0;
	skh_validation_errors_t *faults = skh_validation_errors_new();
	skh_manifest_t *manifest = NULL;

	if (g_file_get_contents(file, &text, &len, &fault))
		manifest = skh_manifest_from_toml(skh_chunk_make(text, len), faults);
	else
		skh_validation_errors_add(faults, 0, "", "%s", fault->message);
	skh_cmd_print_validation_errors(stderr, file, faults);
	skh_validation_errors_free(faults);
	return manifest;
}

static size_t count_in_force(const skh_instances_t *members, int64_t revision)
{
	json_t **statuses = skh_fleet_get_statuses(members);
	size_t count = 0;

	for (size_t i = 0; i < members->count; i++)
		count += json_integer_value(json_object_get(statuses[i], "revision")) >= revision;
	skh_fleet_free_statuses(statuses, members->count);
	return count;
}

/* Newest revision in force at any listed instance; 0 when none tells. */
static int64_t newest_in_force(skh_store_t *store, const char *instances_prefix)
{
	skh_error_t err;
	skh_instances_t *members = skh_fleet_read_members(store, instances_prefix, &err);
	int64_t newest = 0;

	json_t **statuses;

	if (!members)
		return 0;
	statuses = skh_fleet_get_statuses(members);
	for (size_t i = 0; i < members->count; i++)
		newest = MAX(newest, json_integer_value(json_object_get(statuses[i], "revision")));
	skh_fleet_free_statuses(statuses, members->count);
	skh_instances_free(members);
	return newest;
}

static int wait_in_force(skh_store_t *store, const apply_options_t *options, int64_t revision)
{
	size_t last = SIZE_MAX;

	while (skh_clock_now_us() < options->wait_by_us) {
		skh_error_t err;
		skh_instances_t *members =
			skh_fleet_read_members(store, options->instances_prefix, &err);
		size_t count = members ? count_in_force(members, revision) : 0;
		size_t total = members ? members->count : 0;

		skh_instances_free(members);
		if (count != last)
			(void)printf("in force at %zu of %zu instances\n", count, total);
		(void)fflush(stdout);
		last = count;
		if (total > 0 && count == total)
			return SKH_EXIT_OK;
		(void)usleep(POLL_US);
	}
	(void)fprintf(stderr, "apply: accepted, but not seen in force everywhere in time\n");
	return SKH_EXIT_FAILURE;
}

static int report_failure(const skh_error_t *err)
{
	(void)fprintf(stderr, "apply: %s: %s\n", skh_error_kind_name(err->kind), err->text);
	if (err->kind == SKH_CONFLICT)
		return SKH_EXIT_CONFLICT;
	return err->kind == SKH_OUTCOME_UNKNOWN ? SKH_EXIT_UNKNOWN : SKH_EXIT_FAILURE;
}

static int run(const apply_options_t *options)
{
	const char *const endpoints[] = { options->store_url, NULL };
	skh_manifest_t *manifest = load_manifest(options->manifest_file);
	skh_store_t *store;
	skh_apply_result_t result;
	skh_error_t err;
	int64_t floor;
	int status;

	if (!manifest)
		return SKH_EXIT_FAILURE;
	store = skh_store_open_etcd(endpoints, STORE_TIMEOUT_MS);
	floor = newest_in_force(store, options->instances_prefix);
	if (skh_apply_manifest(store, options->prefix, manifest, options->base, floor, &result,
			       &err)) {
		if (result.unchanged)
			(void)printf("revision %" PRId64 " already holds this manifest\n",
				     result.revision);
		else
			(void)printf("revision %" PRId64 " accepted, %zu parts written: %s\n",
				     result.revision, result.parts_written, result.changed_parts);
		status = wait_in_force(store, options, result.revision);
	} else {
		status = report_failure(&err);
	}
	skh_apply_result_clear(&result);
	skh_manifest_unref(manifest);
	store->ops->close(store);
	return status;
}

static void set_text_default(struct arg_str *argument, const char *value)
{
	if (argument)
		argument->sval[0] = value;
}

int skh_cmd_apply(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_str *store = arg_str1(NULL, "store", "URL", "key-value service");
	struct arg_int *base =
		arg_int0(NULL, "base", "REVISION", "refuse unless this revision is in force");
	struct arg_int *wait = arg_int0(NULL, "wait", "SECONDS", "how long to wait (30)");
	struct arg_str *prefix = arg_str0(NULL, "prefix", "KEY", "keys of the system");
	struct arg_str *members = arg_str0(NULL, "instances", "KEY", "keys of the platform's list");
	struct arg_file *file = arg_file1(NULL, NULL, "MANIFEST", "manifest to put in force");
	struct arg_end *end = arg_end(6);
	void *table[] = { store, base, wait, prefix, members, file, help, end };
	int status = SKH_EXIT_OK;

	set_text_default(prefix, DEFAULT_PREFIX);
	set_text_default(members, DEFAULT_MEMBERS);
	base->ival[0] = -1;
	wait->ival[0] = DEFAULT_WAIT_S;
	if (skh_cmd_parse(argc, argv, table, help, end,
			  "Put a manifest in force and wait until every instance has it.",
			  &status)) {
		const apply_options_t options = {
			.store_url = store->sval[0],
			.manifest_file = file->filename[0],
			.prefix = prefix->sval[0],
			.instances_prefix = members->sval[0],
			.base = base->ival[0],
			.wait_by_us = skh_clock_now_us() + wait->ival[0] * SKH_US_PER_S,
		};

		status = run(&options);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return status;
}
