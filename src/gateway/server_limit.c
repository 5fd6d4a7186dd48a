#include "server_limit.h"

#include "buffer.h"

#include <glib.h>

#define US_PER_S  1000000.0
#define MAX_SAVED 1.0

void skh_server_limit_name(skh_server_limit_t *limit, double per_s, int64_t named_us, bool is_own)
{
	if (named_us < limit->named_us || (per_s <= 0.0 && limit->per_s <= 0.0))
		return;
	limit->per_s = per_s > 0.0 ? MAX(per_s, SKH_SERVER_LIMIT_MIN_PER_S) : 0.0;
	limit->named_us = named_us;
	limit->is_own = is_own;
}

static uint64_t hash_pair(uint64_t server, uint64_t gateway)
{
	return skh_chunk_hash(skh_chunk_make(&gateway, sizeof(gateway)), server);
}

static double get_saved(const skh_server_limit_t *limit, int64_t now_us)
{
	double added = limit->part_per_s * (double)(now_us - limit->saved_us) / US_PER_S;

	return MIN(limit->saved + added, MAX_SAVED);
}

static void set_part(skh_server_limit_t *limit, double part_per_s, int64_t now_us)
{
	limit->saved = limit->part_per_s > 0.0 ? get_saved(limit, now_us) : 0.0;
	limit->saved_us = now_us;
	limit->part_per_s = part_per_s;
}

static void update_rank(skh_server_limit_t *limit, uint64_t server, uint64_t gateway,
			const skh_gateway_list_t *others)
{
	uint64_t own = hash_pair(server, gateway);

	if (limit->list_version == others->version)
		return;
	limit->list_version = others->version;
	limit->rank = 0;
	for (size_t i = 0; i < others->count; i++)
		limit->rank += hash_pair(server, others->hashes[i]) < own;
}

/* The part of the same limit does not rise until the list of gateways has settled. */
static double settle_part(const skh_server_limit_t *limit, double part_per_s,
			  const skh_gateway_list_t *others, int64_t now_us)
{
	bool is_settled = others->changed_us == 0 ||
			  now_us - others->changed_us >= SKH_SERVER_LIMIT_SETTLE_US;

	return is_settled || limit->part_of_per_s != limit->per_s
		       ? part_per_s
		       : MIN(limit->part_per_s, part_per_s);
}

void skh_server_limit_update(skh_server_limit_t *limit, uint64_t server, uint64_t gateway,
			     const skh_gateway_list_t *others, int64_t now_us)
{
	double part_per_s;
	size_t sharers;

	if (limit->per_s > 0.0 && now_us - limit->named_us > SKH_SERVER_LIMIT_EXPIRY_US)
		limit->per_s = 0.0;
	if (limit->per_s <= 0.0) {
		limit->part_per_s = 0.0;
		limit->part_of_per_s = 0.0;
		return;
	}
	sharers = SKH_SERVER_LIMIT_MIN_GATEWAYS +
		  (size_t)MIN(limit->per_s * SKH_SERVER_LIMIT_GATEWAYS_A_PER_S,
			      (double)others->count);
	if (limit->max_sharers > 0)
		sharers = limit->max_sharers;
	sharers = MIN(sharers, others->count + 1);
	update_rank(limit, server, gateway, others);
	part_per_s = limit->rank < sharers ? limit->per_s / (double)sharers : 0.0;
	set_part(limit, settle_part(limit, part_per_s, others, now_us), now_us);
	limit->part_of_per_s = limit->per_s;
}

int64_t skh_server_limit_free_from_us(const skh_server_limit_t *limit, int64_t now_us)
{
	double missing;

	if (limit->per_s <= 0.0)
		return 0;
	if (limit->part_per_s <= 0.0)
		return now_us + SKH_SERVER_LIMIT_RECHECK_US;
	missing = 1.0 - get_saved(limit, now_us);
	return missing <= 0.0 ? 0 : now_us + (int64_t)(missing / limit->part_per_s * US_PER_S) + 1;
}

void skh_server_limit_take(skh_server_limit_t *limit, int64_t now_us)
{
	if (limit->per_s <= 0.0)
		return;
	limit->saved = get_saved(limit, now_us) - 1.0;
	limit->saved_us = now_us;
}
