#include "attempt_runner.h"

#include "claim_backlog.h"
#include "claim_writer.h"
#include "clock.h"
#include "fetch.h"
#include "frame_sender.h"
#include "metrics.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

#define ENTRY_EXPIRY_US		(300 * SKH_US_PER_S)
#define RECORD_TIMEOUT_US	(1 * SKH_US_PER_S)
#define CLAIM_BATCH_INTERVAL_US (20 * SKH_US_PER_MS)
/* Connections that close within this time are attributed to the same crash. */
#define SAME_CRASH_WINDOW_US (5 * SKH_US_PER_S)
/* A crash suspect that has produced this many stream events no longer counts as one. */
#define SUSPECT_CLEAR_EVENTS 32

/* Progress of an attempt. */
typedef enum attempt_step {
	STEP_QUEUED,	/* in the gate's queue */
	STEP_CLAIMING,	/* the claim is being written; nothing has run */
	STEP_RUNNING,	/* at the backend server */
	STEP_RECORDING, /* ran; the response is being recorded */
	STEP_RELEASING	/* did not run; the claim is being released */
} attempt_step_t;

/* One attempt that the gate has admitted. */
typedef struct attempt {
	uint64_t id;
	attempt_step_t step;
	char entry[SKH_SIDECAR_LINK_PEER_BYTES];
	Skh__Frame *frame; /* the Start frame, owned */
	skh_response_parser_t parser;
	uint64_t n_data_frames;
	uint64_t n_events;
	uint64_t sent_bytes;
	uint64_t credited_bytes;
	bool is_head_sent;
	bool is_entry_unreachable; /* a data frame could not be sent */
	/* Only of attempts that need a claim: */
	char *claim_path;
	skh_claim_t claim;
	int64_t claim_revision; /* mod revision of the stored record; 0 for none */
	int64_t end_deadline_us; /* then the End frame is sent even if the response is not recorded */
	bool is_end_sent;
	skh_error_t rejection; /* sent once the claim is released */
} attempt_t;

struct skh_attempt_runner {
	const skh_settings_t *settings;
	skh_frame_sender_t frame_sender;
	skh_gate_t *gate;
	skh_fetch_t *fetch;
	skh_backend_t *backend;
	skh_claim_writer_t *claim_writer;
	skh_claim_backlog_t *backlog; /* records to write once the key-value service is available */
	uint64_t n_cancels;	      /* makes the ids of cancel transfers unique */
	GHashTable *attempts;	      /* id -> attempt_t */
	GHashTable *entries; /* routing id -> time of the last frame in microseconds, int64_t */
	skh_buffer_t data_buffer; /* reused for each data frame */
	int64_t newest_revision;  /* newest configuration revision reported by any entry */
	uint64_t crash_id;	  /* latest crash of the backend server; 0 for none */
	int64_t crash_at_us;
	bool can_start_queued;	    /* the gate may start a queued attempt */
	skh_phase_t reported_phase; /* last phase sent to the entries */
};

static void free_attempt(gpointer item)
{
	attempt_t *attempt = item;

	skh_wire_free(attempt->frame);
	skh_buffer_free(&attempt->parser.partial_event);
	skh_claim_clear(&attempt->claim);
	g_free(attempt->claim_path);
	g_free(attempt);
}

static attempt_t *find_attempt(const skh_attempt_runner_t *runner, uint64_t id)
{
	return g_hash_table_lookup(runner->attempts, &id);
}

static bool needs_claim(const attempt_t *attempt)
{
	const Skh__Start *start = attempt->frame->start;

	return !start->idempotent && *start->key;
}

static void run_attempt(skh_attempt_runner_t *runner, attempt_t *attempt)
{
	const Skh__Start *start = attempt->frame->start;

	attempt->step = STEP_RUNNING;
	skh_metrics_add(SKH_COUNT_STARTED, 1);
	skh_frame_sender_send_started(&runner->frame_sender, attempt->entry, attempt->id);
	runner->backend->ops->start(runner->backend, runner->fetch, start, start->finish_before_us,
				    skh_clock_now_us());
}

static void submit_claim(skh_attempt_runner_t *runner, attempt_t *attempt)
{
	g_autofree char *value = skh_claim_encode(&attempt->claim);

	skh_claim_writer_submit(runner->claim_writer, attempt->id, attempt->claim_path, value,
				attempt->claim_revision);
}

