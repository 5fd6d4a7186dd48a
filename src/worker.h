#ifndef SKH_WORKER_H
#define SKH_WORKER_H

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
#include "port.h"
#include "settings.h"
#include "store.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_worker skh_worker_t;

/** skh_worker_new() - all arguments are borrowed; @engine may be NULL */
skh_worker_t *skh_worker_new(const skh_settings_t *settings, skh_board_t *board, skh_store_t *store,
			     skh_port_t *port, skh_backend_t *backend, skh_engine_t *engine);
void skh_worker_free(skh_worker_t *worker);

/** skh_worker_on_frame() - an entry's frame; takes ownership of @frame */
void skh_worker_on_frame(skh_worker_t *worker, const char *entry, Skh__Frame *frame);

/** skh_worker_wait() - run transfers until something happens or @until_us */
void skh_worker_wait(skh_worker_t *worker, int64_t until_us);

/**
 * skh_worker_tick() - what is due by the clock
 * @ready: the configuration in force knows this sidecar's service
 * @leaving: take no new work and hand back what waits
 */
void skh_worker_tick(skh_worker_t *worker, bool ready, bool leaving, int64_t now_us);

/** skh_worker_abandon_rest() - end what still runs, so that entries resume it elsewhere */
void skh_worker_abandon_rest(skh_worker_t *worker);

/** skh_worker_count() - attempts that have not ended */
size_t skh_worker_count(const skh_worker_t *worker);
const skh_gate_t *skh_worker_gate(const skh_worker_t *worker);

/** skh_worker_newest_revision() - newest configuration that an entry has named */
int64_t skh_worker_newest_revision(const skh_worker_t *worker);

#ifdef __cplusplus
}
#endif
#endif
