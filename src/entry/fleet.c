#include "fleet.h"

#include "http_client.h"

#include <glib.h>

#define MAX_PARALLEL_QUERIES 32

skh_instances_t *skh_fleet_read_instances(skh_store_t *store, const char *instances_prefix,
					  skh_error_t *err)
{
	skh_kv_pairs_t pairs;
	skh_instances_t *instances;
	size_t n_bad;

	if (!store->ops->range(store, instances_prefix, true, &pairs, err))
		return NULL;
	instances = skh_instances_parse(&pairs, instances_prefix, &n_bad);
	skh_kv_pairs_clear(&pairs);
	return instances;
}

/* Status request to one instance; @status receives the response. */
typedef struct status_query {
	const skh_instance_t *instance;
	json_t **status;
} status_query_t;

static void fetch_status(gpointer item, gpointer context)
{
	g_autofree status_query_t *query = item;
	skh_buffer_t body = SKH_BUFFER_INIT;
	skh_error_t err;

	(void)context;
	if (skh_http_client_get(query->instance->admin_address, "/admin/v1/status", &body, &err))
		*query->status = json_loadb(skh_buffer_text(&body), body.len, 0, NULL);
	skh_buffer_free(&body);
}

json_t **skh_fleet_get_statuses(const skh_instances_t *instances)
{
	json_t **statuses = g_new0(json_t *, instances->count + 1);
	GThreadPool *pool =
		g_thread_pool_new(fetch_status, NULL, MAX_PARALLEL_QUERIES, FALSE, NULL);

	for (size_t i = 0; i < instances->count; i++) {
		status_query_t *query = g_new0(status_query_t, 1);

		query->instance = &instances->list[i];
		query->status = &statuses[i];
		(void)g_thread_pool_push(pool, query, NULL);
	}
	g_thread_pool_free(pool, FALSE, TRUE);
	return statuses;
}

void skh_fleet_free_statuses(json_t **statuses, size_t count)
{
	for (size_t i = 0; i < count; i++)
		json_decref(statuses[i]);
	g_free(statuses);
}