static void claim_attempt(skh_attempt_runner_t *runner, attempt_t *attempt)
{
	const Skh__Start *start = attempt->frame->start;

	attempt->step = STEP_CLAIMING;
	attempt->claim_path =
		skh_claim_store_key(runner->settings->store_prefix, start->customer, start->key);
	attempt->claim.state = SKH_CLAIM_CLAIMED;
	attempt->claim.owner = g_strdup_printf("%016" PRIx64 "-%016" PRIx64,
					       runner->frame_sender.incarnation, attempt->id);
	attempt->claim.content_hash = skh_wire_hash_request(start);
	submit_claim(runner, attempt);
}

static void start_attempt(skh_attempt_runner_t *runner, attempt_t *attempt)
{
	if (needs_claim(attempt))
		claim_attempt(runner, attempt);
	else
		run_attempt(runner, attempt);
}

static void start_queued(skh_attempt_runner_t *runner)
{
	uint64_t id;

	while ((id = skh_gate_start_next(runner->gate, skh_clock_now_us())) != 0)
		start_attempt(runner, find_attempt(runner, id));
}

static void remove_attempt(skh_attempt_runner_t *runner, uint64_t id, bool started)
{
	skh_gate_finish(runner->gate, id, started);
	g_hash_table_remove(runner->attempts, &id);
	start_queued(runner);
}

/* Rejects an attempt that the gate started but that did not reach the backend server. */
static void reject_attempt(skh_attempt_runner_t *runner, attempt_t *attempt, const skh_error_t *err)
{
	skh_frame_sender_send_rejected(&runner->frame_sender, attempt->entry, attempt->id, err);
	remove_attempt(runner, attempt->id, false);
}

static void reject_queued(skh_attempt_runner_t *runner, uint64_t id, skh_error_kind_t kind,
			  const char *text)
{
	attempt_t *attempt = find_attempt(runner, id);
	skh_error_t err;

	(void)skh_error_set(&err, kind, "%s", text);
	skh_frame_sender_send_rejected(&runner->frame_sender, attempt->entry, id, &err);
	g_hash_table_remove(runner->attempts, &id);
}

/*
 * Records in the claim that nothing ran, and sends the rejection afterwards: only then can a retry
 * claim the key again.
 */
static void release_claim_and_reject(skh_attempt_runner_t *runner, attempt_t *attempt,
				     const skh_error_t *err)
{
	if (attempt->claim_revision == 0) {
		reject_attempt(runner, attempt, err);
		return;
	}
	attempt->step = STEP_RELEASING;
	attempt->rejection = *err;
	attempt->claim.state = SKH_CLAIM_NOT_RUN;
	submit_claim(runner, attempt);
}

/* Return: id of the crash that caused @err; attempts that end together get the same; 0 for none. */
static uint64_t get_crash_id(skh_attempt_runner_t *runner, const skh_error_t *err)
{
	int64_t now_us = skh_clock_now_us();

	if (!err || err->kind != SKH_BACKEND_LOST)
		return 0;
	if (runner->crash_id == 0 || now_us - runner->crash_at_us > SAME_CRASH_WINDOW_US) {
		runner->crash_id = skh_random_u64() | 1;
		runner->crash_at_us = now_us;
	}
	return runner->crash_id;
}

static void send_end(skh_attempt_runner_t *runner, attempt_t *attempt, const skh_error_t *err,
		     bool replayed)
{
	const skh_attempt_result_t result = { attempt->id, attempt->n_data_frames, err, replayed,
					      get_crash_id(runner, err) };

	if (!attempt->is_end_sent)
		skh_frame_sender_send_end(&runner->frame_sender, attempt->entry, &result);
	attempt->is_end_sent = true;
}

static void end_attempt(skh_attempt_runner_t *runner, attempt_t *attempt, const skh_error_t *err)
{
	send_end(runner, attempt, err, false);
	remove_attempt(runner, attempt->id, true);
}

/* Closes the transfer of a running attempt and asks the backend server to cancel it. */
static void cancel_attempt(skh_attempt_runner_t *runner, uint64_t id)
{
	uint64_t transfer_id = SKH_WIRE_LOCAL_ID_BIT | ++runner->n_cancels;

	skh_fetch_cancel(runner->fetch, id);
	runner->backend->ops->cancel(runner->backend, runner->fetch, id, transfer_id,
				     skh_clock_now_us());
	skh_metrics_add(SKH_COUNT_CANCELS, 1);
	remove_attempt(runner, id, true);
}

