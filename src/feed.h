#ifndef SKH_FEED_H
#define SKH_FEED_H

/**
 * DOC: Feed from the store
 *
 * One thread that follows the operators' configuration, the list of backend
 * servers and the other gateways in the store, and puts them on the
 * blackboard. One paced long poll serves all of it: calls are priced, and the
 * list changes several times a second.
 */

#include "board.h"
#include "dialect.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Keys of what coordinators tell of their groups: "address pace" of slow ranks, a line each. */
#define SKH_RANK_NOTICE_PREFIX "skylarkhead/slow/"

/** struct skh_feed_options - texts are borrowed for the feed's life */
typedef struct skh_feed_options {
	skh_store_t *store; /* of the feed's own */
	const skh_dialect_t *dialect;
	skh_board_t *board;
	int64_t poll_interval_us; /* between two polls */
	int64_t poll_timeout_ms;  /* of a poll without news */
	const char *peers_prefix; /* where gateways register; ends with a slash */
	const char *own_id;	  /* NULL to register nothing */
	const char *own_address;  /* where other gateways reach this one */
	/* Something on the board has changed; on the feed's thread. */
	void (*notify)(void *context);
	void *context;
} skh_feed_options_t;

typedef struct skh_feed skh_feed_t;

skh_feed_t *skh_feed_start(const skh_feed_options_t *options);
void skh_feed_stop(skh_feed_t *feed);

/**
 * skh_feed_fresh_as_of_us() - the store had nothing newer than the board at this time
 * Return: boot clock; 0 before the first answer.
 */
int64_t skh_feed_fresh_as_of_us(const skh_feed_t *feed);

/**
 * skh_feed_get_gateways() - addresses of the other gateways
 * @seen: the caller's mark of what it had last; 0 at first, set here
 * Return: NULL when nothing has changed since; else free with g_ptr_array_unref().
 */
GPtrArray *skh_feed_get_gateways(skh_feed_t *feed, uint64_t *seen);

/**
 * skh_feed_get_rank_notices() - what coordinators tell of their groups, the texts of all services
 * @seen: as in skh_feed_get_gateways()
 * Return: NULL when nothing has changed since; else free with g_free().
 */
char *skh_feed_get_rank_notices(skh_feed_t *feed, uint64_t *seen);

#ifdef __cplusplus
}
#endif
#endif
