#include "decisions.h"

#include <glib.h>
#include <string.h>

#define RING_CAPACITY 1024

typedef struct decision {
	char request_id[40];
	char *customer;
	char *service;
	char *servers; /* ids, with spaces between */
	skh_error_kind_t kind;
	skh_run_state_t run_state;
	char error_text[SKH_ERROR_TEXT_BYTES];
} decision_t;

static GMutex lock;
static decision_t ring[RING_CAPACITY];
static uint64_t n_recorded;

static void replace_text(char **text, char *value)
{
	g_free(*text);
	*text = value;
}

static char *join_ids(const char *const *ids, size_t n)
{
	GString *text = g_string_new(NULL);

	for (size_t i = 0; i < n; i++) {
		g_string_append(text, i ? " " : "");
		g_string_append(text, ids[i]);
	}
	return g_string_free(text, FALSE);
}

void skh_decisions_record(const char *request_id, const char *customer, const char *service,
			  const char *const *servers, size_t n_servers, const skh_error_t *err)
{
	decision_t *decision;

	g_mutex_lock(&lock);
	decision = &ring[n_recorded++ % RING_CAPACITY];
	(void)g_strlcpy(decision->request_id, request_id, sizeof(decision->request_id));
	replace_text(&decision->customer, g_strdup(customer));
	replace_text(&decision->service, g_strdup(service));
	replace_text(&decision->servers, join_ids(servers, n_servers));
	decision->kind = err->kind;
	decision->run_state = err->kind == SKH_OK ? SKH_RUN_RAN : err->run_state;
	(void)g_strlcpy(decision->error_text, err->kind == SKH_OK ? "" : err->text,
			sizeof(decision->error_text));
	g_mutex_unlock(&lock);
}

static json_t *decision_to_json(const decision_t *decision)
{
	/* The text of an error may be cut off within a character. */
	g_autofree char *reason = g_utf8_make_valid(decision->error_text, -1);

	return json_pack("{s:s, s:s, s:s, s:s, s:s, s:s, s:s}", "request", decision->request_id,
			 "customer", decision->customer, "service", decision->service, "servers",
			 decision->servers, "kind", skh_error_kind_name(decision->kind), "run",
			 skh_run_state_name(decision->run_state), "reason", reason);
}

json_t *skh_decisions_find(const char *request_id)
{
	json_t *found = NULL;

	g_mutex_lock(&lock);
	for (size_t i = 0; i < RING_CAPACITY && !found; i++) {
		if (*request_id && strcmp(ring[i].request_id, request_id) == 0)
			found = decision_to_json(&ring[i]);
	}
	g_mutex_unlock(&lock);
	return found;
}
