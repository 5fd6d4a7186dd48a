#ifndef SKH_FEED_H
#define SKH_FEED_H

/**
 * DOC: Feed from the store
 *
 * A thread of a gateway that reads the gateways' routing configuration, the list of
 * backend servers, the other gateways, the slow ranks and the members of groups from the store. It
 * publishes configuration and servers on the blackboard and registers the
 * gateway under a lease. Owns its thread, which makes all store calls; the
 * functions below may be called from any thread. Times are microseconds of the
 * boot clock.
 *
 * A single rate-limited long poll covers all keys, because the store charges for
 * each call and the list of servers changes several times a second. Failed calls
 * are retried with a jittered exponential backoff; the last state stays in use.
 */

#include "board.h"
#include "crash_suspects.h"
#include "dialect.h"
#include "domain_status.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Prefix of the keys under which coordinators publish the slow ranks of a service:
 * one line "address slowdown" per rank.
 */
#define SKH_SLOW_RANKS_PREFIX "skylarkhead/slow/"

/*
 * Prefix of the keys of crash records (crash_suspects.h): trait and crash in hexadecimal, joined by
 * a hyphen. The value says whether the record is cleared.
 */
#define SKH_CRASH_RECORDS_PREFIX "skylarkhead/crash/"

/** struct skh_feed_options - all pointers are borrowed and must outlive the feed */
typedef struct skh_feed_options {
	skh_store_t *store; /* used by the feed alone */
	const skh_dialect_t *dialect;
	skh_board_t *board;
	int64_t poll_interval_us;    /* minimum time from one poll's start to the next */
	int64_t poll_timeout_ms;     /* longest wait of a poll for a change */
	const char *gateways_prefix; /* prefix of the keys of gateways; ends with a slash */
	const char *own_id;	     /* NULL for a gateway that is not registered */
	const char *own_address;     /* address at which other gateways reach this one */
	/* Called on the feed's thread after a change of the board. */
	void (*notify)(void *context);
	void *context;
} skh_feed_options_t;

typedef struct skh_feed skh_feed_t;

/** skh_feed_start() - starts the feed's thread; @options are copied */
skh_feed_t *skh_feed_start(const skh_feed_options_t *options);

/** skh_feed_stop() - stops the thread, waits for its end and frees the feed */
void skh_feed_stop(skh_feed_t *feed);

/**
 * skh_feed_fresh_as_of_us() - time at which the store held nothing newer than the board
 * Return: microseconds of the boot clock; 0 before the store was read completely.
 */
int64_t skh_feed_fresh_as_of_us(const skh_feed_t *feed);

/**
 * skh_feed_get_gateways() - returns the addresses of the other gateways after a change
 * @last_change: change counter; in: from the previous call, 0 at first; out: the current one
 * Return: texts "address:port", to be freed with g_ptr_array_unref(); NULL when unchanged.
 */
GPtrArray *skh_feed_get_gateways(skh_feed_t *feed, uint64_t *last_change);

/**
 * skh_feed_get_slow_ranks() - returns the slow ranks of all services after a change
 * @last_change: as in skh_feed_get_gateways()
 * Return: lines "address slowdown", to be freed with g_free(); NULL when unchanged.
 */
char *skh_feed_get_slow_ranks(skh_feed_t *feed, uint64_t *last_change);

/** struct skh_feed_members - members notice of a group; see members_notice.h */
typedef struct skh_feed_members {
	char *service;
	char *group;
	char *text;
	int64_t revision; /* store revision of the notice */
} skh_feed_members_t;

/**
 * skh_feed_take_members() - returns the members notices read since the last call
 *
 * In the order in which they were written, as far as it is known. Deleted notices are left out,
 * since the last known members stay in use.
 *
 * Return: skh_feed_members_t, to be freed with g_ptr_array_unref(); NULL for none.
 */
GPtrArray *skh_feed_take_members(skh_feed_t *feed);

/**
 * skh_feed_take_crash_records() - returns the crash records read since the last call
 * Return: skh_crash_record_t, to be freed with g_array_unref(); NULL for none.
 */
GArray *skh_feed_take_crash_records(skh_feed_t *feed);

/**
 * skh_feed_take_domain_news() - returns the news about failure domains read since the last call
 * Return: skh_domain_news_t, to be freed with g_array_unref(); NULL for none.
 *
 * What was read up to skh_feed_fresh_as_of_us() is included if that is called first.
 */
GArray *skh_feed_take_domain_news(skh_feed_t *feed);

/** struct skh_cold_news - what a server's entry says of its warmth, see server_warmth.h */
typedef struct skh_cold_news {
	char *id; /* of the server */
	int64_t left_us;
	int64_t era;
	int64_t revision;
	int64_t poll_us; /* start of the poll that returned the entry */
} skh_cold_news_t;

/**
 * skh_feed_take_cold_news() - returns what entries said since the last call
 *
 * Only while a service in the configuration names how long its servers are cold.
 *
 * Return: skh_cold_news_t, to be freed with g_ptr_array_unref(); NULL for none.
 */
GPtrArray *skh_feed_take_cold_news(skh_feed_t *feed);

/** skh_feed_poll_at_once() - the next poll returns without waiting for a change */
void skh_feed_poll_at_once(skh_feed_t *feed);

/** skh_feed_put_crash_records() - has @records written to the store; repeated until it succeeds */
void skh_feed_put_crash_records(skh_feed_t *feed, const skh_crash_record_t *records, uint32_t n);

#ifdef __cplusplus
}
#endif
#endif
