#include "frame_sender.h"

#include "clock.h"
#include "metrics.h"

#include <glib.h>

#define DEFAULT_RETRY_AFTER_US (1 * SKH_US_PER_S)

/* The engine may have requests that did not pass through this sidecar. */
static void add_engine_load(const skh_frame_sender_t *sender, Skh__Status *status)
{
	skh_engine_view_t view;

	if (!sender->engine)
		return;
	skh_engine_get_view(sender->engine, &view);
	status->running = MAX(status->running, view.running);
	status->queued = MAX(status->queued, view.queued);
}

static void fill_status(const skh_frame_sender_t *sender, Skh__Status *status)
{
	const skh_settings_t *settings = sender->settings;

	status->incarnation = sender->incarnation;
	status->clock_us = skh_clock_now_us();
	status->phase = skh_gate_phase(sender->gate);
	status->service = (char *)settings->backend_service;
	status->failure_domain = (char *)settings->failure_domain;
	status->running = skh_gate_running(sender->gate);
	status->queued = skh_gate_queued(sender->gate);
	status->capacity = (uint32_t)settings->backend_capacity;
	status->group = (char *)settings->backend_group;
	status->rank = (uint32_t)settings->backend_rank;
	status->admin = (char *)settings->admin_listen;
	add_engine_load(sender, status);
}

static bool send_frame(const skh_frame_sender_t *sender, const char *entry, Skh__Frame *frame)
{
	Skh__Status status = SKH__STATUS__INIT;

	if (frame->body_case != SKH__FRAME__BODY_DATA) {
		fill_status(sender, &status);
		frame->status = &status;
	}
	frame->revision = (uint64_t)skh_board_config_revision(sender->board);
	return skh_sidecar_link_send(sender->link, entry, frame);
}

void skh_frame_sender_send_status(const skh_frame_sender_t *sender, const char *entry)
{
	Skh__Frame frame = SKH__FRAME__INIT;

	(void)send_frame(sender, entry, &frame);
}

void skh_frame_sender_send_rejected(const skh_frame_sender_t *sender, const char *entry,
				    uint64_t attempt, const skh_error_t *err)
{
	Skh__Frame frame = SKH__FRAME__INIT;
	Skh__Refuse refuse = SKH__REFUSE__INIT;

	refuse.attempt = attempt;
	refuse.kind = (char *)skh_error_kind_name(err->kind);
	refuse.text = (char *)err->text;
	refuse.retry_after_us = err->retry_at_us > 0 ? err->retry_at_us - skh_clock_now_us()
						     : DEFAULT_RETRY_AFTER_US;
	frame.body_case = SKH__FRAME__BODY_REFUSE;
	frame.refuse = &refuse;
	(void)send_frame(sender, entry, &frame);
	skh_metrics_add(SKH_COUNT_HANDED_BACK, 1);
}

void skh_frame_sender_send_started(const skh_frame_sender_t *sender, const char *entry,
				   uint64_t attempt)
{
	Skh__Frame frame = SKH__FRAME__INIT;
	Skh__Started started = SKH__STARTED__INIT;

	started.attempt = attempt;
	frame.body_case = SKH__FRAME__BODY_STARTED;
	frame.started = &started;
	(void)send_frame(sender, entry, &frame);
}

bool skh_frame_sender_send_data(const skh_frame_sender_t *sender, const char *entry,
				Skh__Data *data)
{
	Skh__Frame frame = SKH__FRAME__INIT;

	frame.body_case = SKH__FRAME__BODY_DATA;
	frame.data = data;
	return send_frame(sender, entry, &frame);
}

void skh_frame_sender_send_end(const skh_frame_sender_t *sender, const char *entry,
			       const skh_attempt_result_t *result)
{
	Skh__Frame frame = SKH__FRAME__INIT;
	Skh__End end = SKH__END__INIT;

	end.attempt = result->attempt;
	end.pieces = result->n_data_frames;
	end.whole = result->err == NULL;
	end.replayed = result->is_replay;
	end.crash = result->crash_id;
	if (result->err) {
		end.kind = (char *)skh_error_kind_name(result->err->kind);
		end.text = (char *)result->err->text;
	}
	frame.body_case = SKH__FRAME__BODY_END;
	frame.end = &end;
	(void)send_frame(sender, entry, &frame);
}
