#include "apply.h"
#include "clock.h"
#include "cmd.h"
#include "config_watcher.h"
#include "fleet.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define ROLLOUT_POLL_INTERVAL_US (200 * SKH_US_PER_MS)
#define DEFAULT_WAIT_S		 30
#define DEFAULT_PREFIX		 "/skylarkhead/"
#define DEFAULT_INSTANCES_PREFIX "/platform/instances/"
#define STORE_TIMEOUT_MS	 5000

typedef struct apply_options {
	const char *store_url;
	const char *manifest_file;
	const char *prefix;
	const char *instances_prefix;
	int64_t base_revision;
	int64_t deadline_us;
} apply_options_t;

static skh_manifest_t *load_manifest(const char *file)
{
	g_autoptr(GError) error = NULL;
	g_autofree char *text = NULL;
	gsize len = 0;
	skh_validation_errors_t *errors = skh_validation_errors_new();
	skh_manifest_t *manifest = NULL;

	if (g_file_get_contents(file, &text, &len, &error))
		manifest = skh_manifest_from_toml(skh_chunk_make(text, len), errors);
	else
		skh_validation_errors_add(errors, 0, "", "%s", error->message);
	skh_cmd_print_validation_errors(stderr, file, errors);
	skh_validation_errors_free(errors);
	return manifest;
}

static size_t count_instances_with_revision(const skh_instances_t *instances, int64_t min_revision)
{
	json_t **statuses = skh_fleet_get_statuses(instances);
	size_t count = 0;

	for (size_t i = 0; i < instances->count; i++)
		count += json_integer_value(json_object_get(statuses[i], "revision")) >=
			 min_revision;
	skh_fleet_free_statuses(statuses, instances->count);
	return count;
}

/*
 * Returns the newest revision in force at any listed instance, or 0 when the list can't be read or
 * no instance responds.
 */
static int64_t find_max_revision_in_force(skh_store_t *store, const char *instances_prefix)
{
	skh_error_t err;
	skh_instances_t *instances = skh_fleet_read_instances(store, instances_prefix, &err);
	int64_t max_revision = 0;
	json_t **statuses;

	if (!instances)
		return 0;
	statuses = skh_fleet_get_statuses(instances);
	for (size_t i = 0; i < instances->count; i++)
		max_revision = MAX(max_revision,
				   json_integer_value(json_object_get(statuses[i], "revision")));
	skh_fleet_free_statuses(statuses, instances->count);
	skh_instances_free(instances);
	return max_revision;
}

static int wait_until_in_force(skh_store_t *store, const apply_options_t *options, int64_t revision)
{
	size_t last_count = SIZE_MAX;

	while (skh_clock_now_us() < options->deadline_us) {
		skh_error_t err;
		skh_instances_t *instances =
			skh_fleet_read_instances(store, options->instances_prefix, &err);
		size_t count = instances ? count_instances_with_revision(instances, revision) : 0;
		size_t total = instances ? instances->count : 0;

		skh_instances_free(instances);
		if (count != last_count)
			(void)printf("in force at %zu of %zu instances\n", count, total);
		(void)fflush(stdout);
		last_count = count;
		if (total > 0 && count == total)
			return SKH_EXIT_OK;
		(void)usleep(ROLLOUT_POLL_INTERVAL_US);
	}
	(void)fprintf(stderr, "apply: accepted, but not seen in force everywhere in time\n");
	return SKH_EXIT_FAILURE;
}

static int print_failure(const skh_error_t *err)
{
	(void)fprintf(stderr, "apply: %s: %s\n", skh_error_kind_name(err->kind), err->text);
	if (err->kind == SKH_CONFLICT)
		return SKH_EXIT_CONFLICT;
	return err->kind == SKH_OUTCOME_UNKNOWN ? SKH_EXIT_UNKNOWN : SKH_EXIT_FAILURE;
}

static int apply_manifest(const apply_options_t *options)
{
	const char *const endpoints[] = { options->store_url, NULL };
	skh_manifest_t *manifest = load_manifest(options->manifest_file);
	skh_store_t *store;
	skh_apply_result_t result;
	skh_error_t err;
	int64_t min_revision;
	int status;

	if (!manifest)
		return SKH_EXIT_FAILURE;
	store = skh_store_open_etcd(endpoints, STORE_TIMEOUT_MS);
	min_revision = find_max_revision_in_force(store, options->instances_prefix);
	if (skh_apply_manifest(store, options->prefix, manifest, options->base_revision,
			       min_revision, &result, &err)) {
		if (result.is_unchanged)
			(void)printf("revision %" PRId64 " already holds this manifest\n",
				     result.revision);
		else
			(void)printf("revision %" PRId64 " accepted, %zu parts written: %s\n",
				     result.revision, result.n_parts_written, result.changed_parts);
		status = wait_until_in_force(store, options, result.revision);
	} else {
		status = print_failure(&err);
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
	struct arg_int *base_revision = arg_int0(
		NULL, "base", "REVISION", "reject the change unless this is the accepted revision");
	struct arg_int *wait_s =
		arg_int0(NULL, "wait", "SECONDS", "how long to wait for all instances (30)");
	struct arg_str *prefix = arg_str0(NULL, "prefix", "KEY", "key prefix of the system");
	struct arg_str *instances = arg_str0(NULL, "instances", "KEY",
					     "key prefix of the platform's list of instances");
	struct arg_file *file = arg_file1(NULL, NULL, "MANIFEST", "manifest to put in force");
	struct arg_end *end = arg_end(6);
	void *table[] = { store, base_revision, wait_s, prefix, instances, file, help, end };
	int status = SKH_EXIT_OK;

	set_text_default(prefix, DEFAULT_PREFIX);
	set_text_default(instances, DEFAULT_INSTANCES_PREFIX);
	base_revision->ival[0] = -1;
	wait_s->ival[0] = DEFAULT_WAIT_S;
	if (skh_cmd_parse(argc, argv, table, help, end,
			  "Put a manifest in force and wait until every instance has it.",
			  &status)) {
		const apply_options_t options = {
			.store_url = store->sval[0],
			.manifest_file = file->filename[0],
			.prefix = prefix->sval[0],
			.instances_prefix = instances->sval[0],
			.base_revision = base_revision->ival[0],
			.deadline_us = skh_clock_now_us() + wait_s->ival[0] * SKH_US_PER_S,
		};

		status = apply_manifest(&options);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return status;
}
