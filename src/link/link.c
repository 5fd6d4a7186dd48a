#include "link.h"

#include "clock.h"
#include "curve_auth.h"
#include "log.h"
#include "metrics.h"
#include "prefix_share.h"
#include "retry_budget.h"

#include <urcu/wfcqueue.h>

#include <errno.h>
#include <glib.h>
#include <pthread.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <zmq.h>

#define PART		    "link"
#define TICK_INTERVAL_MS    100
#define ASK_INTERVAL_US	    (2 * SKH_US_PER_S)
#define MAX_FRAMES_PER_POLL 256 /* bounds the delay of a tick that is due */

/* A frame queued for a sidecar. */
typedef struct outgoing {
	struct cds_wfcq_node node;
	char *peer_id;
	uint64_t start_attempt; /* attempt id when the frame is a Start; else 0 */
	skh_buffer_t bytes;
} outgoing_t;

/* An attempt that was dispatched and not released. */
typedef struct pending_attempt {
	uint64_t attempt;
	skh_inbox_t *inbox;
	skh_peer_t *peer; /* borrowed; the table keeps a peer that has requests in flight */
	uint64_t incarnation;
	int64_t start_before_us; /* on the sidecar's clock */
	int64_t next_ask_us;	 /* an Ask is sent then, unless a frame arrives earlier */
} pending_attempt_t;

struct skh_link {
	const skh_settings_t *settings;
	char *entry_id;
	skh_board_t *board;
	void *zmq_context;
	void *router;
	int wake_fd;
	pthread_t thread;
	bool stop_requested;
	struct cds_wfcq_head queue_head;
	struct cds_wfcq_tail queue_tail;
	GMutex lock; /* guards the fields below, except as noted */
	skh_peers_t *peers;
	skh_prefix_share_t *prefix_share;
	skh_retry_budget_t *retry_budget;
	GHashTable *pending_attempts;	 /* attempt id -> pending_attempt_t, owned */
	GHashTable *connected_addresses; /* peer id -> address, both owned; link thread only */
	int64_t newest_revision;
};

static void free_outgoing(outgoing_t *item)
{
	skh_buffer_free(&item->bytes);
	g_free(item->peer_id);
	g_free(item);
}

static outgoing_t *new_outgoing(skh_link_t *link, const char *peer_id, Skh__Frame *frame)
{
	outgoing_t *item = g_new0(outgoing_t, 1);

	frame->version = SKH_WIRE_VERSION;
	frame->revision = (uint64_t)skh_board_config_revision(link->board);
	item->peer_id = g_strdup(peer_id);
	skh_wire_pack(frame, &item->bytes);
	return item;
}

static void enqueue_outgoing(skh_link_t *link, outgoing_t *item)
{
	const uint64_t one = 1;

	cds_wfcq_node_init(&item->node);
	cds_wfcq_enqueue(&link->queue_head, &link->queue_tail, &item->node);
	if (write(link->wake_fd, &one, sizeof(one)) != (ssize_t)sizeof(one))
		skh_log(SKH_LOG_ERROR, PART, "Waking the link thread failed.", "errno=%d", errno);
}

static void enqueue_frame(skh_link_t *link, const char *peer_id, Skh__Frame *frame)
{
	enqueue_outgoing(link, new_outgoing(link, peer_id, frame));
}

/* Return: false when the peer is not connected or its send queue is full (ZMQ_ROUTER_MANDATORY). */
static bool transmit_frame(skh_link_t *link, const outgoing_t *item)
{
	size_t peer_id_len = strlen(item->peer_id);

	if (zmq_send(link->router, item->peer_id, peer_id_len, ZMQ_SNDMORE | ZMQ_DONTWAIT) < 0)
		return false;
	if (zmq_send(link->router, item->bytes.data, item->bytes.len, ZMQ_DONTWAIT) < 0)
		return false;
	skh_metrics_add(SKH_COUNT_FRAMES_OUT, 1);
	return true;
}