static void reject_evicted(skh_attempt_runner_t *runner)
{
	uint64_t id;

	while ((id = skh_gate_pop_evicted(runner->gate)) != 0)
		reject_queued(runner, id, SKH_OVERLOADED,
			      "evicted from the full queue by a request of higher priority or of "
			      "a customer below its share");
}

static void on_start(skh_attempt_runner_t *runner, const char *entry, Skh__Frame *frame)
{
	skh_error_t err;
	uint64_t id = frame->start->attempt;
	skh_gate_decision_t decision =
		skh_gate_admit(runner->gate, frame->start, skh_clock_now_us(), &err);
	attempt_t *attempt;

	if (decision == SKH_GATE_DECISION_REJECT)
		skh_frame_sender_send_rejected(&runner->frame_sender, entry, id, &err);
	reject_evicted(runner);
	if (decision != SKH_GATE_DECISION_START && decision != SKH_GATE_DECISION_QUEUE) {
		skh_wire_free(frame);
		return;
	}
	attempt = g_new0(attempt_t, 1);
	attempt->id = id;
	attempt->frame = frame;
	attempt->credited_bytes = (uint64_t)runner->settings->window_bytes;
	(void)g_strlcpy(attempt->entry, entry, sizeof(attempt->entry));
	g_hash_table_insert(runner->attempts, &attempt->id, attempt);
	if (decision == SKH_GATE_DECISION_START)
		start_attempt(runner, attempt);
}

static void on_cancel(skh_attempt_runner_t *runner, uint64_t id)
{
	attempt_t *attempt = find_attempt(runner, id);
	skh_gate_decision_t decision;

	if (!attempt)
		return;
	decision = skh_gate_cancel(runner->gate, id);
	if (decision == SKH_GATE_DECISION_REJECT) {
		reject_queued(runner, id, SKH_CANCELLED,
			      "the attempt was cancelled before it started");
		return;
	}
	/* A non-idempotent attempt runs to its end: a partial run could not be retried. */
	if (decision == SKH_GATE_DECISION_ALREADY_STARTED && attempt->frame->start->idempotent)
		cancel_attempt(runner, id);
}

static void on_credit(skh_attempt_runner_t *runner, const Skh__Credit *credit)
{
	attempt_t *attempt = find_attempt(runner, credit->attempt);

	if (!attempt)
		return;
	attempt->credited_bytes += credit->bytes;
	if (attempt->sent_bytes < attempt->credited_bytes)
		skh_fetch_set_paused(runner->fetch, attempt->id, false);
}

static void on_ask(skh_attempt_runner_t *runner, const char *entry, const Skh__Ask *ask)
{
	const skh_frame_sender_t *frame_sender = &runner->frame_sender;
	const attempt_t *attempt = find_attempt(runner, ask->attempt);
	skh_error_t err;

	switch (skh_gate_resolve(runner->gate, ask->attempt, ask->incarnation, ask->start_before_us,
				 skh_clock_now_us())) {
	case SKH_ATTEMPT_STATUS_QUEUED:
		break;
	case SKH_ATTEMPT_STATUS_RUNNING:
		if (attempt->step == STEP_RUNNING || attempt->step == STEP_RECORDING)
			skh_frame_sender_send_started(frame_sender, entry, ask->attempt);
		break;
	case SKH_ATTEMPT_STATUS_REJECTED:
		(void)skh_error_set(&err, SKH_STALE, "the attempt never started at this sidecar");
		skh_frame_sender_send_rejected(frame_sender, entry, ask->attempt, &err);
		break;
	case SKH_ATTEMPT_STATUS_ENDED:
	case SKH_ATTEMPT_STATUS_UNKNOWN:
		(void)skh_error_set(&err, SKH_OUTCOME_UNKNOWN,
				    "the response of the attempt was lost in transit");
		skh_frame_sender_send_end(
			frame_sender, entry,
			&(skh_attempt_result_t){ ask->attempt, 0, &err, false, 0 });
		break;
	}
}

