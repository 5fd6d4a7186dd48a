#include "attempt_runner.h"

#include "claim_backlog.h"
#include "claim_writer.h"
#include "clock.h"
#include "fetch.h"
#include "metrics.h"
#include "frame_sender.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

#define ENTRY_MEMORY_US	  (300 * SKH_US_PER_S)
#define RECORD_WAIT_US	  (1 * SKH_US_PER_S)
#define CLAIM_INTERVAL_US (20 * SKH_US_PER_MS)
/* Connections that break within this time broke in the same crash. */
#define SAME_CRASH_US (5 * SKH_US_PER_S)
/* A suspect that has gone on for this many events is past what it is suspected of. */
#define SURVIVED_EVENTS 32

/** enum step - where an attempt stands */
typedef enum step {
	STEP_WAITING,	/* in the gate's queue */
	STEP_CLAIMING,	/* its claim is being written; nothing has run */
	STEP_RUNNING,	/* at the backend server */
	STEP_RECORDING, /* ran; its answer is being recorded */
	STEP_RELEASING	/* did not run; its claim is being given back */
} step_t;

/* One attempt that this sidecar has accepted. */
typedef struct attempt {
	uint64_t id;
	step_t step;
	char entry[SKH_SIDECAR_LINK_PEER_BYTES];
	Skh__Frame *frame; /* its Start, owned */
	skh_response_parser_t answer;
	uint64_t pieces;
	uint64_t events;
	uint64_t sent_bytes;
	uint64_t credited_bytes;
	bool head_sent;
	bool unreachable; /* its entry is gone: a piece had nowhere to go */
	/* Of an attempt with an idempotency key: */
	char *claim_path;
	skh_claim_t claim;
	int64_t claim_revision; /* of the stored record; 0 for none */
	int64_t tell_by_us;	/* the end is told by then, recorded or not */
	bool told;
	skh_error_t refusal; /* told once the claim is given back */
} attempt_t;

struct skh_attempt_runner {
	const skh_settings_t *settings;
	skh_frame_sender_t teller;
	skh_gate_t *gate;
	skh_fetch_t *fetch;
	skh_backend_t *backend;
	skh_claim_writer_t *claimer;
	skh_claim_backlog_t *backlog; /* records to be written when the service is back */
	uint64_t cancels;	      /* numbers the cancel orders */
	GHashTable *attempts;	      /* id -> attempt_t */
	GHashTable *entries;	      /* routing id -> when it was last heard, int64_t */
	skh_buffer_t piece;	      /* reused for each piece */
	int64_t newest_revision;      /* that any entry has named */
	uint64_t crash;		      /* the latest crash of the backend server */
	int64_t crash_at_us;
	bool room_made;		/* a waiting attempt may start */
	skh_phase_t told_phase; /* what the entries know */
};

static void free_attempt(gpointer item)
{
	attempt_t *attempt = item;

	skh_wire_free(attempt->frame);
	skh_buffer_free(&attempt->answer.partial_event);
	skh_claim_clear(&attempt->claim);
	g_free(attempt->claim_path);
	g_free(attempt);
}

static attempt_t *find(const skh_attempt_runner_t *worker, uint64_t id)
{
	return g_hash_table_lookup(worker->attempts, &id);
}

static bool is_keyed(const attempt_t *attempt)
{
	const Skh__Start *start = attempt->frame->start;

	return !start->idempotent && *start->key;
}

static void run_attempt(skh_attempt_runner_t *worker, attempt_t *attempt)
{
	const Skh__Start *start = attempt->frame->start;

	attempt->step = STEP_RUNNING;
	skh_metrics_add(SKH_COUNT_STARTED, 1);
	skh_frame_sender_send_started(&worker->teller, attempt->entry, attempt->id);
	worker->backend->ops->start(worker->backend, worker->fetch, start, start->finish_before_us,
				    skh_clock_now_us());
}

static void submit_claim(skh_attempt_runner_t *worker, attempt_t *attempt)
{
	g_autofree char *value = skh_claim_encode(&attempt->claim);

	skh_claim_writer_submit(worker->claimer, attempt->id, attempt->claim_path, value,
				attempt->claim_revision);
}

