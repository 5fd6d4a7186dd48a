#ifndef SKH_FRAME_SENDER_H
#define SKH_FRAME_SENDER_H

/**
 * DOC: What a sidecar tells entries
 *
 * Each function sends one frame. The sidecar's status rides on every frame but
 * those of a running answer, and the configuration's revision on all.
 */

#include "board.h"
#include "engine.h"
#include "gate.h"
#include "sidecar_link.h"
#include "settings.h"

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_frame_sender - what the frames are made from; all borrowed */
typedef struct skh_frame_sender {
	const skh_settings_t *settings;
	skh_board_t *board;
	skh_sidecar_link_t *port;
	skh_gate_t *gate;
	uint64_t incarnation;
	skh_engine_t *engine; /* NULL where there are no reports */
} skh_frame_sender_t;

void skh_frame_sender_send_status(const skh_frame_sender_t *teller, const char *entry);

/** skh_frame_sender_send_rejected() - @attempt did not start and never will */
void skh_frame_sender_send_rejected(const skh_frame_sender_t *teller, const char *entry,
				    uint64_t attempt, const skh_error_t *err);
void skh_frame_sender_send_started(const skh_frame_sender_t *teller, const char *entry,
				   uint64_t attempt);

/** skh_frame_sender_send_data() - false when @entry is not connected */
bool skh_frame_sender_send_data(const skh_frame_sender_t *teller, const char *entry,
				Skh__Data *data);

/**
 * struct skh_attempt_result - how an attempt ended
 * @pieces: data frames sent before
 * @err: NULL when the answer is whole
 * @replayed: the answer was recorded by an earlier run
 * @crash: the backend server's crash that ended it; 0 for none
 */
typedef struct skh_attempt_result {
	uint64_t attempt;
	uint64_t n_data_frames;
	const skh_error_t *err;
	bool replayed;
	uint64_t crash_id;
} skh_attempt_result_t;

/** skh_frame_sender_send_end() - nothing follows */
void skh_frame_sender_send_end(const skh_frame_sender_t *teller, const char *entry,
			       const skh_attempt_result_t *ending);

#ifdef __cplusplus
}
#endif
#endif
