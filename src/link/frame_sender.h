#ifndef SKH_FRAME_SENDER_H
#define SKH_FRAME_SENDER_H

/**
 * DOC: Frame sender
 *
 * Builds the frames that a sidecar sends to entries; each function sends one.
 * Every frame contains the revision of the configuration in force, and every
 * frame except Data also contains the sidecar's status. All calls run on the sidecar's
 * event loop thread and do not block. A frame to an entry that is not connected
 * is dropped.
 */

#include "board.h"
#include "engine.h"
#include "gate.h"
#include "settings.h"
#include "sidecar_link.h"

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_frame_sender - sources of the frames' contents; all borrowed */
typedef struct skh_frame_sender {
	const skh_settings_t *settings;
	skh_board_t *board;
	skh_sidecar_link_t *link;
	skh_gate_t *gate;
	uint64_t incarnation; /* random id of this sidecar process */
	skh_engine_t *engine; /* NULL if the backend server sends no load reports */
} skh_frame_sender_t;

/** skh_frame_sender_send_status() - send a frame with only the status and the revision */
void skh_frame_sender_send_status(const skh_frame_sender_t *sender, const char *entry);

/**
 * skh_frame_sender_send_rejected() - report that an attempt did not start and never will
 * @entry: routing id of the entry
 * @err: cause; the entry may retry at @err->retry_at_us, or after 1 s if that is 0
 */
void skh_frame_sender_send_rejected(const skh_frame_sender_t *sender, const char *entry,
				    uint64_t attempt, const skh_error_t *err);

/** skh_frame_sender_send_started() - report that @attempt was sent to the backend server */
void skh_frame_sender_send_started(const skh_frame_sender_t *sender, const char *entry,
				   uint64_t attempt);

/** skh_frame_sender_send_data() - send part of a response; false when @entry is not connected */
bool skh_frame_sender_send_data(const skh_frame_sender_t *sender, const char *entry,
				Skh__Data *data);

/**
 * struct skh_attempt_result - result of an attempt that was not rejected
 * @n_data_frames: data frames sent for the attempt
 * @err: NULL when the response is complete
 * @is_replay: the response was recorded by an earlier run
 * @crash_id: backend server crash that ended the attempt; 0 for none
 */
typedef struct skh_attempt_result {
	uint64_t attempt;
	uint64_t n_data_frames;
	const skh_error_t *err;
	bool is_replay;
	uint64_t crash_id;
} skh_attempt_result_t;

/** skh_frame_sender_send_end() - send an attempt's last frame */
void skh_frame_sender_send_end(const skh_frame_sender_t *sender, const char *entry,
			       const skh_attempt_result_t *result);

#ifdef __cplusplus
}
#endif
#endif
