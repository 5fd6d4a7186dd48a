#include "members_publisher.h"

#include "clock.h"

#include <glib.h>
#include <string.h>

/* The longest that the store grants, so that gateways that start find the last members. */
#define LEASE_TTL_S 600
/* Leaves time for several attempts before the lease expires. */
#define RENEW_INTERVAL_US (200 * SKH_US_PER_S)
/* While a group forms, each rank that is heard changes the notice, and all gateways get it. */
#define MIN_WRITE_INTERVAL_US (1 * SKH_US_PER_S)
#define RETRY_INTERVAL_US     (5 * SKH_US_PER_S)

void skh_members_publisher_reset(skh_members_publisher_t *publisher)
{
	g_clear_pointer(&publisher->published, g_free);
	publisher->next_write_us = 0;
}

void skh_members_publisher_clear(skh_members_publisher_t *publisher)
{
	skh_members_publisher_reset(publisher);
	publisher->lease = 0;
}

static bool renew(skh_members_publisher_t *publisher, skh_store_t *store, int64_t now_us,
		  skh_error_t *err)
{
	int64_t ttl_s = 0;

	publisher->next_renew_us = now_us + RETRY_INTERVAL_US;
	if (!store->ops->lease_renew(store, publisher->lease, &ttl_s, err))
		return false;
	publisher->next_renew_us = now_us + RENEW_INTERVAL_US;
	if (ttl_s > 0)
		return true;
	/* The notice has expired with the lease. */
	publisher->lease = 0;
	skh_members_publisher_reset(publisher);
	return true;
}

static bool grant(skh_members_publisher_t *publisher, skh_store_t *store, int64_t now_us,
		  skh_error_t *err)
{
	if (!store->ops->lease_grant(store, LEASE_TTL_S, &publisher->lease, err)) {
		publisher->lease = 0;
		publisher->next_write_us = now_us + MIN_WRITE_INTERVAL_US;
		return false;
	}
	publisher->era = skh_store_era(store);
	publisher->next_renew_us = now_us + RENEW_INTERVAL_US;
	return true;
}

static bool write_notice(skh_members_publisher_t *publisher, skh_store_t *store,
			 const skh_members_target_t *target, const char *text, int64_t now_us,
			 skh_error_t *err)
{
	const skh_txn_compare_t compare = { target->holder_key, target->holder_revision };
	const skh_txn_op_t put = { SKH_TXN_OP_PUT, target->key, text, publisher->lease };
	const skh_txn_t txn = { .compares = &compare, .n_compares = 1, .ops = &put, .n_ops = 1 };
	skh_txn_result_t result;

	publisher->next_write_us = now_us + MIN_WRITE_INTERVAL_US;
	if (!store->ops->txn(store, &txn, &result, err)) {
		/* The lease may be the cause: it may have expired while the store was out of reach. */
		publisher->lease = 0;
		return false;
	}
	if (result.succeeded) {
		g_free(publisher->published);
		publisher->published = g_strdup(text);
	}
	skh_kv_pairs_clear(&result.pairs);
	return true;
}

bool skh_members_publisher_step(skh_members_publisher_t *publisher, skh_store_t *store,
				const skh_members_target_t *target, const char *text,
				int64_t now_us, bool *has_called, skh_error_t *err)
{
	bool is_published = publisher->published && strcmp(publisher->published, text) == 0;

	*has_called = true;
	/* In a new era, the lease id may be another's and the notice may be missing. */
	if (publisher->lease != 0 && publisher->era != skh_store_era(store)) {
		publisher->lease = 0;
		skh_members_publisher_reset(publisher);
		is_published = false;
	}
	if (publisher->lease != 0 && now_us >= publisher->next_renew_us)
		return renew(publisher, store, now_us, err);
	if (*text && !is_published && now_us >= publisher->next_write_us)
		return publisher->lease == 0
			       ? grant(publisher, store, now_us, err)
			       : write_notice(publisher, store, target, text, now_us, err);
	*has_called = false;
	return true;
}
