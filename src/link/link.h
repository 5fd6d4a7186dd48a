#ifndef SKH_LINK_H
#define SKH_LINK_H

/**
 * DOC: Link
 *
 * An entry's ZeroMQ connections to all sidecars, and the table of peers and
 * pending attempts. One thread owns the socket; request threads enqueue frames
 * for it on a wait-free queue and receive events in their inboxes. All functions
 * but skh_link_start() and skh_link_stop() may be called from any thread. Times
 * are in microseconds on the entry's monotonic clock.
 */

#include "board.h"
#include "inbox.h"
#include "peer_selection.h"
#include "settings.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_link skh_link_t;

/**
 * skh_link_start() - open the socket and start the link thread
 * @settings: borrowed until skh_link_stop(), as is @board
 * Return: NULL with @err set when the socket could not be opened.
 */
skh_link_t *skh_link_start(const skh_settings_t *settings, skh_board_t *board, skh_error_t *err);

/** skh_link_stop() - stop the thread and free @link; every request thread must have stopped */
void skh_link_stop(skh_link_t *link);

/**
 * struct skh_dispatched_attempt - one attempt that was queued for a sidecar
 * @attempt: random id, unique among all entries
 * @incarnation: sidecar process that the attempt is addressed to
 * @peer_id: id of the selected sidecar
 */
typedef struct skh_dispatched_attempt {
	uint64_t attempt;
	uint64_t incarnation;
	char peer_id[SKH_WIRE_MAX_NAME_BYTES + 1];
} skh_dispatched_attempt_t;

/**
 * skh_link_dispatch() - select a sidecar and queue an attempt for it
 * @query: requirements of the attempt
 * @start: the Start frame; this function sets the attempt id, the incarnation and the times on the
 *         sidecar's clock
 * @start_deadline_us: latest time to start
 * @finish_deadline_us: time by which the response must be complete
 * @inbox: receives the attempt's events until skh_link_release(); borrowed
 * @dispatched: set on success
 * Return: false with @err set when no sidecar may take the attempt.
 */
bool skh_link_dispatch(skh_link_t *link, const skh_peer_query_t *query, Skh__Start *start,
		       int64_t start_deadline_us, int64_t finish_deadline_us, skh_inbox_t *inbox,
		       skh_dispatched_attempt_t *dispatched, skh_error_t *err);

/**
 * skh_link_record_request() - count a new request of @customer
 * @prefix_hash: hash of the prompt's prefix; 0 for none
 * Return: the fraction of recent requests that have the same prefix; 0 without a prefix.
 */
double skh_link_record_request(skh_link_t *link, const char *customer, uint64_t prefix_hash);

/** skh_link_record_end() - a request counted by skh_link_record_request() has ended */
void skh_link_record_end(skh_link_t *link, const char *customer);

/**
 * skh_link_acquire_retry() - take one retry from the budget of @customer
 * Return: false when the budget allows no retry now.
 */
bool skh_link_acquire_retry(skh_link_t *link, const char *customer);

/**
 * skh_link_release() - end the delivery of events of @dispatched
 * @succeeded: false counts as a failure of the sidecar
 * @cancel: send the sidecar a Cancel for the attempt
 */
void skh_link_release(skh_link_t *link, const skh_dispatched_attempt_t *dispatched, bool succeeded,
		      bool cancel);

/** skh_link_send_credit() - allow the sidecar to send @bytes more of the response */
void skh_link_send_credit(skh_link_t *link, const skh_dispatched_attempt_t *dispatched,
			  uint32_t bytes);

/** skh_link_for_each_peer() - call @fn for each peer; the link's lock is held meanwhile */
void skh_link_for_each_peer(skh_link_t *link, void (*fn)(const skh_peer_t *peer, void *context),
			    void *context);

/** skh_link_newest_revision() - newest configuration revision reported by any peer */
int64_t skh_link_newest_revision(skh_link_t *link);

#ifdef __cplusplus
}
#endif
#endif
