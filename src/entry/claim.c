#include "claim.h"

#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#define UUID_CHARS	    36
#define UUID_VERSION_OFFSET 14
#define UUID_TIME_CHARS	    13 /* 12 hex digits of the timestamp and a NUL */
#define HEX_RADIX	    16

static const char *const state_names[] = { "claimed", "done", "not_run" };

void skh_claim_clear(skh_claim_t *claim)
{
	g_free(claim->owner);
	g_free(claim->content_type);
	skh_buffer_free(&claim->response);
	*claim = (skh_claim_t){ 0 };
}

char *skh_claim_encode(const skh_claim_t *claim)
{
	g_autofree char *hash = g_strdup_printf("%016" PRIx64, claim->content_hash);
	json_t *json = json_pack("{s:s, s:s, s:s}", "state", state_names[claim->state], "owner",
				 claim->owner, "body", hash);
	char *dump;
	char *text;

	if (claim->state == SKH_CLAIM_DONE) {
		json_object_set_new(json, "status", json_integer(claim->status));
		json_object_set_new(json, "type", json_string(claim->content_type));
	}
	if (claim->state == SKH_CLAIM_DONE && claim->has_response) {
		g_autofree char *base64 =
			g_base64_encode(claim->response.data, claim->response.len);

		json_object_set_new(json, "answer", json_string(base64));
	}
	dump = json_dumps(json, JSON_COMPACT | JSON_SORT_KEYS);
	text = g_strdup(dump);
	free(dump);
	json_decref(json);
	return text;
}

static bool decode_state(const json_t *json, skh_claim_state_t *state)
{
	const char *name = json_string_value(json_object_get(json, "state"));

	for (size_t i = 0; name && i < G_N_ELEMENTS(state_names); i++) {
		if (strcmp(state_names[i], name) == 0) {
			*state = (skh_claim_state_t)i;
			return true;
		}
	}
	return false;
}

static void decode_response(const json_t *json, skh_claim_t *claim)
{
	const char *text = json_string_value(json_object_get(json, "answer"));
	gsize len = 0;
	guchar *bytes;

	claim->has_response = text != NULL;
	if (!text || !*text)
		return;
	bytes = g_base64_decode(text, &len);
	skh_buffer_append(&claim->response, skh_chunk_make(bytes, len));
	g_free(bytes);
}

bool skh_claim_decode(const char *text, skh_claim_t *claim, skh_error_t *err)
{
	json_t *json = json_loads(text, 0, NULL);
	const char *owner = json_string_value(json_object_get(json, "owner"));
	const char *hash = json_string_value(json_object_get(json, "body"));
	const char *type = json_string_value(json_object_get(json, "type"));

	*claim = (skh_claim_t){ 0 };
	if (!owner || !hash || !decode_state(json, &claim->state)) {
		json_decref(json);
		return skh_error_set(err, SKH_OUTCOME_UNKNOWN,
				     "the claim record of the idempotency key is malformed");
	}
	claim->owner = g_strdup(owner);
	claim->content_hash = g_ascii_strtoull(hash, NULL, HEX_RADIX);
	claim->status = (int32_t)json_integer_value(json_object_get(json, "status"));
	claim->content_type = g_strdup(type ? type : "");
	decode_response(json, claim);
	json_decref(json);
	return true;
}

skh_claim_decision_t skh_claim_decide(const skh_claim_t *found, const char *owner,
				      uint64_t request_hash)
{
	if (strcmp(found->owner, owner) == 0)
		return SKH_CLAIM_DECISION_OWN_CLAIM;
	if (found->content_hash != request_hash)
		return SKH_CLAIM_DECISION_KEY_REUSED;
	switch (found->state) {
	case SKH_CLAIM_DONE:
		return SKH_CLAIM_DECISION_REPLAY;
	case SKH_CLAIM_NOT_RUN:
		return SKH_CLAIM_DECISION_REPLACE;
	default:
		return SKH_CLAIM_DECISION_OUTCOME_UNKNOWN;
	}
}

static bool is_uuid_v7(const char *key)
{
	static const char pattern[] = "xxxxxxxx-xxxx-7xxx-xxxx-xxxxxxxxxxxx";

	if (strlen(key) != UUID_CHARS || key[UUID_VERSION_OFFSET] != '7')
		return false;
	for (size_t i = 0; i < UUID_CHARS; i++) {
		if (pattern[i] == '-' ? key[i] != '-' : !g_ascii_isxdigit(key[i]))
			return false;
	}
	return true;
}

/* The first 48 bits of a version 7 UUID are its Unix time in milliseconds. */
static int64_t uuid_unix_ms(const char *key)
{
	char digits[UUID_TIME_CHARS] = { 0 };

	memcpy(digits, key, 8);
	memcpy(digits + 8, key + 9, 4);
	return (int64_t)g_ascii_strtoull(digits, NULL, HEX_RADIX);
}

bool skh_claim_check_key(const char *key, int64_t now_unix_ms, skh_error_t *err)
{
	int64_t age_ms;

	if (!is_uuid_v7(key))
		return skh_error_set(err, SKH_BAD_REQUEST,
				     "Idempotency-Key must be a UUID of version 7");
	age_ms = now_unix_ms - uuid_unix_ms(key);
	if (age_ms > SKH_CLAIM_MAX_KEY_AGE_MS)
		return skh_error_set(err, SKH_KEY_EXPIRED,
				     "the idempotency key is older than the %" PRId64
				     " hours for which claim records are kept",
				     SKH_CLAIM_MAX_KEY_AGE_MS / 3600000);
	if (age_ms < -SKH_CLAIM_MAX_CLOCK_SKEW_MS)
		return skh_error_set(err, SKH_BAD_REQUEST,
				     "the timestamp of the idempotency key is in the future");
	return true;
}

char *skh_claim_store_key(const char *prefix, const char *customer, const char *key)
{
	g_autofree char *name = g_strconcat(customer, "\n", key, NULL);
	g_autofree char *hash = g_compute_checksum_for_string(G_CHECKSUM_SHA256, name, -1);

	return g_strconcat(prefix, "claims/", hash, NULL);
}
