#include "cmd.h"
#include "config_watcher.h"
#include "fleet.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define STORE_TIMEOUT_MS 5000
#define DEFAULT_MEMBERS	 "/platform/instances/"

static const char *text_of(const json_t *status, const char *key)
{
	const char *text = json_string_value(json_object_get(status, key));

	return text ? text : "-";
}

static int64_t integer_of(const json_t *status, const char *key)
{
	return json_integer_value(json_object_get(status, key));
}

static void print_row(const skh_instance_t *member, const json_t *status)
{
	bool is_entry = strcmp(member->role, "entry") == 0;
	const char *state = json_is_true(json_object_get(status, "ready")) ? "ready" : "not ready";

	if (!is_entry && strcmp(text_of(status, "phase"), "leaving") == 0)
		state = "leaving";
	if (!status)
		state = "no answer";
	(void)printf("%-16s %-8s %-16s %-10s %9" PRId64 " %8" PRId64 " %s\n", member->id,
		     member->role, member->failure_domain, state, integer_of(status, "revision"),
		     integer_of(status, is_entry ? "in_flight" : "running"),
		     is_entry ? "-" : text_of(status, "service"));
}

static int print_fleet(skh_store_t *store, const char *instances_prefix)
{
	skh_error_t err;
	skh_instances_t *members = skh_fleet_read_members(store, instances_prefix, &err);
	json_t **statuses;

	if (!members) {
		(void)fprintf(stderr, "status: %s: %s\n", skh_error_kind_name(err.kind), err.text);
		return SKH_EXIT_FAILURE;
	}
	(void)printf("%-16s %-8s %-16s %-10s %9s %8s %s\n", "INSTANCE", "ROLE", "FAILURE DOMAIN",
		     "STATE", "REVISION", "RUNNING", "SERVICE");
	statuses = skh_fleet_get_statuses(members);
	for (size_t i = 0; i < members->count; i++)
		print_row(&members->list[i], statuses[i]);
	skh_fleet_free_statuses(statuses, members->count);
	skh_instances_free(members);
	return SKH_EXIT_OK;
}

int skh_cmd_status(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_str *url = arg_str1(NULL, "store", "URL", "key-value service");
	struct arg_str *prefix = arg_str0(NULL, "instances", "KEY", "keys of the platform's list");
	struct arg_end *end = arg_end(4);
	void *table[] = { url, prefix, help, end };
	int status = SKH_EXIT_OK;

	prefix->sval[0] = DEFAULT_MEMBERS;
	if (skh_cmd_parse(argc, argv, table, help, end,
			  "Print what the listed instances say of themselves.", &status)) {
		const char *const endpoints[] = { url->sval[0], NULL };
		skh_store_t *store = skh_store_open_etcd(endpoints, STORE_TIMEOUT_MS);

		status = print_fleet(store, prefix->sval[0]);
		store->ops->close(store);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return status;
}