static void claim_attempt(skh_attempt_runner_t *worker, attempt_t *attempt)
{
	const Skh__Start *start = attempt->frame->start;

	attempt->step = STEP_CLAIMING;
	attempt->claim_path =
		skh_claim_store_key(worker->settings->store_prefix, start->customer, start->key);
	attempt->claim.state = SKH_CLAIM_CLAIMED;
	attempt->claim.owner = g_strdup_printf("%016" PRIx64 "-%016" PRIx64,
					       worker->teller.incarnation, attempt->id);
	attempt->claim.body_hash = skh_wire_hash_request(start);
	submit_claim(worker, attempt);
}

static void begin(skh_attempt_runner_t *worker, attempt_t *attempt)
{
	if (is_keyed(attempt))
		claim_attempt(worker, attempt);
	else
		run_attempt(worker, attempt);
}

static void begin_waiting(skh_attempt_runner_t *worker)
{
	uint64_t id;

	while ((id = skh_gate_start_next(worker->gate, skh_clock_now_us())) != 0)
		begin(worker, find(worker, id));
}

static void forget(skh_attempt_runner_t *worker, uint64_t id, bool started)
{
	skh_gate_finish(worker->gate, id, started);
	g_hash_table_remove(worker->attempts, &id);
	begin_waiting(worker);
}

/* The backend server never got the attempt. */
static void refuse(skh_attempt_runner_t *worker, attempt_t *attempt, const skh_error_t *err)
{
	skh_frame_sender_send_rejected(&worker->teller, attempt->entry, attempt->id, err);
	forget(worker, attempt->id, false);
}

static void refuse_waiting(skh_attempt_runner_t *worker, uint64_t id, skh_error_kind_t kind,
			   const char *text)
{
	attempt_t *attempt = find(worker, id);
	skh_error_t err;

	(void)skh_error_set(&err, kind, "%s", text);
	skh_frame_sender_send_rejected(&worker->teller, attempt->entry, id, &err);
	g_hash_table_remove(worker->attempts, &id);
}

/* The claim says that nothing ran before the caller is told so, and may claim again. */
static void release_and_refuse(skh_attempt_runner_t *worker, attempt_t *attempt,
			       const skh_error_t *err)
{
	if (attempt->claim_revision == 0) {
		refuse(worker, attempt, err);
		return;
	}
	attempt->step = STEP_RELEASING;
	attempt->refusal = *err;
	attempt->claim.state = SKH_CLAIM_NOT_RUN;
	submit_claim(worker, attempt);
}

/* Attempts that end together name the same crash. */
static uint64_t crash_of(skh_attempt_runner_t *worker, const skh_error_t *err)
{
	int64_t now_us = skh_clock_now_us();

	if (!err || err->kind != SKH_BACKEND_LOST)
		return 0;
	if (worker->crash == 0 || now_us - worker->crash_at_us > SAME_CRASH_US) {
		worker->crash = skh_random_u64() | 1;
		worker->crash_at_us = now_us;
	}
	return worker->crash;
}

static void tell_end(skh_attempt_runner_t *worker, attempt_t *attempt, const skh_error_t *err,
		     bool replayed)
{
	const skh_attempt_result_t ending = { attempt->id, attempt->pieces, err, replayed,
					      crash_of(worker, err) };

	if (!attempt->told)
		skh_frame_sender_send_end(&worker->teller, attempt->entry, &ending);
	attempt->told = true;
}

static void end(skh_attempt_runner_t *worker, attempt_t *attempt, const skh_error_t *err)
{
	tell_end(worker, attempt, err, false);
	forget(worker, attempt->id, true);
}

/* Close the transfer of a running attempt and tell the engine to stop. */
static void abandon(skh_attempt_runner_t *worker, uint64_t id)
{
	uint64_t order = SKH_WIRE_LOCAL_TRANSFER_BIT | ++worker->cancels;

	skh_fetch_cancel(worker->fetch, id);
	worker->backend->ops->cancel(worker->backend, worker->fetch, id, order, skh_clock_now_us());
	skh_metrics_add(SKH_COUNT_CANCELS, 1);
	forget(worker, id, true);
}

