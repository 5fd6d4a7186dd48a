#include "fleet.h"

#include "http_client.h"

#include <glib.h>

#define ASKED_AT_ONCE 32

skh_instances_t *skh_fleet_read_members(skh_store_t *store, const char *instances_prefix,
					skh_error_t *err)
{
	skh_kv_pairs_t pairs;
	skh_instances_t *members;
	size_t n_bad;

	if (!store->ops->range(store, instances_prefix, true, &pairs, err))
		return NULL;
	members = skh_instances_parse(&pairs, instances_prefix, &n_bad);
	skh_kv_pairs_clear(&pairs);
	return members;
}

/* One question to a member; @status receives the answer. */
typedef struct question {
	const skh_instance_t *member;
	json_t **status;
} question_t;

static void ask_one(gpointer item, gpointer context)
{
	g_autofree question_t *question = item;
	skh_buffer_t body = SKH_BUFFER_INIT;
	skh_error_t err;

	(void)context;
	if (skh_http_client_get(question->member->admin_address, "/admin/v1/status", &body, &err))
		*question->status = json_loadb(skh_buffer_text(&body), body.len, 0, NULL);
	skh_buffer_free(&body);
}

json_t **skh_fleet_get_statuses(const skh_instances_t *members)
{
	json_t **statuses = g_new0(json_t *, members->count + 1);
	GThreadPool *pool = g_thread_pool_new(ask_one, NULL, ASKED_AT_ONCE, FALSE, NULL);

	for (size_t i = 0; i < members->count; i++) {
		question_t *question = g_new0(question_t, 1);

		question->member = &members->list[i];
		question->status = &statuses[i];
		(void)g_thread_pool_push(pool, question, NULL);
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