static void record_entry(skh_attempt_runner_t *runner, const char *entry, int64_t revision)
{
	int64_t *last_received_us = g_hash_table_lookup(runner->entries, entry);

	if (!last_received_us) {
		last_received_us = g_new(int64_t, 1);
		g_hash_table_insert(runner->entries, g_strdup(entry), last_received_us);
	}
	*last_received_us = skh_clock_now_us();
	runner->newest_revision = MAX(runner->newest_revision, revision);
}

void skh_attempt_runner_on_frame(skh_attempt_runner_t *runner, const char *entry, Skh__Frame *frame)
{
	record_entry(runner, entry, (int64_t)frame->revision);
	switch (frame->body_case) {
	case SKH__FRAME__BODY_START:
		on_start(runner, entry, frame);
		return;
	case SKH__FRAME__BODY_HELLO:
		skh_frame_sender_send_status(&runner->frame_sender, entry);
		break;
	case SKH__FRAME__BODY_CANCEL:
		on_cancel(runner, frame->cancel->attempt);
		break;
	case SKH__FRAME__BODY_CREDIT:
		on_credit(runner, frame->credit);
		break;
	case SKH__FRAME__BODY_ASK:
		on_ask(runner, entry, frame->ask);
		break;
	default:
		break;
	}
	skh_wire_free(frame);
}

static void send_data(skh_attempt_runner_t *runner, attempt_t *attempt, skh_chunk_t bytes,
		      int32_t status, const char *content_type, uint32_t events)
{
	Skh__Data data = SKH__DATA__INIT;

	data.attempt = attempt->id;
	data.seq = attempt->n_data_frames++;
	data.bytes.data = (uint8_t *)bytes.data;
	data.bytes.len = bytes.len;
	data.events = events;
	if (!attempt->is_head_sent) {
		data.http_status = (uint32_t)status;
		data.content_type = (char *)content_type;
		attempt->is_head_sent = true;
	}
	attempt->sent_bytes += bytes.len;
	if (!skh_frame_sender_send_data(&runner->frame_sender, attempt->entry, &data))
		attempt->is_entry_unreachable = true;
}

static void buffer_for_claim(attempt_t *attempt, skh_chunk_t bytes)
{
	if (attempt->claim.response.len + bytes.len <= SKH_CLAIM_MAX_RESPONSE_BYTES)
		skh_buffer_append(&attempt->claim.response, bytes);
	else
		attempt->claim.has_response = false;
}

static void count_events(skh_attempt_runner_t *runner, attempt_t *attempt, uint32_t events)
{
	bool was_past_limit = attempt->n_events >= SUSPECT_CLEAR_EVENTS;

	attempt->n_events += events;
	if (was_past_limit || attempt->n_events < SUSPECT_CLEAR_EVENTS)
		return;
	skh_gate_clear_suspect(runner->gate, attempt->id);
	/* Start queued attempts later: libcurl accepts no new transfer inside its callback. */
	runner->can_start_queued = true;
}

static void on_bytes(void *context, uint64_t id, int32_t status, const char *content_type,
		     skh_chunk_t bytes)
{
	skh_attempt_runner_t *runner = context;
	attempt_t *attempt = find_attempt(runner, id);
	uint32_t events;

	if (!attempt)
		return;
	skh_buffer_clear(&runner->data_buffer);
	events = runner->backend->ops->parse_chunk(&attempt->parser, content_type, bytes,
						   &runner->data_buffer);
	if (needs_claim(attempt))
		buffer_for_claim(attempt, bytes);
	if (runner->data_buffer.len > 0)
		send_data(runner, attempt, skh_buffer_chunk(&runner->data_buffer), status,
			  content_type, events);
	if (attempt->sent_bytes >= attempt->credited_bytes)
		skh_fetch_set_paused(runner->fetch, id, true);
	count_events(runner, attempt, events);
}

static void record_response(skh_attempt_runner_t *runner, attempt_t *attempt, int32_t status,
			    const char *content_type)
{
	attempt->step = STEP_RECORDING;
	attempt->end_deadline_us = skh_clock_now_us() + RECORD_TIMEOUT_US;
	attempt->claim.state = SKH_CLAIM_DONE;
	attempt->claim.status = status;
	attempt->claim.content_type = g_strdup(content_type);
	submit_claim(runner, attempt);
}