static void refuse_evicted(skh_attempt_runner_t *worker)
{
	uint64_t id;

	while ((id = skh_gate_pop_evicted(worker->gate)) != 0)
		refuse_waiting(worker, id, SKH_OVERLOADED, "its customer is over its share");
}

static void on_start(skh_attempt_runner_t *worker, const char *entry, Skh__Frame *frame)
{
	skh_error_t err;
	uint64_t id = frame->start->attempt;
	skh_gate_decision_t verdict =
		skh_gate_admit(worker->gate, frame->start, skh_clock_now_us(), &err);
	attempt_t *attempt;

	if (verdict == SKH_GATE_DECISION_REJECT)
		skh_frame_sender_send_rejected(&worker->teller, entry, id, &err);
	refuse_evicted(worker);
	if (verdict != SKH_GATE_DECISION_START && verdict != SKH_GATE_DECISION_QUEUE) {
		skh_wire_free(frame);
		return;
	}
	attempt = g_new0(attempt_t, 1);
	attempt->id = id;
	attempt->frame = frame;
	attempt->credited_bytes = (uint64_t)worker->settings->window_bytes;
	(void)g_strlcpy(attempt->entry, entry, sizeof(attempt->entry));
	g_hash_table_insert(worker->attempts, &attempt->id, attempt);
	if (verdict == SKH_GATE_DECISION_START)
		begin(worker, attempt);
}

static void on_cancel(skh_attempt_runner_t *worker, uint64_t id)
{
	attempt_t *attempt = find(worker, id);
	skh_gate_decision_t verdict;

	if (!attempt)
		return;
	verdict = skh_gate_cancel(worker->gate, id);
	if (verdict == SKH_GATE_DECISION_REJECT) {
		refuse_waiting(worker, id, SKH_CANCELLED, "cancelled before it started");
		return;
	}
	/* Work that may not be repeated is left to finish rather than be cut in half. */
	if (verdict == SKH_GATE_DECISION_ALREADY_STARTED && attempt->frame->start->idempotent)
		abandon(worker, id);
}

static void on_credit(skh_attempt_runner_t *worker, const Skh__Credit *credit)
{
	attempt_t *attempt = find(worker, credit->attempt);

	if (!attempt)
		return;
	attempt->credited_bytes += credit->bytes;
	if (attempt->sent_bytes < attempt->credited_bytes)
		skh_fetch_set_paused(worker->fetch, attempt->id, false);
}

static void on_ask(skh_attempt_runner_t *worker, const char *entry, const Skh__Ask *ask)
{
	const skh_frame_sender_t *teller = &worker->teller;
	const attempt_t *attempt = find(worker, ask->attempt);
	skh_error_t err;

	switch (skh_gate_resolve(worker->gate, ask->attempt, ask->incarnation, ask->start_before_us,
				 skh_clock_now_us())) {
	case SKH_ATTEMPT_STATUS_WAITING:
		break;
	case SKH_ATTEMPT_STATUS_RUNNING:
		if (attempt->step == STEP_RUNNING || attempt->step == STEP_RECORDING)
			skh_frame_sender_send_started(teller, entry, ask->attempt);
		break;
	case SKH_ATTEMPT_STATUS_REJECTED:
		(void)skh_error_set(&err, SKH_STALE, "it never started here");
		skh_frame_sender_send_rejected(teller, entry, ask->attempt, &err);
		break;
	case SKH_ATTEMPT_STATUS_ENDED:
	case SKH_ATTEMPT_STATUS_UNKNOWN:
		(void)skh_error_set(&err, SKH_OUTCOME_UNKNOWN, "its answer was lost on the way");
		skh_frame_sender_send_end(
			teller, entry, &(skh_attempt_result_t){ ask->attempt, 0, &err, false, 0 });
		break;
	}
}

