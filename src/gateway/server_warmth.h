#ifndef SKH_SERVER_WARMTH_H
#define SKH_SERVER_WARMTH_H

/**
 * DOC: Cold servers
 *
 * Whether a server is cold, and when this gateway may send it a request while it is. For a while
 * after its start, or after its failure domain was out of service, a server takes only a few
 * requests a second from all gateways together.
 *
 * What is known comes from the server's list entry, which it rewrites about every second, from its
 * responses, from the other gateways' reports of such responses, and from the start of an instance
 * and the return of its domain. The newest statement holds. An entry is known only up to
 * SKH_SERVER_WARMTH_ENTRY_DELAY_US after it was written, so an entry that says "warm" counts as
 * that old; one that says "cold" counts as new. A server that was not heard of for
 * SKH_SERVER_WARMTH_STALE_US may have become cold, so it counts as cold: this covers gateways that
 * were suspended or have lost the store.
 *
 * Load pattern: a domain of 24 servers that all come back cold at once, under a burst, with 5 to
 * 400 gateways. The rate is kept together by server_limit.h, with so few gateways for each server
 * that their saved requests stay inside the slack.
 *
 * Does no I/O. The caller owns the state and serialises calls. Times are in microseconds of the
 * boot clock.
 */

#include "server_limit.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Longest time from the writing of an entry to the start of the poll that returns it. */
#define SKH_SERVER_WARMTH_ENTRY_DELAY_US ((int64_t)1500000)
/* Two intervals of entries (1.2 s) and a poll with its interval (1.4 s). */
#define SKH_SERVER_WARMTH_STALE_US ((int64_t)4000000)

/** struct skh_warmth_spec - bound of a service's cold servers; all 0: its servers are never cold */
typedef struct skh_warmth_spec {
	int64_t cold_start_us; /* how long a server stays cold after a start */
	double per_s;	       /* requests a second that a cold server takes from all gateways */
	double overage;	       /* it may get so many times as many in any second, */
	double slack;	       /* and so many more */
} skh_warmth_spec_t;

/** struct skh_server_warmth - what is known of one server; zero-initialised it is warm */
typedef struct skh_server_warmth {
	int64_t cold_until_us;	/* 0 if it was said to be warm */
	int64_t stated_us;	/* time of the newest statement; 0 for none */
	int64_t heard_us;	/* when an entry or a response was last read; 0 for never */
	int64_t after_era;	/* entries written in this era of the store, */
	int64_t after_revision; /* up to this revision, don't say that it is warm */
	bool is_own;		/* the newest statement is a response to this gateway */
	skh_server_limit_t limit;
} skh_server_warmth_t;

/** skh_warmth_spec_is_set() - whether servers of the service can be cold */
bool skh_warmth_spec_is_set(const skh_warmth_spec_t *spec);

/**
 * skh_server_warmth_begin() - the server has started, or its domain is back in service
 * @era: of the store, see skh_store_era()
 * @revision: of the store when that was written; only entries written later say that it is warm
 */
void skh_server_warmth_begin(skh_server_warmth_t *warmth, const skh_warmth_spec_t *spec,
			     int64_t era, int64_t revision, int64_t now_us);

/**
 * skh_server_warmth_record_entry() - the server's entry was read
 * @left_us: how long it stays cold, as of the writing; 0 if it is warm
 * @era: of the store
 * @revision: of the entry
 * @poll_us: start of the poll that returned it; the answer may have waited while this process was
 *	suspended
 */
void skh_server_warmth_record_entry(skh_server_warmth_t *warmth, int64_t left_us, int64_t era,
				    int64_t revision, int64_t poll_us, int64_t now_us);

/** skh_server_warmth_record_response() - a response of the server says how long it stays cold */
void skh_server_warmth_record_response(skh_server_warmth_t *warmth, int64_t left_us,
				       int64_t now_us);

/** skh_server_warmth_record_report() - another gateway got a response that says it is cold */
void skh_server_warmth_record_report(skh_server_warmth_t *warmth, int64_t left_us, int64_t now_us);

/** skh_server_warmth_is_cold() - whether the server is or may be cold */
bool skh_server_warmth_is_cold(const skh_server_warmth_t *warmth, int64_t now_us);

/** skh_server_warmth_left_us() - how long the server is known to stay cold; 0 if it is not */
int64_t skh_server_warmth_left_us(const skh_server_warmth_t *warmth, int64_t now_us);

/** skh_server_warmth_update() - compute this gateway's part; to be called at each tick */
void skh_server_warmth_update(skh_server_warmth_t *warmth, const skh_warmth_spec_t *spec,
			      uint64_t server, uint64_t gateway, const skh_gateway_list_t *others,
			      int64_t now_us);

/**
 * skh_server_warmth_free_from_us() - when this gateway may send the server a request
 * Return: a time; 0 for now.
 */
int64_t skh_server_warmth_free_from_us(const skh_server_warmth_t *warmth, int64_t now_us);

/** skh_server_warmth_take() - count a request that is sent to the server */
void skh_server_warmth_take(skh_server_warmth_t *warmth, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