static void report_not_sent(skh_link_t *link, uint64_t attempt)
{
	pending_attempt_t *pending;
	skh_attempt_event_t *event = skh_attempt_event_new(SKH_ATTEMPT_EVENT_NOT_SENT, attempt);

	(void)skh_error_set(&event->err, SKH_NO_BACKEND, "the sidecar is not connected");
	g_mutex_lock(&link->lock);
	pending = g_hash_table_lookup(link->pending_attempts, &attempt);
	if (pending) {
		skh_peers_set_lost(pending->peer, skh_clock_now_us());
		skh_inbox_push(pending->inbox, event);
		event = NULL;
	}
	g_mutex_unlock(&link->lock);
	skh_attempt_event_free(event);
}

static void send_queued(skh_link_t *link)
{
	struct cds_wfcq_node *node;
	uint64_t count;

	if (read(link->wake_fd, &count, sizeof(count)) < 0 && errno != EAGAIN)
		skh_log(SKH_LOG_ERROR, PART, "Reading the wake-up event of the link thread failed.",
			"errno=%d", errno);
	while ((node = __cds_wfcq_dequeue_blocking(&link->queue_head, &link->queue_tail))) {
		outgoing_t *item = caa_container_of(node, outgoing_t, node);

		if (!transmit_frame(link, item) && item->start_attempt != 0)
			report_not_sent(link, item->start_attempt);
		free_outgoing(item);
	}
}

static uint64_t get_attempt_id(const Skh__Frame *frame)
{
	switch (frame->body_case) {
	case SKH__FRAME__BODY_STARTED:
		return frame->started->attempt;
	case SKH__FRAME__BODY_DATA:
		return frame->data->attempt;
	case SKH__FRAME__BODY_END:
		return frame->end->attempt;
	case SKH__FRAME__BODY_REFUSE:
		return frame->refuse->attempt;
	default:
		return 0;
	}
}

/* Reports the loss to the attempts at @peer that it affects. Called with the lock held. */
static void push_lost_events(skh_link_t *link, const skh_peer_t *peer, skh_sidecar_loss_t loss)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, link->pending_attempts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		pending_attempt_t *pending = value;
		skh_attempt_event_t *event;

		if (pending->peer != peer)
			continue;
		if (loss == SKH_SIDECAR_LOSS_REPLACED && pending->incarnation == peer->incarnation)
			continue;
		event = skh_attempt_event_new(SKH_ATTEMPT_EVENT_LOST, pending->attempt);
		event->loss = loss;
		skh_inbox_push(pending->inbox, event);
	}
}

static void record_peer_frame(skh_link_t *link, skh_peer_t *peer, const Skh__Frame *frame,
			      int64_t now_us)
{
	int64_t revision = (int64_t)frame->revision;

	link->newest_revision = MAX(link->newest_revision, revision);
	if (skh_peers_record_frame(peer, frame->status, revision, now_us)) {
		skh_log(SKH_LOG_WARNING, PART,
			"Sidecar process was replaced; attempts sent to the old one are lost.",
			"sidecar=%s", peer->id);
		push_lost_events(link, peer, SKH_SIDECAR_LOSS_REPLACED);
	}
}

static void deliver_frame(skh_link_t *link, const char *peer_id, Skh__Frame *frame)
{
	uint64_t attempt = get_attempt_id(frame);
	pending_attempt_t *pending = NULL;
	skh_peer_t *peer;

	g_mutex_lock(&link->lock);
	peer = skh_peers_find(link->peers, peer_id);
	if (peer)
		record_peer_frame(link, peer, frame, skh_clock_now_us());
	if (attempt != 0)
		pending = g_hash_table_lookup(link->pending_attempts, &attempt);
	/* Frames of an attempt are accepted only from the sidecar that it was sent to. */
	if (pending && pending->peer == peer) {
		skh_attempt_event_t *event =
			skh_attempt_event_new(SKH_ATTEMPT_EVENT_FRAME, attempt);

		event->frame = frame;
		pending->next_ask_us = skh_clock_now_us() + ASK_INTERVAL_US;
		skh_inbox_push(pending->inbox, event);
		frame = NULL;
	} else if (attempt != 0) {
		skh_metrics_add(SKH_COUNT_LATE_FRAMES, 1);
	}
	g_mutex_unlock(&link->lock);
	if (frame)
		skh_wire_free(frame);
}