static void note_entry(skh_attempt_runner_t *worker, const char *entry, int64_t revision)
{
	int64_t *heard_at_us = g_hash_table_lookup(worker->entries, entry);

	if (!heard_at_us) {
		heard_at_us = g_new(int64_t, 1);
		g_hash_table_insert(worker->entries, g_strdup(entry), heard_at_us);
	}
	*heard_at_us = skh_clock_now_us();
	worker->newest_revision = MAX(worker->newest_revision, revision);
}

void skh_attempt_runner_on_frame(skh_attempt_runner_t *worker, const char *entry, Skh__Frame *frame)
{
	note_entry(worker, entry, (int64_t)frame->revision);
	switch (frame->body_case) {
	case SKH__FRAME__BODY_START:
		on_start(worker, entry, frame);
		return;
	case SKH__FRAME__BODY_HELLO:
		skh_frame_sender_send_status(&worker->teller, entry);
		break;
	case SKH__FRAME__BODY_CANCEL:
		on_cancel(worker, frame->cancel->attempt);
		break;
	case SKH__FRAME__BODY_CREDIT:
		on_credit(worker, frame->credit);
		break;
	case SKH__FRAME__BODY_ASK:
		on_ask(worker, entry, frame->ask);
		break;
	default:
		break;
	}
	skh_wire_free(frame);
}

static void send_piece(skh_attempt_runner_t *worker, attempt_t *attempt, skh_chunk_t bytes,
		       int32_t status, const char *content_type, uint32_t events)
{
	Skh__Data data = SKH__DATA__INIT;

	data.attempt = attempt->id;
	data.seq = attempt->pieces++;
	data.bytes.data = (uint8_t *)bytes.data;
	data.bytes.len = bytes.len;
	data.events = events;
	if (!attempt->head_sent) {
		data.http_status = (uint32_t)status;
		data.content_type = (char *)content_type;
		attempt->head_sent = true;
	}
	attempt->sent_bytes += bytes.len;
	if (!skh_frame_sender_send_data(&worker->teller, attempt->entry, &data))
		attempt->unreachable = true;
}

static void keep_for_record(attempt_t *attempt, skh_chunk_t bytes)
{
	if (attempt->claim.response.len + bytes.len <= SKH_CLAIM_MAX_RESPONSE_BYTES)
		skh_buffer_append(&attempt->claim.response, bytes);
	else
		attempt->claim.has_response = false;
}

static void note_events(skh_attempt_runner_t *worker, attempt_t *attempt, uint32_t events)
{
	bool was_past = attempt->events >= SURVIVED_EVENTS;

	attempt->events += events;
	if (was_past || attempt->events < SURVIVED_EVENTS)
		return;
	skh_gate_clear_suspect(worker->gate, attempt->id);
	/* Not now: libcurl is delivering these events and takes no new transfer. */
	worker->room_made = true;
}

static void on_bytes(void *context, uint64_t id, int32_t status, const char *content_type,
		     skh_chunk_t bytes)
{
	skh_attempt_runner_t *worker = context;
	attempt_t *attempt = find(worker, id);
	uint32_t events;

	if (!attempt)
		return;
	skh_buffer_clear(&worker->piece);
	events = worker->backend->ops->parse_chunk(&attempt->answer, content_type, bytes,
						   &worker->piece);
	if (is_keyed(attempt))
		keep_for_record(attempt, bytes);
	if (worker->piece.len > 0)
		send_piece(worker, attempt, skh_buffer_chunk(&worker->piece), status, content_type,
			   events);
	if (attempt->sent_bytes >= attempt->credited_bytes)
		skh_fetch_set_paused(worker->fetch, id, true);
	note_events(worker, attempt, events);
}

static void record(skh_attempt_runner_t *worker, attempt_t *attempt, int32_t status,
		   const char *content_type)
{
	attempt->step = STEP_RECORDING;
	attempt->tell_by_us = skh_clock_now_us() + RECORD_WAIT_US;
	attempt->claim.state = SKH_CLAIM_DONE;
	attempt->claim.status = status;
	attempt->claim.content_type = g_strdup(content_type);
	submit_claim(worker, attempt);
}

