#ifndef SKH_ATTEMPT_RUNNER_H
#define SKH_ATTEMPT_RUNNER_H

/**
 * DOC: Attempt runner
 *
 * Runs the attempts of one sidecar, from the Start frame to the End frame:
 * admission by the gate, a claim for non-idempotent requests with an
 * idempotency key, the transfer to the backend server, and the response in data
 * frames. It owns the gate, the transfers and the claim writer. One thread makes
 * all calls. Times are in microseconds on the monotonic clock.
 */

#include "backend.h"
#include "board.h"
#include "engine.h"
#include "gate.h"
#include "settings.h"
#include "sidecar_link.h"
#include "store.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_attempt_runner skh_attempt_runner_t;

/**
 * skh_attempt_runner_new() - new attempt runner with a random incarnation; borrows all arguments
 * @engine: source of the engine's load reports; may be NULL
 */
skh_attempt_runner_t *skh_attempt_runner_new(const skh_settings_t *settings, skh_board_t *board,
					     skh_store_t *store, skh_sidecar_link_t *link,
					     skh_backend_t *backend, skh_engine_t *engine);

/** skh_attempt_runner_free() - stop the claim writer and free @runner with its attempts */
void skh_attempt_runner_free(skh_attempt_runner_t *runner);

/** skh_attempt_runner_on_frame() - handle @frame from @entry (routing id); takes ownership */
void skh_attempt_runner_on_frame(skh_attempt_runner_t *runner, const char *entry,
				 Skh__Frame *frame);

/** skh_attempt_runner_poll() - run transfers; return after an event or at @deadline_us */
void skh_attempt_runner_poll(skh_attempt_runner_t *runner, int64_t deadline_us);

/**
 * skh_attempt_runner_tick() - do the periodic work: expiry, backlog, status changes
 * @ready: the configuration in force contains this sidecar's service
 * @leaving: reject new and queued attempts
 */
void skh_attempt_runner_tick(skh_attempt_runner_t *runner, bool ready, bool leaving,
			     int64_t now_us);

/** skh_attempt_runner_fail_all() - end all attempts with an error; entries retry or resume them */
void skh_attempt_runner_fail_all(skh_attempt_runner_t *runner);

/** skh_attempt_runner_attempt_count() - number of attempts that have not ended */
size_t skh_attempt_runner_attempt_count(const skh_attempt_runner_t *runner);

/** skh_attempt_runner_gate() - the gate, borrowed */
const skh_gate_t *skh_attempt_runner_gate(const skh_attempt_runner_t *runner);

/** skh_attempt_runner_newest_revision() - newest configuration revision reported by an entry */
int64_t skh_attempt_runner_newest_revision(const skh_attempt_runner_t *runner);

#ifdef __cplusplus
}
#endif
#endif