/* A message consists of the peer's id and the frame; any other message is dropped. */
static bool receive_frame(skh_link_t *link)
{
	char peer_id[SKH_WIRE_MAX_NAME_BYTES + 1];
	zmq_msg_t body;
	skh_error_t err;
	Skh__Frame *frame = NULL;
	int len = zmq_recv(link->router, peer_id, sizeof(peer_id) - 1, ZMQ_DONTWAIT);
	bool is_whole_id;

	if (len < 0)
		return false;
	is_whole_id = skh_wire_terminate_id(peer_id, sizeof(peer_id), len);
	(void)zmq_msg_init(&body);
	if (zmq_msg_recv(&body, link->router, ZMQ_DONTWAIT) >= 0) {
		frame = skh_wire_unpack(skh_chunk_make(zmq_msg_data(&body), zmq_msg_size(&body)),
					&err);
		skh_metrics_add(SKH_COUNT_FRAMES_IN, 1);
		if (frame && frame->body_case == SKH__FRAME__BODY__NOT_SET)
			skh_metrics_add(SKH_COUNT_CONTROL_BYTES_IN, zmq_msg_size(&body));
	}
	(void)zmq_msg_close(&body);
	if (frame && is_whole_id) {
		deliver_frame(link, peer_id, frame);
		return true;
	}
	skh_metrics_add(SKH_COUNT_BAD_FRAMES, 1);
	if (frame)
		skh_wire_free(frame);
	return true;
}

static void connect_peer(skh_link_t *link, const skh_peer_t *peer)
{
	const char *old_address = g_hash_table_lookup(link->connected_addresses, peer->id);

	if (old_address && strcmp(old_address, peer->link_address) == 0)
		return;
	if (old_address)
		(void)zmq_disconnect(link->router, old_address);
	if (zmq_connect(link->router, peer->link_address) != 0)
		skh_log(SKH_LOG_ERROR, PART, "Sidecar address is not valid; no connection opened.",
			"sidecar=%s address=%s", peer->id, peer->link_address);
	g_hash_table_replace(link->connected_addresses, g_strdup(peer->id),
			     g_strdup(peer->link_address));
}

static void disconnect_unlisted(skh_link_t *link)
{
	GHashTableIter iter;
	gpointer id;
	gpointer address;

	g_hash_table_iter_init(&iter, link->connected_addresses);
	while (g_hash_table_iter_next(&iter, &id, &address)) {
		if (skh_peers_find(link->peers, id))
			continue;
		(void)zmq_disconnect(link->router, address);
		g_hash_table_iter_remove(&iter);
	}
}

static void sync_peers(skh_link_t *link, int64_t now_us)
{
	const skh_instances_t *instances = skh_board_acquire_instances(link->board);

	if (!instances)
		return;
	skh_peers_sync(link->peers, instances, now_us);
	skh_board_release(instances);
	for (size_t i = 0; i < skh_peers_count(link->peers); i++)
		connect_peer(link, skh_peers_at(link->peers, i));
	disconnect_unlisted(link);
}

static void send_hello(skh_link_t *link, skh_peer_t *peer, int64_t now_us)
{
	Skh__Frame frame = SKH__FRAME__INIT;
	Skh__Hello hello = SKH__HELLO__INIT;
	outgoing_t *item;

	hello.entry = link->entry_id;
	frame.body_case = SKH__FRAME__BODY_HELLO;
	frame.hello = &hello;
	item = new_outgoing(link, peer->id, &frame);
	if (transmit_frame(link, item)) {
		skh_metrics_add(SKH_COUNT_CONTROL_BYTES_OUT, item->bytes.len);
	} else if (peer->is_reachable) {
		skh_peers_set_lost(peer, now_us);
		push_lost_events(link, peer, SKH_SIDECAR_LOSS_CLOSED);
	}
	free_outgoing(item);
}