static void finish(skh_attempt_runner_t *worker, attempt_t *attempt, int32_t status,
		   const char *content_type)
{
	/* An answer without a body still has a status to pass on. */
	if (!attempt->head_sent)
		send_piece(worker, attempt, skh_chunk_from_string(""), status, content_type, 0);
	if (is_keyed(attempt))
		record(worker, attempt, status, content_type);
	else
		end(worker, attempt, NULL);
}

static void on_done(void *context, uint64_t id, int32_t status, const char *content_type,
		    const skh_error_t *err)
{
	skh_attempt_runner_t *worker = context;
	attempt_t *attempt = find(worker, id);
	skh_error_t cut_off;

	if (!attempt)
		return;
	if (err && err->kind == SKH_NO_BACKEND) {
		release_and_refuse(worker, attempt, err);
		return;
	}
	if (!err && !worker->backend->ops->is_complete(&attempt->answer, status)) {
		(void)skh_error_set(&cut_off, SKH_BACKEND_FAILED,
				    "the backend server's answer has no end mark");
		err = &cut_off;
	}
	if (err)
		end(worker, attempt, err);
	else
		finish(worker, attempt, status, content_type);
}

static void replay(skh_attempt_runner_t *worker, attempt_t *attempt, const skh_claim_t *found)
{
	skh_error_t err;

	skh_metrics_add(SKH_COUNT_CLAIM_REPLAYS, 1);
	if (!found->has_response) {
		(void)skh_error_set(&err, SKH_ALREADY_RAN,
				    "it ran; its answer was too long to be recorded");
		end(worker, attempt, &err);
		return;
	}
	send_piece(worker, attempt, skh_buffer_chunk(&found->response), found->status,
		   found->content_type, 0);
	tell_end(worker, attempt, NULL, true);
	forget(worker, attempt->id, true);
}

static void on_claim_conflict(skh_attempt_runner_t *worker, attempt_t *attempt,
			      const skh_claim_result_t *done)
{
	skh_claim_t found = { 0 };
	skh_error_t err;

	if (!done->found_value) {
		(void)skh_error_set(&err, SKH_OUTCOME_UNKNOWN, "the record of the key is gone");
		end(worker, attempt, &err);
		return;
	}
	if (!skh_claim_decode(done->found_value, &found, &err)) {
		end(worker, attempt, &err);
		return;
	}
	switch (skh_claim_decide(&found, attempt->claim.owner, attempt->claim.body_hash)) {
	case SKH_CLAIM_DECISION_REPLAY:
		replay(worker, attempt, &found);
		break;
	case SKH_CLAIM_DECISION_REPLACE:
		attempt->claim_revision = done->mod_revision;
		submit_claim(worker, attempt);
		break;
	case SKH_CLAIM_DECISION_KEY_REUSED:
		(void)skh_error_set(&err, SKH_KEY_REUSED,
				    "the key was used before with another request");
		refuse(worker, attempt, &err);
		break;
	case SKH_CLAIM_DECISION_OWN_CLAIM:
	case SKH_CLAIM_DECISION_OUTCOME_UNKNOWN:
		skh_metrics_add(SKH_COUNT_CLAIM_UNFINISHED, 1);
		(void)skh_error_set(&err, SKH_OUTCOME_UNKNOWN,
				    "an earlier request with this key has not been seen to end");
		end(worker, attempt, &err);
		break;
	}
	skh_claim_clear(&found);
}

static void on_claimed(skh_attempt_runner_t *worker, attempt_t *attempt,
		       const skh_claim_result_t *done)
{
	skh_error_t err;

	attempt->claim_revision = done->mod_revision;
	if (skh_clock_now_us() >= attempt->frame->start->start_before_us) {
		(void)skh_error_set(&err, SKH_STALE, "it could not start in time");
		release_and_refuse(worker, attempt, &err);
		return;
	}
	attempt->claim.has_response = true;
	run_attempt(worker, attempt);
}

static void write_later(skh_attempt_runner_t *worker, attempt_t *attempt, skh_claim_state_t state)
{
	attempt->claim.state = state;
	skh_claim_backlog_add(worker->backlog, attempt->claim_path, &attempt->claim,
			      attempt->claim_revision, skh_clock_now_us());
}

