#ifndef SKH_ATTEMPT_RUNNER_H
#define SKH_ATTEMPT_RUNNER_H

/**
 * DOC: Worker
 *
 * The attempts at one sidecar, from the frame that brings one to the frame
 * that ends it: through the gate, a claim where one is needed, the backend
 * server, and back in pieces. One thread.
 */

#include "backend.h"
#include "board.h"
#include "engine.h"
#include "gate.h"
#include "sidecar_link.h"
#include "settings.h"
#include "store.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_attempt_runner skh_attempt_runner_t;

/** skh_attempt_runner_new() - all arguments are borrowed; @engine may be NULL */
skh_attempt_runner_t *skh_attempt_runner_new(const skh_settings_t *settings, skh_board_t *board,
					     skh_store_t *store, skh_sidecar_link_t *port,
					     skh_backend_t *backend, skh_engine_t *engine);
void skh_attempt_runner_free(skh_attempt_runner_t *worker);

/** skh_attempt_runner_on_frame() - an entry's frame; takes ownership of @frame */
void skh_attempt_runner_on_frame(skh_attempt_runner_t *worker, const char *entry,
				 Skh__Frame *frame);

/** skh_attempt_runner_poll() - run transfers until something happens or @until_us */
void skh_attempt_runner_poll(skh_attempt_runner_t *worker, int64_t until_us);

/**
 * skh_attempt_runner_tick() - what is due by the clock
 * @ready: the configuration in force knows this sidecar's service
 * @leaving: take no new work and hand back what waits
 */
void skh_attempt_runner_tick(skh_attempt_runner_t *worker, bool ready, bool leaving,
			     int64_t now_us);

/** skh_attempt_runner_fail_all() - end what still runs, so that entries resume it elsewhere */
void skh_attempt_runner_fail_all(skh_attempt_runner_t *worker);

/** skh_attempt_runner_attempt_count() - attempts that have not ended */
size_t skh_attempt_runner_attempt_count(const skh_attempt_runner_t *worker);
const skh_gate_t *skh_attempt_runner_gate(const skh_attempt_runner_t *worker);

/** skh_attempt_runner_newest_revision() - newest configuration that an entry has named */
int64_t skh_attempt_runner_newest_revision(const skh_attempt_runner_t *worker);

#ifdef __cplusplus
}
#endif
#endif