/* Asks for the state of silent attempts, since a closed connection may have lost their frames. */
static void ask_about_silent_attempts(skh_link_t *link, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, link->pending_attempts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		pending_attempt_t *pending = value;
		Skh__Frame frame = SKH__FRAME__INIT;
		Skh__Ask ask = SKH__ASK__INIT;

		if (now_us < pending->next_ask_us || !pending->peer->is_reachable)
			continue;
		pending->next_ask_us = now_us + ASK_INTERVAL_US;
		ask.attempt = pending->attempt;
		ask.start_before_us = pending->start_before_us;
		ask.incarnation = pending->incarnation;
		frame.body_case = SKH__FRAME__BODY_ASK;
		frame.ask = &ask;
		enqueue_frame(link, pending->peer->id, &frame);
	}
}

static void tick(skh_link_t *link)
{
	int64_t now_us = skh_clock_now_us();

	g_mutex_lock(&link->lock);
	sync_peers(link, now_us);
	for (size_t i = 0; i < skh_peers_count(link->peers); i++) {
		skh_peer_t *peer = skh_peers_at(link->peers, i);

		if (skh_peers_schedule_hello(link->peers, peer, now_us))
			send_hello(link, peer, now_us);
		if (skh_peers_is_lost(peer, now_us)) {
			skh_log(SKH_LOG_WARNING, PART,
				"Sidecar with requests in flight is silent past its timeout; "
				"idempotent requests are retried.",
				"sidecar=%s", peer->id);
			skh_peers_set_lost(peer, now_us);
			push_lost_events(link, peer, SKH_SIDECAR_LOSS_SILENT);
		}
	}
	ask_about_silent_attempts(link, now_us);
	g_mutex_unlock(&link->lock);
}

static void *run_link_thread(void *argument)
{
	skh_link_t *link = argument;
	int64_t next_tick_us = 0;

	while (!__atomic_load_n(&link->stop_requested, __ATOMIC_ACQUIRE)) {
		zmq_pollitem_t items[] = {
			{ .socket = link->router, .events = ZMQ_POLLIN },
			{ .fd = link->wake_fd, .events = ZMQ_POLLIN },
		};

		(void)zmq_poll(items, G_N_ELEMENTS(items), TICK_INTERVAL_MS);
		if (items[1].revents & ZMQ_POLLIN)
			send_queued(link);
		for (int32_t i = 0; i < MAX_FRAMES_PER_POLL && receive_frame(link); i++)
			continue;
		if (skh_clock_now_us() >= next_tick_us) {
			tick(link);
			next_tick_us = skh_clock_now_us() + TICK_INTERVAL_MS * SKH_US_PER_MS;
		}
	}
	return NULL;
}

static bool open_socket(skh_link_t *link, skh_error_t *err)
{
	link->zmq_context = zmq_ctx_new();
	link->router = zmq_socket(link->zmq_context, ZMQ_ROUTER);
	if (!link->router)
		return skh_error_set(err, SKH_INTERNAL, "ZeroMQ socket could not be opened: %s",
				     zmq_strerror(errno));
	skh_wire_setup_router(link->router, 0);
	skh_wire_set_socket_option(link->router, ZMQ_RECONNECT_IVL, 100);
	skh_wire_set_socket_option(link->router, ZMQ_RECONNECT_IVL_MAX, 2000);
	skh_curve_auth_set_client(link->router, link->settings);
	if (zmq_setsockopt(link->router, ZMQ_ROUTING_ID, link->entry_id, strlen(link->entry_id)))
		return skh_error_set(err, SKH_CONFIG_INVALID,
				     "the instance id is not a valid ZeroMQ routing id: %s",
				     zmq_strerror(errno));
	return true;
}