static void on_backlog_result(skh_attempt_runner_t *worker, const skh_claim_result_t *done)
{
	int64_t now_us = skh_clock_now_us();

	if (done->state == SKH_WRITE_DONE)
		skh_claim_backlog_mark_written(worker->backlog, done->id);
	else if (done->state == SKH_WRITE_CONFLICT)
		skh_claim_backlog_resolve_conflict(worker->backlog, done->id, done->found_value,
						   done->mod_revision, now_us);
	else
		skh_claim_backlog_mark_failed(worker->backlog, done->id, now_us);
}

static void work_off_backlog(skh_attempt_runner_t *worker, int64_t now_us)
{
	skh_claim_backlog_write_t write;

	while (skh_claim_backlog_next_due(worker->backlog, now_us, &write))
		skh_claim_writer_submit(worker->claimer, write.id, write.path, write.value,
					write.expected_revision);
}

static void on_claim_written(skh_attempt_runner_t *worker, attempt_t *attempt,
			     skh_claim_result_t *done)
{
	skh_error_t err;

	if (done->state == SKH_WRITE_DONE) {
		on_claimed(worker, attempt, done);
	} else if (done->state == SKH_WRITE_CONFLICT) {
		on_claim_conflict(worker, attempt, done);
	} else {
		/* Whether or not the claim is stored, this attempt does not run. */
		if (done->err.kind == SKH_STORE_UNKNOWN)
			write_later(worker, attempt, SKH_CLAIM_NOT_RUN);
		(void)skh_error_set(&err, SKH_STORE_UNAVAILABLE, "%s", done->err.text);
		refuse(worker, attempt, &err);
	}
}

static void on_claim_result(skh_attempt_runner_t *worker, skh_claim_result_t *done)
{
	attempt_t *attempt = find(worker, done->id);

	if (!attempt)
		return;
	switch (attempt->step) {
	case STEP_CLAIMING:
		on_claim_written(worker, attempt, done);
		break;
	case STEP_RECORDING:
		if (done->state == SKH_WRITE_FAILED)
			write_later(worker, attempt, SKH_CLAIM_DONE);
		end(worker, attempt, NULL);
		break;
	case STEP_RELEASING:
		if (done->state == SKH_WRITE_FAILED)
			write_later(worker, attempt, SKH_CLAIM_NOT_RUN);
		refuse(worker, attempt, &attempt->refusal);
		break;
	default:
		break;
	}
}

static void take_claim_results(skh_attempt_runner_t *worker)
{
	skh_claim_result_t *done;

	while ((done = skh_claim_writer_poll_result(worker->claimer)) != NULL) {
		if (done->id & SKH_WIRE_LOCAL_TRANSFER_BIT)
			on_backlog_result(worker, done);
		else
			on_claim_result(worker, done);
		skh_claim_result_free(done);
	}
}

/* A service that does not record in time holds no answer back. */
static void tell_unrecorded(skh_attempt_runner_t *worker, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, worker->attempts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		attempt_t *attempt = value;

		if (attempt->step == STEP_RECORDING && now_us >= attempt->tell_by_us)
			tell_end(worker, attempt, NULL, false);
	}
}

static bool is_useless(const attempt_t *attempt)
{
	return attempt->unreachable && attempt->step == STEP_RUNNING &&
	       attempt->frame->start->idempotent;
}

/* With a piece lost no one can use the rest; what may not be repeated goes on all the same. */
static void abandon_unreachable(skh_attempt_runner_t *worker)
{
	g_autoptr(GArray) useless = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, worker->attempts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const attempt_t *attempt = value;

		if (is_useless(attempt))
			g_array_append_val(useless, attempt->id);
	}
	for (guint i = 0; i < useless->len; i++)
		abandon(worker, g_array_index(useless, uint64_t, i));
}