static void finish_attempt(skh_attempt_runner_t *runner, attempt_t *attempt, int32_t status,
			   const char *content_type)
{
	/* The first data frame carries the status, so a response without a body needs one, too. */
	if (!attempt->is_head_sent)
		send_data(runner, attempt, skh_chunk_from_string(""), status, content_type, 0);
	if (needs_claim(attempt))
		record_response(runner, attempt, status, content_type);
	else
		end_attempt(runner, attempt, NULL);
}

static void on_done(void *context, uint64_t id, int32_t status, const char *content_type,
		    const skh_error_t *err)
{
	skh_attempt_runner_t *runner = context;
	attempt_t *attempt = find_attempt(runner, id);
	skh_error_t incomplete;

	if (!attempt)
		return;
	if (err && err->kind == SKH_NO_BACKEND) {
		release_claim_and_reject(runner, attempt, err);
		return;
	}
	if (!err && !runner->backend->ops->is_complete(&attempt->parser, status)) {
		(void)skh_error_set(&incomplete, SKH_BACKEND_FAILED,
				    "the backend server's response has no end marker");
		err = &incomplete;
	}
	if (err)
		end_attempt(runner, attempt, err);
	else
		finish_attempt(runner, attempt, status, content_type);
}

static void replay_response(skh_attempt_runner_t *runner, attempt_t *attempt,
			    const skh_claim_t *found)
{
	skh_error_t err;

	skh_metrics_add(SKH_COUNT_CLAIM_REPLAYS, 1);
	if (!found->has_response) {
		(void)skh_error_set(&err, SKH_ALREADY_RAN,
				    "the request ran; its response was too long to be recorded");
		end_attempt(runner, attempt, &err);
		return;
	}
	send_data(runner, attempt, skh_buffer_chunk(&found->response), found->status,
		  found->content_type, 0);
	send_end(runner, attempt, NULL, true);
	remove_attempt(runner, attempt->id, true);
}

static void on_claim_conflict(skh_attempt_runner_t *runner, attempt_t *attempt,
			      const skh_claim_result_t *result)
{
	skh_claim_t found = { 0 };
	skh_error_t err;

	if (!result->found_value) {
		(void)skh_error_set(&err, SKH_OUTCOME_UNKNOWN,
				    "the claim record of the idempotency key was deleted");
		end_attempt(runner, attempt, &err);
		return;
	}
	if (!skh_claim_decode(result->found_value, &found, &err)) {
		end_attempt(runner, attempt, &err);
		return;
	}
	switch (skh_claim_decide(&found, attempt->claim.owner, attempt->claim.content_hash)) {
	case SKH_CLAIM_DECISION_REPLAY:
		replay_response(runner, attempt, &found);
		break;
	case SKH_CLAIM_DECISION_REPLACE:
		attempt->claim_revision = result->mod_revision;
		submit_claim(runner, attempt);
		break;
	case SKH_CLAIM_DECISION_KEY_REUSED:
		(void)skh_error_set(&err, SKH_KEY_REUSED,
				    "the key was used before with another request");
		reject_attempt(runner, attempt, &err);
		break;
	case SKH_CLAIM_DECISION_OWN_CLAIM:
	case SKH_CLAIM_DECISION_OUTCOME_UNKNOWN:
		skh_metrics_add(SKH_COUNT_CLAIM_UNFINISHED, 1);
		(void)skh_error_set(&err, SKH_OUTCOME_UNKNOWN,
				    "an earlier request with this key has no recorded end");
		end_attempt(runner, attempt, &err);
		break;
	}
	skh_claim_clear(&found);
}

static void on_claimed(skh_attempt_runner_t *runner, attempt_t *attempt,
		       const skh_claim_result_t *result)
{
	skh_error_t err;

	attempt->claim_revision = result->mod_revision;
	if (skh_clock_now_us() >= attempt->frame->start->start_before_us) {
		(void)skh_error_set(&err, SKH_STALE, "the attempt could not start in time");
		release_claim_and_reject(runner, attempt, &err);
		return;
	}
	/* Reset by buffer_for_claim() when the response is too long to be recorded. */
	attempt->claim.has_response = true;
	run_attempt(runner, attempt);
}