static void free_link(skh_link_t *link)
{
	struct cds_wfcq_node *node;

	while ((node = __cds_wfcq_dequeue_blocking(&link->queue_head, &link->queue_tail)))
		free_outgoing(caa_container_of(node, outgoing_t, node));
	if (link->router)
		(void)zmq_close(link->router);
	(void)zmq_ctx_term(link->zmq_context);
	(void)close(link->wake_fd);
	g_hash_table_unref(link->connected_addresses);
	g_hash_table_unref(link->pending_attempts);
	skh_peers_free(link->peers);
	skh_prefix_share_free(link->prefix_share);
	skh_retry_budget_free(link->retry_budget);
	g_mutex_clear(&link->lock);
	cds_wfcq_destroy(&link->queue_head, &link->queue_tail);
	g_free(link->entry_id);
	g_free(link);
}

skh_link_t *skh_link_start(const skh_settings_t *settings, skh_board_t *board, skh_error_t *err)
{
	skh_link_t *link = g_new0(skh_link_t, 1);

	/* The suffix distinguishes a restarted entry's connections from the earlier process's. */
	link->entry_id = g_strdup_printf("%s-%08x", settings->id, (uint32_t)skh_random_u64());
	link->board = board;
	link->settings = settings;
	link->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	link->peers = skh_peers_new();
	link->prefix_share = skh_prefix_share_new();
	link->retry_budget = skh_retry_budget_new();
	link->pending_attempts = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	link->connected_addresses = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_mutex_init(&link->lock);
	cds_wfcq_init(&link->queue_head, &link->queue_tail);
	if (!open_socket(link, err)) {
		free_link(link);
		return NULL;
	}
	(void)pthread_create(&link->thread, NULL, run_link_thread, link);
	return link;
}

void skh_link_stop(skh_link_t *link)
{
	__atomic_store_n(&link->stop_requested, true, __ATOMIC_RELEASE);
	(void)pthread_join(link->thread, NULL);
	free_link(link);
}

static void fill_target_and_times(Skh__Start *start, const skh_peer_t *peer,
				  int64_t start_deadline_us, int64_t finish_deadline_us,
				  int64_t now_us)
{
	int64_t peer_clock_us = skh_peers_min_clock_us(peer, now_us);

	start->incarnation = peer->incarnation;
	start->start_before_us = peer_clock_us + (start_deadline_us - now_us);
	start->finish_before_us = peer_clock_us + (finish_deadline_us - now_us);
}

static void add_pending_attempt(skh_link_t *link, const Skh__Start *start, skh_peer_t *peer,
				skh_inbox_t *inbox, int64_t now_us)
{
	pending_attempt_t *pending = g_new0(pending_attempt_t, 1);

	pending->attempt = start->attempt;
	pending->inbox = inbox;
	pending->peer = peer;
	pending->incarnation = peer->incarnation;
	pending->start_before_us = start->start_before_us;
	pending->next_ask_us = now_us + ASK_INTERVAL_US;
	g_hash_table_insert(link->pending_attempts, &pending->attempt, pending);
}

bool skh_link_dispatch(skh_link_t *link, const skh_peer_query_t *query, Skh__Start *start,
		       int64_t start_deadline_us, int64_t finish_deadline_us, skh_inbox_t *inbox,
		       skh_dispatched_attempt_t *dispatched, skh_error_t *err)
{
	Skh__Frame frame = SKH__FRAME__INIT;
	int64_t now_us = skh_clock_now_us();
	uint64_t random = skh_random_u64();
	outgoing_t *item;
	skh_peer_t *peer;

	/* The top bit stays clear: SKH_WIRE_LOCAL_ID_BIT marks a sidecar's own transfers. */
	dispatched->attempt = (skh_random_u64() >> 1) | 1;
	start->attempt = dispatched->attempt;
	g_mutex_lock(&link->lock);
	peer = skh_select_peer(link->peers, query, random, now_us, err);
	if (peer) {
		(void)g_strlcpy(dispatched->peer_id, peer->id, sizeof(dispatched->peer_id));
		fill_target_and_times(start, peer, start_deadline_us, finish_deadline_us, now_us);
		dispatched->incarnation = start->incarnation;
		skh_peers_begin_request(peer, now_us);
		add_pending_attempt(link, start, peer, inbox, now_us);
	}
	g_mutex_unlock(&link->lock);
	if (!peer)
		return false;
	frame.body_case = SKH__FRAME__BODY_START;
	frame.start = start;
	item = new_outgoing(link, dispatched->peer_id, &frame);
	item->start_attempt = dispatched->attempt;
	enqueue_outgoing(link, item);
	skh_metrics_add(SKH_COUNT_ATTEMPTS, 1);
	return true;
}