static void tell_entries(skh_attempt_runner_t *worker, int64_t now_us)
{
	GHashTableIter iter;
	gpointer entry;
	gpointer heard_at_us;

	worker->told_phase = skh_gate_phase(worker->gate);
	g_hash_table_iter_init(&iter, worker->entries);
	while (g_hash_table_iter_next(&iter, &entry, &heard_at_us)) {
		if (*(int64_t *)heard_at_us + ENTRY_MEMORY_US < now_us)
			g_hash_table_iter_remove(&iter);
		else
			skh_frame_sender_send_status(&worker->teller, entry);
	}
}

void skh_attempt_runner_tick(skh_attempt_runner_t *worker, bool ready, bool leaving, int64_t now_us)
{
	uint64_t id;

	skh_gate_set_leaving(worker->gate, leaving);
	if (ready)
		skh_gate_open(worker->gate);
	while ((id = skh_gate_reject_next(worker->gate)) != 0)
		refuse_waiting(worker, id, SKH_LEAVING, "the backend server is leaving");
	while ((id = skh_gate_expire_next(worker->gate, now_us)) != 0)
		refuse_waiting(worker, id, SKH_OVERLOADED, "it could not start in time");
	tell_unrecorded(worker, now_us);
	work_off_backlog(worker, now_us);
	abandon_unreachable(worker);
	begin_waiting(worker);
	if (skh_gate_phase(worker->gate) != worker->told_phase)
		tell_entries(worker, now_us);
}

void skh_attempt_runner_fail_all(skh_attempt_runner_t *worker)
{
	GHashTableIter iter;
	gpointer value;
	skh_error_t err;

	(void)skh_error_set(&err, SKH_BACKEND_FAILED, "the backend server stopped at its deadline");
	g_hash_table_iter_init(&iter, worker->attempts);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		tell_end(worker, value, &err, false);
}

void skh_attempt_runner_poll(skh_attempt_runner_t *worker, int64_t until_us)
{
	skh_fetch_poll(worker->fetch, until_us);
	if (worker->room_made)
		begin_waiting(worker);
	worker->room_made = false;
	take_claim_results(worker);
}

size_t skh_attempt_runner_attempt_count(const skh_attempt_runner_t *worker)
{
	return g_hash_table_size(worker->attempts);
}

const skh_gate_t *skh_attempt_runner_gate(const skh_attempt_runner_t *worker)
{
	return worker->gate;
}

int64_t skh_attempt_runner_newest_revision(const skh_attempt_runner_t *worker)
{
	return worker->newest_revision;
}

static const skh_fetch_ops_t fetch_events = { .on_body = on_bytes, .on_done = on_done };

skh_attempt_runner_t *skh_attempt_runner_new(const skh_settings_t *settings, skh_board_t *board,
					     skh_store_t *store, skh_sidecar_link_t *port,
					     skh_backend_t *backend, skh_engine_t *engine)
{
	skh_attempt_runner_t *worker = g_new0(skh_attempt_runner_t, 1);
	uint64_t incarnation = skh_random_u64() | 1;

	worker->settings = settings;
	worker->gate = skh_gate_new((uint32_t)settings->backend_capacity,
				    (uint32_t)settings->backend_queue, incarnation);
	worker->teller =
		(skh_frame_sender_t){ settings, board, port, worker->gate, incarnation, engine };
	worker->attempts = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_attempt);
	worker->entries = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	worker->fetch = skh_fetch_new(&fetch_events, worker);
	worker->claimer = skh_claim_writer_start(store, CLAIM_INTERVAL_US);
	worker->backlog = skh_claim_backlog_new();
	worker->backend = backend;
	skh_fetch_watch_fd(worker->fetch, skh_sidecar_link_fd(port));
	skh_fetch_watch_fd(worker->fetch, skh_claim_writer_fd(worker->claimer));
	return worker;
}

void skh_attempt_runner_free(skh_attempt_runner_t *worker)
{
	skh_claim_writer_stop(worker->claimer);
	skh_claim_backlog_free(worker->backlog);
	skh_fetch_free(worker->fetch);
	skh_gate_free(worker->gate);
	skh_buffer_free(&worker->piece);
	g_hash_table_unref(worker->entries);
	g_hash_table_unref(worker->attempts);
	g_free(worker);
}
