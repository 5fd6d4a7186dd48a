#ifndef SKH_LINK_H
#define SKH_LINK_H

/**
 * DOC: Link
 *
 * An entry's side of the ZeroMQ connection to every sidecar. One thread owns
 * the socket; callers' threads hand it frames through a wait-free queue and
 * receive events in their inboxes.
 */

#include "board.h"
#include "inbox.h"
#include "peer_selection.h"
#include "settings.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_link skh_link_t;

/** skh_link_start() - open the socket and run the thread; NULL with @err */
skh_link_t *skh_link_start(const skh_settings_t *settings, skh_board_t *board, skh_error_t *err);

/** skh_link_stop() - after every caller's thread has stopped */
void skh_link_stop(skh_link_t *link);

/**
 * struct skh_dispatched_attempt - one attempt as it was handed to the link thread
 * @attempt: its number, unique among all entries
 * @incarnation: the sidecar process that it is meant for
 * @peer: id of the chosen sidecar
 */
typedef struct skh_dispatched_attempt {
	uint64_t attempt;
	uint64_t incarnation;
	char peer_id[SKH_WIRE_MAX_NAME_BYTES + 1];
} skh_dispatched_attempt_t;

/**
 * skh_link_dispatch() - choose a sidecar and hand it an attempt
 * @start: the attempt; its number, incarnation and times are filled in here
 * @start_by_us: last moment to start, on this process's clock
 * @finish_by_us: when the answer must be whole, on this process's clock
 * @inbox: receives the attempt's events until skh_link_release()
 */
bool skh_link_dispatch(skh_link_t *link, const skh_peer_query_t *query, Skh__Start *start,
		       int64_t start_by_us, int64_t finish_by_us, skh_inbox_t *inbox,
		       skh_dispatched_attempt_t *placement, skh_error_t *err);

/**
 * skh_link_record_request() - a new request of @customer is about to be placed
 * Return: the part of recent requests that share its prefix.
 */
double skh_link_record_request(skh_link_t *link, const char *customer, uint64_t prefix_hash);

/** skh_link_record_end() - a request that was noted has ended */
void skh_link_record_end(skh_link_t *link, const char *customer);

/** skh_link_acquire_retry() - whether lost work of @customer may be placed again now */
bool skh_link_acquire_retry(skh_link_t *link, const char *customer);

/**
 * skh_link_release() - no more events of @placement are wanted
 * @succeeded: whether the sidecar did its part
 * @cancel: tell the sidecar to stop working on it
 */
void skh_link_release(skh_link_t *link, const skh_dispatched_attempt_t *placement, bool succeeded,
		      bool cancel);

/** skh_link_send_credit() - the caller has taken @bytes of the answer */
void skh_link_send_credit(skh_link_t *link, const skh_dispatched_attempt_t *placement,
			  uint32_t bytes);

/** skh_link_for_each_peer() - call @fn for each peer under the table's lock */
void skh_link_for_each_peer(skh_link_t *link, void (*fn)(const skh_peer_t *peer, void *context),
			    void *context);

/** skh_link_newest_revision() - newest configuration revision that any peer has named */
int64_t skh_link_newest_revision(skh_link_t *link);

#ifdef __cplusplus
}
#endif
#endif
