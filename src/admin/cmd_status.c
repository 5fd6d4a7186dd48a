#include "cmd.h"
#include "config_watcher.h"
#include "fleet.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define STORE_TIMEOUT_MS	 5000
#define DEFAULT_INSTANCES_PREFIX "/platform/instances/"

static const char *get_text(const json_t *status, const char *key)
{
	const char *text = json_string_value(json_object_get(status, key));

	return text ? text : "-";
}

static int64_t get_integer(const json_t *status, const char *key)
{
	return json_integer_value(json_object_get(status, key));
}

static void print_row(const skh_instance_t *instance, const json_t *status)
{
	bool is_entry = strcmp(instance->role, "entry") == 0;
	const char *state = json_is_true(json_object_get(status, "ready")) ? "ready" : "not ready";

	if (!is_entry && strcmp(get_text(status, "phase"), "leaving") == 0)
		state = "leaving";
	if (!status)
		state = "no answer";
	(void)printf("%-16s %-8s %-16s %-10s %9" PRId64 " %8" PRId64 " %s\n", instance->id,
		     instance->role, instance->failure_domain, state,
		     get_integer(status, "revision"),
		     get_integer(status, is_entry ? "in_flight" : "running"),
		     is_entry ? "-" : get_text(status, "service"));
}

static int print_statuses(skh_store_t *store, const char *instances_prefix)
{
	skh_error_t err;
	skh_instances_t *instances = skh_fleet_read_instances(store, instances_prefix, &err);
	json_t **statuses;

	if (!instances) {
		(void)fprintf(stderr, "status: %s: %s\n", skh_error_kind_name(err.kind), err.text);
		return SKH_EXIT_FAILURE;
	}
	(void)printf("%-16s %-8s %-16s %-10s %9s %8s %s\n", "INSTANCE", "ROLE", "FAILURE DOMAIN",
		     "STATE", "REVISION", "RUNNING", "SERVICE");
	statuses = skh_fleet_get_statuses(instances);
	for (size_t i = 0; i < instances->count; i++)
		print_row(&instances->list[i], statuses[i]);
	skh_fleet_free_statuses(statuses, instances->count);
	skh_instances_free(instances);
	return SKH_EXIT_OK;
}

int skh_cmd_status(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_str *url = arg_str1(NULL, "store", "URL", "key-value service");
	struct arg_str *prefix = arg_str0(NULL, "instances", "KEY",
					  "key prefix of the platform's list of instances");
	struct arg_end *end = arg_end(4);
	void *table[] = { url, prefix, help, end };
	int status = SKH_EXIT_OK;

	prefix->sval[0] = DEFAULT_INSTANCES_PREFIX;
	if (skh_cmd_parse(argc, argv, table, help, end,
			  "Print the status that each listed instance reports.", &status)) {
		const char *const endpoints[] = { url->sval[0], NULL };
		skh_store_t *store = skh_store_open_etcd(endpoints, STORE_TIMEOUT_MS);

		status = print_statuses(store, prefix->sval[0]);
		store->ops->close(store);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return status;
}