double skh_link_record_request(skh_link_t *link, const char *customer, uint64_t prefix_hash)
{
	int64_t now_us = skh_clock_now_us();
	double prefix_share = 0.0;

	g_mutex_lock(&link->lock);
	skh_retry_budget_record_request(link->retry_budget, customer, now_us);
	if (prefix_hash != 0)
		prefix_share = skh_prefix_share_record(link->prefix_share, prefix_hash, now_us);
	g_mutex_unlock(&link->lock);
	return prefix_share;
}

void skh_link_record_end(skh_link_t *link, const char *customer)
{
	g_mutex_lock(&link->lock);
	skh_retry_budget_record_end(link->retry_budget, customer);
	g_mutex_unlock(&link->lock);
}

bool skh_link_acquire_retry(skh_link_t *link, const char *customer)
{
	bool granted;

	g_mutex_lock(&link->lock);
	granted = skh_retry_budget_acquire(link->retry_budget, customer, skh_clock_now_us());
	g_mutex_unlock(&link->lock);
	return granted;
}

void skh_link_release(skh_link_t *link, const skh_dispatched_attempt_t *dispatched, bool succeeded,
		      bool cancel)
{
	Skh__Frame frame = SKH__FRAME__INIT;
	Skh__Cancel cancel_body = SKH__CANCEL__INIT;
	pending_attempt_t *pending;

	g_mutex_lock(&link->lock);
	pending = g_hash_table_lookup(link->pending_attempts, &dispatched->attempt);
	if (pending) {
		skh_peers_end_request(pending->peer, succeeded, skh_clock_now_us());
		g_hash_table_remove(link->pending_attempts, &dispatched->attempt);
	}
	g_mutex_unlock(&link->lock);
	if (!cancel)
		return;
	cancel_body.attempt = dispatched->attempt;
	frame.body_case = SKH__FRAME__BODY_CANCEL;
	frame.cancel = &cancel_body;
	enqueue_frame(link, dispatched->peer_id, &frame);
	skh_metrics_add(SKH_COUNT_CANCELS, 1);
}

void skh_link_send_credit(skh_link_t *link, const skh_dispatched_attempt_t *dispatched,
			  uint32_t bytes)
{
	Skh__Frame frame = SKH__FRAME__INIT;
	Skh__Credit credit = SKH__CREDIT__INIT;

	credit.attempt = dispatched->attempt;
	credit.bytes = bytes;
	frame.body_case = SKH__FRAME__BODY_CREDIT;
	frame.credit = &credit;
	enqueue_frame(link, dispatched->peer_id, &frame);
}

void skh_link_for_each_peer(skh_link_t *link, void (*fn)(const skh_peer_t *peer, void *context),
			    void *context)
{
	g_mutex_lock(&link->lock);
	for (size_t i = 0; i < skh_peers_count(link->peers); i++)
		fn(skh_peers_at(link->peers, i), context);
	g_mutex_unlock(&link->lock);
}

int64_t skh_link_newest_revision(skh_link_t *link)
{
	int64_t revision;

	g_mutex_lock(&link->lock);
	revision = link->newest_revision;
	g_mutex_unlock(&link->lock);
	return revision;
}
