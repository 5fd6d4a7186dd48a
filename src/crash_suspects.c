#include "crash_suspects.h"

#include "buffer.h"

#include <glib.h>
#include <string.h>

#define MAX_LOSSES 512

/* A lost request whose server may have crashed; unused if lost_at_us is 0. */
typedef struct loss {
	uint64_t content_hash;
	uint64_t server_hash;
	int64_t lost_at_us;
} loss_t;

typedef struct suspect {
	uint64_t crash_ids[SKH_CRASH_SUSPECTS_REJECT_CRASHES];
	uint32_t n_crashes;
	int64_t expires_us;
} suspect_t;

struct skh_crash_suspects {
	loss_t losses[MAX_LOSSES]; /* ring buffer; a new loss overwrites the oldest */
	uint32_t next_loss;
	GHashTable *by_content; /* content hash -> suspect_t */
};

skh_crash_suspects_t *skh_crash_suspects_new(void)
{
	skh_crash_suspects_t *suspects = g_new0(skh_crash_suspects_t, 1);

	suspects->by_content = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	return suspects;
}

void skh_crash_suspects_free(skh_crash_suspects_t *suspects)
{
	g_hash_table_unref(suspects->by_content);
	g_free(suspects);
}

static uint64_t hash_server_id(const char *server)
{
	return skh_chunk_hash(skh_chunk_from_string(server), 0);
}

void skh_crash_suspects_record_loss(skh_crash_suspects_t *suspects, uint64_t content_hash,
				    const char *server, int64_t now_us)
{
	suspects->losses[suspects->next_loss] =
		(loss_t){ content_hash, hash_server_id(server), now_us };
	suspects->next_loss = (suspects->next_loss + 1) % MAX_LOSSES;
}

static suspect_t *get_or_create_suspect(skh_crash_suspects_t *suspects, uint64_t content_hash,
					int64_t now_us)
{
	const int64_t key = (int64_t)content_hash;
	suspect_t *suspect = g_hash_table_lookup(suspects->by_content, &key);

	if (suspect && now_us < suspect->expires_us)
		return suspect;
	suspect = g_new0(suspect_t, 1);
	(void)g_hash_table_replace(suspects->by_content, g_memdup2(&key, sizeof(key)), suspect);
	return suspect;
}

static bool add_crash(skh_crash_suspects_t *suspects, uint64_t content_hash, uint64_t crash_id,
		      int64_t now_us)
{
	suspect_t *suspect = get_or_create_suspect(suspects, content_hash, now_us);

	for (uint32_t i = 0; i < suspect->n_crashes; i++) {
		if (suspect->crash_ids[i] == crash_id)
			return false;
	}
	suspect->expires_us = now_us + SKH_CRASH_SUSPECTS_EXPIRY_US;
	if (suspect->n_crashes == SKH_CRASH_SUSPECTS_REJECT_CRASHES)
		return false;
	suspect->crash_ids[suspect->n_crashes++] = crash_id;
	return true;
}

void skh_crash_suspects_record_crash(skh_crash_suspects_t *suspects, const char *server,
				     int64_t now_us, skh_crash_suspects_fn fn, void *context)
{
	uint64_t server_hash = hash_server_id(server);

	for (uint32_t i = 0; i < MAX_LOSSES; i++) {
		loss_t *loss = &suspects->losses[i];
		uint64_t crash_id;

		if (loss->lost_at_us == 0 || loss->server_hash != server_hash ||
		    now_us - loss->lost_at_us > SKH_CRASH_SUSPECTS_LOSS_WINDOW_US)
			continue;
		/*
		 * A server can crash again under the same id, so the id of a crash includes the
		 * time window of the loss. Copies of a request lost together count as one crash.
		 */
		crash_id = server_hash +
			   (uint64_t)(loss->lost_at_us / SKH_CRASH_SUSPECTS_LOSS_WINDOW_US);
		loss->lost_at_us = 0;
		if (add_crash(suspects, loss->content_hash, crash_id, now_us) && fn)
			fn(context, loss->content_hash, crash_id);
	}
}

void skh_crash_suspects_add_remote_crash(skh_crash_suspects_t *suspects, uint64_t content_hash,
					 uint64_t crash_id, int64_t now_us)
{
	(void)add_crash(suspects, content_hash, crash_id, now_us);
}

void skh_crash_suspects_clear(skh_crash_suspects_t *suspects, uint64_t content_hash)
{
	const int64_t key = (int64_t)content_hash;

	(void)g_hash_table_remove(suspects->by_content, &key);
}

static uint32_t count_crashes(const skh_crash_suspects_t *suspects, uint64_t content_hash,
			      int64_t now_us)
{
	const int64_t key = (int64_t)content_hash;
	const suspect_t *suspect = g_hash_table_lookup(suspects->by_content, &key);

	return suspect && now_us < suspect->expires_us ? suspect->n_crashes : 0;
}

bool skh_crash_suspects_is_retry_blocked(const skh_crash_suspects_t *suspects,
					 uint64_t content_hash, int64_t now_us)
{
	return count_crashes(suspects, content_hash, now_us) >= SKH_CRASH_SUSPECTS_NO_RETRY_CRASHES;
}

bool skh_crash_suspects_is_rejected(const skh_crash_suspects_t *suspects, uint64_t content_hash,
				    int64_t now_us)
{
	return count_crashes(suspects, content_hash, now_us) >= SKH_CRASH_SUSPECTS_REJECT_CRASHES;
}
