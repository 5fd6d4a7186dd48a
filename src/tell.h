#ifndef SKH_TELL_H
#define SKH_TELL_H

/**
 * DOC: What a sidecar tells entries
 *
 * Each function sends one frame. The sidecar's status rides on every frame but
 * those of a running answer, and the configuration's revision on all.
 */

#include "board.h"
#include "engine.h"
#include "gate.h"
#include "port.h"
#include "settings.h"

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_teller - what the frames are made from; all borrowed */
typedef struct skh_teller {
	const skh_settings_t *settings;
	skh_board_t *board;
	skh_port_t *port;
	skh_gate_t *gate;
	uint64_t incarnation;
	skh_engine_t *engine; /* NULL where there are no reports */
} skh_teller_t;

void skh_tell_status(const skh_teller_t *teller, const char *entry);

/** skh_tell_refused() - @attempt did not start and never will */
void skh_tell_refused(const skh_teller_t *teller, const char *entry, uint64_t attempt,
		      const skh_error_t *err);
void skh_tell_started(const skh_teller_t *teller, const char *entry, uint64_t attempt);

/** skh_tell_data() - false when @entry is not connected */
bool skh_tell_data(const skh_teller_t *teller, const char *entry, Skh__Data *data);

/**
 * struct skh_ending - how an attempt ended
 * @pieces: data frames sent before
 * @err: NULL when the answer is whole
 * @replayed: the answer was recorded by an earlier run
 * @crash: the backend server's crash that ended it; 0 for none
 */
typedef struct skh_ending {
	uint64_t attempt;
	uint64_t pieces;
	const skh_error_t *err;
	bool replayed;
	uint64_t crash;
} skh_ending_t;

/** skh_tell_end() - nothing follows */
void skh_tell_end(const skh_teller_t *teller, const char *entry, const skh_ending_t *ending);

#ifdef __cplusplus
}
#endif
#endif