static void add_to_backlog(skh_attempt_runner_t *runner, attempt_t *attempt,
			   skh_claim_state_t state)
{
	attempt->claim.state = state;
	skh_claim_backlog_add(runner->backlog, attempt->claim_path, &attempt->claim,
			      attempt->claim_revision, skh_clock_now_us());
}

static void on_backlog_result(skh_attempt_runner_t *runner, const skh_claim_result_t *result)
{
	int64_t now_us = skh_clock_now_us();

	if (result->state == SKH_WRITE_DONE)
		skh_claim_backlog_mark_written(runner->backlog, result->id);
	else if (result->state == SKH_WRITE_CONFLICT)
		skh_claim_backlog_resolve_conflict(runner->backlog, result->id, result->found_value,
						   result->mod_revision, now_us);
	else
		skh_claim_backlog_mark_failed(runner->backlog, result->id, now_us);
}

static void submit_backlog(skh_attempt_runner_t *runner, int64_t now_us)
{
	skh_claim_backlog_write_t write;

	while (skh_claim_backlog_next_due(runner->backlog, now_us, &write))
		skh_claim_writer_submit(runner->claim_writer, write.id, write.store_key,
					write.value, write.expected_revision);
}

static void on_claim_written(skh_attempt_runner_t *runner, attempt_t *attempt,
			     skh_claim_result_t *result)
{
	skh_error_t err;

	if (result->state == SKH_WRITE_DONE) {
		on_claimed(runner, attempt, result);
	} else if (result->state == SKH_WRITE_CONFLICT) {
		on_claim_conflict(runner, attempt, result);
	} else {
		/* The attempt does not run, whether or not the claim is stored. */
		if (result->err.kind == SKH_STORE_UNKNOWN)
			add_to_backlog(runner, attempt, SKH_CLAIM_NOT_RUN);
		(void)skh_error_set(&err, SKH_STORE_UNAVAILABLE, "%s", result->err.text);
		reject_attempt(runner, attempt, &err);
	}
}

static void on_claim_result(skh_attempt_runner_t *runner, skh_claim_result_t *result)
{
	attempt_t *attempt = find_attempt(runner, result->id);

	if (!attempt)
		return;
	switch (attempt->step) {
	case STEP_CLAIMING:
		on_claim_written(runner, attempt, result);
		break;
	case STEP_RECORDING:
		if (result->state == SKH_WRITE_FAILED)
			add_to_backlog(runner, attempt, SKH_CLAIM_DONE);
		end_attempt(runner, attempt, NULL);
		break;
	case STEP_RELEASING:
		if (result->state == SKH_WRITE_FAILED)
			add_to_backlog(runner, attempt, SKH_CLAIM_NOT_RUN);
		reject_attempt(runner, attempt, &attempt->rejection);
		break;
	default:
		break;
	}
}

static void handle_claim_results(skh_attempt_runner_t *runner)
{
	skh_claim_result_t *result;

	while ((result = skh_claim_writer_poll_result(runner->claim_writer)) != NULL) {
		if (result->id & SKH_WIRE_LOCAL_ID_BIT)
			on_backlog_result(runner, result);
		else
			on_claim_result(runner, result);
		skh_claim_result_free(result);
	}
}

/* Sends the ends of attempts whose response the key-value service did not record in time. */
static void send_overdue_ends(skh_attempt_runner_t *runner, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, runner->attempts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		attempt_t *attempt = value;

		if (attempt->step == STEP_RECORDING && now_us >= attempt->end_deadline_us)
			send_end(runner, attempt, NULL, false);
	}
}

static bool is_undeliverable(const attempt_t *attempt)
{
	return attempt->is_entry_unreachable && attempt->step == STEP_RUNNING &&
	       attempt->frame->start->idempotent;
}

/*
 * Cancels attempts that have lost a data frame, because the entry rejects a response with a gap. A
 * non-idempotent attempt runs to its end: a partial run could not be retried.
 */
static void cancel_undeliverable(skh_attempt_runner_t *runner)
{
	g_autoptr(GArray) undeliverable = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, runner->attempts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const attempt_t *attempt = value;

		if (is_undeliverable(attempt))
			g_array_append_val(undeliverable, attempt->id);
	}
	for (guint i = 0; i < undeliverable->len; i++)
		cancel_attempt(runner, g_array_index(undeliverable, uint64_t, i));
}

