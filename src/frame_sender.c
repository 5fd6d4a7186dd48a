#include "frame_sender.h"

#include "clock.h"
#include "metrics.h"

#include <glib.h>

#define RETRY_AFTER_US (1 * SKH_US_PER_S)

/* An engine may have work that did not come through here. */
static void add_engine_load(const skh_frame_sender_t *teller, Skh__Status *status)
{
	skh_engine_view_t view;

	if (!teller->engine)
		return;
	skh_engine_get_view(teller->engine, &view);
	status->running = MAX(status->running, view.running);
	status->queued = MAX(status->queued, view.queued);
}

static void fill_status(const skh_frame_sender_t *teller, Skh__Status *status)
{
	const skh_settings_t *settings = teller->settings;

	status->incarnation = teller->incarnation;
	status->clock_us = skh_clock_now_us();
	status->phase = skh_gate_phase(teller->gate);
	status->service = (char *)settings->backend_service;
	status->failure_domain = (char *)settings->failure_domain;
	status->running = skh_gate_running(teller->gate);
	status->queued = skh_gate_queued(teller->gate);
	status->capacity = (uint32_t)settings->backend_capacity;
	status->group = (char *)settings->backend_group;
	status->rank = (uint32_t)settings->backend_rank;
	status->admin = (char *)settings->admin_listen;
	add_engine_load(teller, status);
}

static bool send_frame(const skh_frame_sender_t *teller, const char *entry, Skh__Frame *frame)
{
	Skh__Status status = SKH__STATUS__INIT;

	if (frame->body_case != SKH__FRAME__BODY_DATA) {
		fill_status(teller, &status);
		frame->status = &status;
	}
	frame->revision = (uint64_t)skh_board_config_revision(teller->board);
	return skh_sidecar_link_send(teller->port, entry, frame);
}

void skh_frame_sender_send_status(const skh_frame_sender_t *teller, const char *entry)
{
	Skh__Frame frame = SKH__FRAME__INIT;

	(void)send_frame(teller, entry, &frame);
}

void skh_frame_sender_send_rejected(const skh_frame_sender_t *teller, const char *entry,
				    uint64_t attempt, const skh_error_t *err)
{
	Skh__Frame frame = SKH__FRAME__INIT;
	Skh__Refuse refuse = SKH__REFUSE__INIT;

	refuse.attempt = attempt;
	refuse.kind = (char *)skh_error_kind_name(err->kind);
	refuse.text = (char *)err->text;
	refuse.retry_after_us =
		err->retry_at_us > 0 ? err->retry_at_us - skh_clock_now_us() : RETRY_AFTER_US;
	frame.body_case = SKH__FRAME__BODY_REFUSE;
	frame.refuse = &refuse;
	(void)send_frame(teller, entry, &frame);
	skh_metrics_add(SKH_COUNT_HANDED_BACK, 1);
}

void skh_frame_sender_send_started(const skh_frame_sender_t *teller, const char *entry,
				   uint64_t attempt)
{
	Skh__Frame frame = SKH__FRAME__INIT;
	Skh__Started started = SKH__STARTED__INIT;

	started.attempt = attempt;
	frame.body_case = SKH__FRAME__BODY_STARTED;
	frame.started = &started;
	(void)send_frame(teller, entry, &frame);
}

bool skh_frame_sender_send_data(const skh_frame_sender_t *teller, const char *entry,
				Skh__Data *data)
{
	Skh__Frame frame = SKH__FRAME__INIT;

	frame.body_case = SKH__FRAME__BODY_DATA;
	frame.data = data;
	return send_frame(teller, entry, &frame);
}

void skh_frame_sender_send_end(const skh_frame_sender_t *teller, const char *entry,
			       const skh_attempt_result_t *ending)
{
	Skh__Frame frame = SKH__FRAME__INIT;
	Skh__End end = SKH__END__INIT;

	end.attempt = ending->attempt;
	end.pieces = ending->n_data_frames;
	end.whole = ending->err == NULL;
	end.replayed = ending->replayed;
	end.crash = ending->crash_id;
	if (ending->err) {
		end.kind = (char *)skh_error_kind_name(ending->err->kind);
		end.text = (char *)ending->err->text;
	}
	frame.body_case = SKH__FRAME__BODY_END;
	frame.end = &end;
	(void)send_frame(teller, entry, &frame);
}
