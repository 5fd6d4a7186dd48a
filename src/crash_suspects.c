#include "crash_suspects.h"

#include "buffer.h"

#include <glib.h>
#include <string.h>

#define MAX_LOSSES 512

/* A request that was lost and whose server may have crashed. */
typedef struct loss {
	uint64_t content;
	uint64_t server;
	int64_t at_us;
} loss_t;

typedef struct record {
	uint64_t crashes[SKH_CRASH_SUSPECTS_REJECT_CRASHES];
	uint32_t n_crashes;
	int64_t until_us;
} record_t;

struct skh_crash_suspects {
	loss_t losses[MAX_LOSSES]; /* a ring */
	uint32_t next;
	GHashTable *records; /* content -> record_t */
};

skh_crash_suspects_t *skh_crash_suspects_new(void)
{
	skh_crash_suspects_t *culprits = g_new0(skh_crash_suspects_t, 1);

	culprits->records = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	return culprits;
}

void skh_crash_suspects_free(skh_crash_suspects_t *culprits)
{
	g_hash_table_unref(culprits->records);
	g_free(culprits);
}

static uint64_t server_hash(const char *server)
{
	return skh_chunk_hash(skh_chunk_from_string(server), 0);
}

void skh_crash_suspects_record_loss(skh_crash_suspects_t *culprits, uint64_t content,
				    const char *server, int64_t now_us)
{
	culprits->losses[culprits->next] = (loss_t){ content, server_hash(server), now_us };
	culprits->next = (culprits->next + 1) % MAX_LOSSES;
}

static record_t *record_of(skh_crash_suspects_t *culprits, uint64_t content, int64_t now_us)
{
	const int64_t key = (int64_t)content;
	record_t *record = g_hash_table_lookup(culprits->records, &key);

	if (record && now_us < record->until_us)
		return record;
	record = g_new0(record_t, 1);
	(void)g_hash_table_replace(culprits->records, g_memdup2(&key, sizeof(key)), record);
	return record;
}

static bool add_crash(skh_crash_suspects_t *culprits, uint64_t content, uint64_t crash,
		      int64_t now_us)
{
	record_t *record = record_of(culprits, content, now_us);

	for (uint32_t i = 0; i < record->n_crashes; i++) {
		if (record->crashes[i] == crash)
			return false;
	}
	record->until_us = now_us + SKH_CRASH_SUSPECTS_EXPIRY_US;
	if (record->n_crashes == SKH_CRASH_SUSPECTS_REJECT_CRASHES)
		return false;
	record->crashes[record->n_crashes++] = crash;
	return true;
}

void skh_crash_suspects_record_crash(skh_crash_suspects_t *culprits, const char *server,
				     int64_t now_us, skh_crash_suspects_fn fn, void *context)
{
	uint64_t hash = server_hash(server);

	for (uint32_t i = 0; i < MAX_LOSSES; i++) {
		loss_t *loss = &culprits->losses[i];
		uint64_t crash;

		if (loss->at_us == 0 || loss->server != hash ||
		    now_us - loss->at_us > SKH_CRASH_SUSPECTS_LOSS_WINDOW_US)
			continue;
		/* A server may crash again under its old id; copies lost together count once. */
		crash = hash + (uint64_t)(loss->at_us / SKH_CRASH_SUSPECTS_LOSS_WINDOW_US);
		loss->at_us = 0;
		if (add_crash(culprits, loss->content, crash, now_us) && fn)
			fn(context, loss->content, crash);
	}
}

void skh_crash_suspects_add_remote_crash(skh_crash_suspects_t *culprits, uint64_t content,
					 uint64_t crash, int64_t now_us)
{
	(void)add_crash(culprits, content, crash, now_us);
}

void skh_crash_suspects_clear(skh_crash_suspects_t *culprits, uint64_t content)
{
	const int64_t key = (int64_t)content;

	(void)g_hash_table_remove(culprits->records, &key);
}

static uint32_t crashes_of(const skh_crash_suspects_t *culprits, uint64_t content, int64_t now_us)
{
	const int64_t key = (int64_t)content;
	const record_t *record = g_hash_table_lookup(culprits->records, &key);

	return record && now_us < record->until_us ? record->n_crashes : 0;
}

bool skh_crash_suspects_is_retry_blocked(const skh_crash_suspects_t *culprits, uint64_t content,
					 int64_t now_us)
{
	return crashes_of(culprits, content, now_us) >= SKH_CRASH_SUSPECTS_NO_RETRY_CRASHES;
}

bool skh_crash_suspects_is_rejected(const skh_crash_suspects_t *culprits, uint64_t content,
				    int64_t now_us)
{
	return crashes_of(culprits, content, now_us) >= SKH_CRASH_SUSPECTS_REJECT_CRASHES;
}