static void send_status_to_entries(skh_attempt_runner_t *runner, int64_t now_us)
{
	GHashTableIter iter;
	gpointer entry;
	gpointer last_received_us;

	runner->reported_phase = skh_gate_phase(runner->gate);
	g_hash_table_iter_init(&iter, runner->entries);
	while (g_hash_table_iter_next(&iter, &entry, &last_received_us)) {
		if (*(int64_t *)last_received_us + ENTRY_EXPIRY_US < now_us)
			g_hash_table_iter_remove(&iter);
		else
			skh_frame_sender_send_status(&runner->frame_sender, entry);
	}
}

void skh_attempt_runner_tick(skh_attempt_runner_t *runner, bool ready, bool leaving, int64_t now_us)
{
	uint64_t id;

	skh_gate_set_leaving(runner->gate, leaving);
	if (ready)
		skh_gate_open(runner->gate);
	while ((id = skh_gate_reject_next(runner->gate)) != 0)
		reject_queued(runner, id, SKH_LEAVING, "the backend server is leaving");
	while ((id = skh_gate_expire_next(runner->gate, now_us)) != 0)
		reject_queued(runner, id, SKH_OVERLOADED, "the attempt could not start in time");
	send_overdue_ends(runner, now_us);
	submit_backlog(runner, now_us);
	cancel_undeliverable(runner);
	start_queued(runner);
	if (skh_gate_phase(runner->gate) != runner->reported_phase)
		send_status_to_entries(runner, now_us);
}

void skh_attempt_runner_fail_all(skh_attempt_runner_t *runner)
{
	GHashTableIter iter;
	gpointer value;
	skh_error_t err;

	(void)skh_error_set(&err, SKH_BACKEND_FAILED,
			    "the sidecar of the backend server stopped at its drain deadline");
	g_hash_table_iter_init(&iter, runner->attempts);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		send_end(runner, value, &err, false);
}

void skh_attempt_runner_poll(skh_attempt_runner_t *runner, int64_t deadline_us)
{
	skh_fetch_poll(runner->fetch, deadline_us);
	if (runner->can_start_queued)
		start_queued(runner);
	runner->can_start_queued = false;
	handle_claim_results(runner);
}

size_t skh_attempt_runner_attempt_count(const skh_attempt_runner_t *runner)
{
	return g_hash_table_size(runner->attempts);
}

const skh_gate_t *skh_attempt_runner_gate(const skh_attempt_runner_t *runner)
{
	return runner->gate;
}

int64_t skh_attempt_runner_newest_revision(const skh_attempt_runner_t *runner)
{
	return runner->newest_revision;
}

static const skh_fetch_ops_t fetch_ops = { .on_body = on_bytes, .on_done = on_done };

skh_attempt_runner_t *skh_attempt_runner_new(const skh_settings_t *settings, skh_board_t *board,
					     skh_store_t *store, skh_sidecar_link_t *link,
					     skh_backend_t *backend, skh_engine_t *engine)
{
	skh_attempt_runner_t *runner = g_new0(skh_attempt_runner_t, 1);
	uint64_t incarnation = skh_random_u64() | 1;

	runner->settings = settings;
	runner->gate = skh_gate_new((uint32_t)settings->backend_capacity,
				    (uint32_t)settings->backend_queue, incarnation);
	runner->frame_sender =
		(skh_frame_sender_t){ settings, board, link, runner->gate, incarnation, engine };
	runner->attempts = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_attempt);
	runner->entries = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	runner->fetch = skh_fetch_new(&fetch_ops, runner);
	runner->claim_writer = skh_claim_writer_start(store, CLAIM_BATCH_INTERVAL_US);
	runner->backlog = skh_claim_backlog_new();
	runner->backend = backend;
	skh_fetch_watch_fd(runner->fetch, skh_sidecar_link_fd(link));
	skh_fetch_watch_fd(runner->fetch, skh_claim_writer_fd(runner->claim_writer));
	return runner;
}

void skh_attempt_runner_free(skh_attempt_runner_t *runner)
{
	skh_claim_writer_stop(runner->claim_writer);
	skh_claim_backlog_free(runner->backlog);
	skh_fetch_free(runner->fetch);
	skh_gate_free(runner->gate);
	skh_buffer_free(&runner->data_buffer);
	g_hash_table_unref(runner->entries);
	g_hash_table_unref(runner->attempts);
	g_free(runner);
}
