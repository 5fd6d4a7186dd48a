#include "link.h"

#include "retry_budget.h"
#include "clock.h"
#include "prefix_share.h"
#include "curve_auth.h"
#include "log.h"
#include "metrics.h"

#include <urcu/wfcqueue.h>

#include <errno.h>
#include <glib.h>
#include <pthread.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <zmq.h>

#define PART	     "link"
#define TICK_MS	     100
#define ASK_AFTER_US (2 * SKH_US_PER_S)
#define MAX_RECEIVES 256 /* frames handled before the tick is looked at again */

/* A frame on its way to a sidecar. */
typedef struct outgoing {
	struct cds_wfcq_node node;
	char *peer;
	uint64_t start_of; /* attempt whose Start this is; 0 otherwise */
	skh_buffer_t bytes;
} outgoing_t;

/* An attempt whose frames somebody waits for. */
typedef struct waiting {
	uint64_t attempt;
	skh_inbox_t *inbox;
	skh_peer_t *peer; /* kept by the table while it has work in flight */
	uint64_t incarnation;
	int64_t start_before_us; /* on the sidecar's clock */
	int64_t ask_at_us;	 /* silent until then: ask what became of it */
} waiting_t;

struct skh_link {
	const skh_settings_t *settings;
	char *entry_id;
	skh_board_t *board;
	void *context;
	void *router;
	int wake_fd;
	pthread_t thread;
	bool stop;
	struct cds_wfcq_head queue_head;
	struct cds_wfcq_tail queue_tail;
	GMutex lock; /* guards all below */
	skh_peers_t *peers;
	skh_prefix_share_t *heat;   /* under the same lock */
	skh_retry_budget_t *budget; /* the same */
	GHashTable *waiting;	    /* attempt -> waiting_t */
	GHashTable *connected;	    /* peer id -> address; link thread only */
	int64_t newest_revision;
};

static void free_outgoing(outgoing_t *item)
{
	skh_buffer_free(&item->bytes);
	g_free(item->peer);
	g_free(item);
}

static outgoing_t *new_outgoing(skh_link_t *link, const char *peer, Skh__Frame *frame)
{
	outgoing_t *item = g_new0(outgoing_t, 1);

	frame->version = SKH_WIRE_VERSION;
	frame->revision = (uint64_t)skh_board_config_revision(link->board);
	item->peer = g_strdup(peer);
	skh_wire_pack(frame, &item->bytes);
	return item;
}

static void enqueue(skh_link_t *link, outgoing_t *item)
{
	const uint64_t one = 1;

	cds_wfcq_node_init(&item->node);
	cds_wfcq_enqueue(&link->queue_head, &link->queue_tail, &item->node);
	if (write(link->wake_fd, &one, sizeof(one)) != (ssize_t)sizeof(one))
		skh_log(SKH_LOG_ERROR, PART, "Waking the link thread failed.", "errno=%d", errno);
}

static void send_frame(skh_link_t *link, const char *peer, Skh__Frame *frame)
{
	enqueue(link, new_outgoing(link, peer, frame));
}

/* With ZMQ_ROUTER_MANDATORY a frame for a peer that is not connected is refused. */
static bool transmit(skh_link_t *link, const outgoing_t *item)
{
	size_t peer_len = strlen(item->peer);

	if (zmq_send(link->router, item->peer, peer_len, ZMQ_SNDMORE | ZMQ_DONTWAIT) < 0)
		return false;
	if (zmq_send(link->router, item->bytes.data, item->bytes.len, ZMQ_DONTWAIT) < 0)
		return false;
	skh_metrics_add(SKH_COUNT_FRAMES_OUT, 1);
	return true;
}

static void report_not_sent(skh_link_t *link, uint64_t attempt)
{
	waiting_t *waiting;
	skh_attempt_event_t *event = skh_attempt_event_new(SKH_ATTEMPT_EVENT_NOT_SENT, attempt);

	(void)skh_error_set(&event->err, SKH_NO_BACKEND, "the sidecar is not connected");
	g_mutex_lock(&link->lock);
	waiting = g_hash_table_lookup(link->waiting, &attempt);
	if (waiting) {
		skh_peers_set_lost(waiting->peer, skh_clock_now_us());
		skh_inbox_push(waiting->inbox, event);
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
		skh_log(SKH_LOG_ERROR, PART, "Reading the wake-up failed.", "errno=%d", errno);
	while ((node = __cds_wfcq_dequeue_blocking(&link->queue_head, &link->queue_tail))) {
		outgoing_t *item = caa_container_of(node, outgoing_t, node);

		if (!transmit(link, item) && item->start_of != 0)
			report_not_sent(link, item->start_of);
		free_outgoing(item);
	}
}

static uint64_t attempt_of(const Skh__Frame *frame)
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

/* Called with the lock held. */
static void push_lost(skh_link_t *link, const skh_peer_t *peer, skh_sidecar_loss_t loss)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, link->waiting);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		waiting_t *waiting = value;
		skh_attempt_event_t *event;

		if (waiting->peer != peer)
			continue;
		if (loss == SKH_SIDECAR_LOSS_REPLACED && waiting->incarnation == peer->incarnation)
			continue;
		event = skh_attempt_event_new(SKH_ATTEMPT_EVENT_LOST, waiting->attempt);
		event->loss = loss;
		skh_inbox_push(waiting->inbox, event);
	}
}

static void note_peer(skh_link_t *link, skh_peer_t *peer, const Skh__Frame *frame, int64_t now_us)
{
	int64_t revision = (int64_t)frame->revision;

	link->newest_revision = MAX(link->newest_revision, revision);
	if (skh_peers_record_frame(peer, frame->status, revision, now_us)) {
		skh_log(SKH_LOG_WARNING, PART, "A sidecar process was replaced.", "sidecar=%s",
			peer->id);
		push_lost(link, peer, SKH_SIDECAR_LOSS_REPLACED);
	}
}

static void deliver(skh_link_t *link, const char *peer_id, Skh__Frame *frame)
{
	uint64_t attempt = attempt_of(frame);
	waiting_t *waiting = NULL;
	skh_peer_t *peer;

	g_mutex_lock(&link->lock);
	peer = skh_peers_find(link->peers, peer_id);
	if (peer)
		note_peer(link, peer, frame, skh_clock_now_us());
	if (attempt != 0)
		waiting = g_hash_table_lookup(link->waiting, &attempt);
	/* Only the sidecar that was asked may answer. */
	if (waiting && waiting->peer == peer) {
		skh_attempt_event_t *event =
			skh_attempt_event_new(SKH_ATTEMPT_EVENT_FRAME, attempt);

		event->frame = frame;
		waiting->ask_at_us = skh_clock_now_us() + ASK_AFTER_US;
		skh_inbox_push(waiting->inbox, event);
		frame = NULL;
	} else if (attempt != 0) {
		skh_metrics_add(SKH_COUNT_LATE_FRAMES, 1);
	}
	g_mutex_unlock(&link->lock);
	if (frame)
		skh_wire_free(frame);
}

/* One message is the peer's id and the frame; anything else is dropped whole. */
static bool receive_one(skh_link_t *link)
{
	char peer[SKH_WIRE_MAX_NAME_BYTES + 1];
	zmq_msg_t body;
	skh_error_t err;
	Skh__Frame *frame = NULL;
	int len = zmq_recv(link->router, peer, sizeof(peer) - 1, ZMQ_DONTWAIT);

	if (len < 0)
		return false;
	peer[MIN(len, (int)sizeof(peer) - 1)] = '\0';
	(void)zmq_msg_init(&body);
	if (zmq_msg_recv(&body, link->router, ZMQ_DONTWAIT) >= 0) {
		frame = skh_wire_unpack(skh_chunk_make(zmq_msg_data(&body), zmq_msg_size(&body)),
					&err);
		skh_metrics_add(SKH_COUNT_FRAMES_IN, 1);
		if (frame && frame->body_case == SKH__FRAME__BODY__NOT_SET)
			skh_metrics_add(SKH_COUNT_CONTROL_BYTES_IN, zmq_msg_size(&body));
	}
	(void)zmq_msg_close(&body);
	if (frame)
		deliver(link, peer, frame);
	else
		skh_metrics_add(SKH_COUNT_BAD_FRAMES, 1);
	return true;
}

static void connect_peer(skh_link_t *link, const skh_peer_t *peer)
{
	const char *old = g_hash_table_lookup(link->connected, peer->id);

	if (old && strcmp(old, peer->link) == 0)
		return;
	if (old)
		(void)zmq_disconnect(link->router, old);
	if (zmq_connect(link->router, peer->link) != 0)
		skh_log(SKH_LOG_ERROR, PART, "A sidecar's address can't be used.",
			"sidecar=%s address=%s", peer->id, peer->link);
	g_hash_table_replace(link->connected, g_strdup(peer->id), g_strdup(peer->link));
}

static void disconnect_dropped(skh_link_t *link)
{
	GHashTableIter iter;
	gpointer id;
	gpointer address;

	g_hash_table_iter_init(&iter, link->connected);
	while (g_hash_table_iter_next(&iter, &id, &address)) {
		if (skh_peers_find(link->peers, id))
			continue;
		(void)zmq_disconnect(link->router, address);
		g_hash_table_iter_remove(&iter);
	}
}

static void sync_members(skh_link_t *link, int64_t now_us)
{
	const skh_instances_t *members = skh_board_acquire_instances(link->board);

	if (!members)
		return;
	skh_peers_sync(link->peers, members, now_us);
	skh_board_release(members);
	for (size_t i = 0; i < skh_peers_count(link->peers); i++)
		connect_peer(link, skh_peers_at(link->peers, i));
	disconnect_dropped(link);
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
	if (transmit(link, item)) {
		skh_metrics_add(SKH_COUNT_CONTROL_BYTES_OUT, item->bytes.len);
	} else if (peer->reachable) {
		skh_peers_set_lost(peer, now_us);
		push_lost(link, peer, SKH_SIDECAR_LOSS_CLOSED);
	}
	free_outgoing(item);
}

/* A frame may be lost with its connection; asking settles what silence can't. */
static void ask_about_silent(skh_link_t *link, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, link->waiting);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		waiting_t *waiting = value;
		Skh__Frame frame = SKH__FRAME__INIT;
		Skh__Ask ask = SKH__ASK__INIT;

		if (now_us < waiting->ask_at_us || !waiting->peer->reachable)
			continue;
		waiting->ask_at_us = now_us + ASK_AFTER_US;
		ask.attempt = waiting->attempt;
		ask.start_before_us = waiting->start_before_us;
		ask.incarnation = waiting->incarnation;
		frame.body_case = SKH__FRAME__BODY_ASK;
		frame.ask = &ask;
		send_frame(link, waiting->peer->id, &frame);
	}
}

static void tick(skh_link_t *link)
{
	int64_t now_us = skh_clock_now_us();

	g_mutex_lock(&link->lock);
	sync_members(link, now_us);
	for (size_t i = 0; i < skh_peers_count(link->peers); i++) {
		skh_peer_t *peer = skh_peers_at(link->peers, i);

		if (skh_peers_schedule_hello(link->peers, peer, now_us))
			send_hello(link, peer, now_us);
		if (skh_peers_is_lost(peer, now_us)) {
			skh_log(SKH_LOG_WARNING, PART, "A sidecar with work went silent.",
				"sidecar=%s", peer->id);
			skh_peers_set_lost(peer, now_us);
			push_lost(link, peer, SKH_SIDECAR_LOSS_SILENT);
		}
	}
	ask_about_silent(link, now_us);
	g_mutex_unlock(&link->lock);
}

static void *run(void *argument)
{
	skh_link_t *link = argument;
	int64_t tick_at_us = 0;

	while (!__atomic_load_n(&link->stop, __ATOMIC_ACQUIRE)) {
		zmq_pollitem_t items[] = {
			{ .socket = link->router, .events = ZMQ_POLLIN },
			{ .fd = link->wake_fd, .events = ZMQ_POLLIN },
		};

		(void)zmq_poll(items, G_N_ELEMENTS(items), TICK_MS);
		if (items[1].revents & ZMQ_POLLIN)
			send_queued(link);
		for (int32_t i = 0; i < MAX_RECEIVES && receive_one(link); i++)
			continue;
		if (skh_clock_now_us() >= tick_at_us) {
			tick(link);
			tick_at_us = skh_clock_now_us() + TICK_MS * SKH_US_PER_MS;
		}
	}
	return NULL;
}

static bool open_socket(skh_link_t *link, skh_error_t *err)
{
	link->context = zmq_ctx_new();
	link->router = zmq_socket(link->context, ZMQ_ROUTER);
	if (!link->router)
		return skh_error_set(err, SKH_INTERNAL, "no ZeroMQ socket: %s",
				     zmq_strerror(errno));
	skh_wire_setup_router(link->router, 0);
	skh_wire_set_option(link->router, ZMQ_RECONNECT_IVL, 100);
	skh_wire_set_option(link->router, ZMQ_RECONNECT_IVL_MAX, 2000);
	skh_curve_auth_set_client(link->router, link->settings);
	if (zmq_setsockopt(link->router, ZMQ_ROUTING_ID, link->entry_id, strlen(link->entry_id)))
		return skh_error_set(err, SKH_CONFIG_INVALID, "the instance id can't be used: %s",
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
	(void)zmq_ctx_term(link->context);
	(void)close(link->wake_fd);
	g_hash_table_unref(link->connected);
	g_hash_table_unref(link->waiting);
	skh_peers_free(link->peers);
	skh_prefix_share_free(link->heat);
	skh_retry_budget_free(link->budget);
	g_mutex_clear(&link->lock);
	cds_wfcq_destroy(&link->queue_head, &link->queue_tail);
	g_free(link->entry_id);
	g_free(link);
}

skh_link_t *skh_link_start(const skh_settings_t *settings, skh_board_t *board, skh_error_t *err)
{
	skh_link_t *link = g_new0(skh_link_t, 1);

	/* The suffix keeps a restarted entry apart from its predecessor's connection. */
	link->entry_id = g_strdup_printf("%s-%08x", settings->id, (uint32_t)skh_random_u64());
	link->board = board;
	link->settings = settings;
	link->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	link->peers = skh_peers_new();
	link->heat = skh_prefix_share_new();
	link->budget = skh_retry_budget_new();
	link->waiting = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	link->connected = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_mutex_init(&link->lock);
	cds_wfcq_init(&link->queue_head, &link->queue_tail);
	if (!open_socket(link, err)) {
		free_link(link);
		return NULL;
	}
	(void)pthread_create(&link->thread, NULL, run, link);
	return link;
}

void skh_link_stop(skh_link_t *link)
{
	__atomic_store_n(&link->stop, true, __ATOMIC_RELEASE);
	(void)pthread_join(link->thread, NULL);
	free_link(link);
}

static void fill_times(Skh__Start *start, const skh_peer_t *peer, int64_t start_by_us,
		       int64_t finish_by_us, int64_t now_us)
{
	int64_t peer_clock_us = skh_peers_min_clock_us(peer, now_us);

	start->incarnation = peer->incarnation;
	start->start_before_us = peer_clock_us + (start_by_us - now_us);
	start->finish_before_us = peer_clock_us + (finish_by_us - now_us);
}

static void remember(skh_link_t *link, const Skh__Start *start, skh_peer_t *peer,
		     skh_inbox_t *inbox, int64_t now_us)
{
	waiting_t *waiting = g_new0(waiting_t, 1);

	waiting->attempt = start->attempt;
	waiting->inbox = inbox;
	waiting->peer = peer;
	waiting->incarnation = peer->incarnation;
	waiting->start_before_us = start->start_before_us;
	waiting->ask_at_us = now_us + ASK_AFTER_US;
	g_hash_table_insert(link->waiting, &waiting->attempt, waiting);
}

bool skh_link_dispatch(skh_link_t *link, const skh_peer_query_t *query, Skh__Start *start,
		       int64_t start_by_us, int64_t finish_by_us, skh_inbox_t *inbox,
		       skh_dispatched_attempt_t *placement, skh_error_t *err)
{
	Skh__Frame frame = SKH__FRAME__INIT;
	int64_t now_us = skh_clock_now_us();
	uint64_t random = skh_random_u64();
	outgoing_t *item;
	skh_peer_t *peer;

	/* The top bit is left to the sidecar. */
	placement->attempt = (skh_random_u64() >> 1) | 1;
	start->attempt = placement->attempt;
	g_mutex_lock(&link->lock);
	peer = skh_select_peer(link->peers, query, random, now_us, err);
	if (peer) {
		(void)g_strlcpy(placement->peer_id, peer->id, sizeof(placement->peer_id));
		fill_times(start, peer, start_by_us, finish_by_us, now_us);
		placement->incarnation = start->incarnation;
		skh_peers_begin_request(peer, now_us);
		remember(link, start, peer, inbox, now_us);
	}
	g_mutex_unlock(&link->lock);
	if (!peer)
		return false;
	frame.body_case = SKH__FRAME__BODY_START;
	frame.start = start;
	item = new_outgoing(link, placement->peer_id, &frame);
	item->start_of = placement->attempt;
	enqueue(link, item);
	skh_metrics_add(SKH_COUNT_ATTEMPTS, 1);
	return true;
}

double skh_link_record_request(skh_link_t *link, const char *customer, uint64_t prefix_hash)
{
	int64_t now_us = skh_clock_now_us();
	double heat = 0.0;

	g_mutex_lock(&link->lock);
	skh_retry_budget_record_request(link->budget, customer, now_us);
	if (prefix_hash != 0)
		heat = skh_prefix_share_record(link->heat, prefix_hash, now_us);
	g_mutex_unlock(&link->lock);
	return heat;
}

void skh_link_record_end(skh_link_t *link, const char *customer)
{
	g_mutex_lock(&link->lock);
	skh_retry_budget_record_end(link->budget, customer);
	g_mutex_unlock(&link->lock);
}

bool skh_link_acquire_retry(skh_link_t *link, const char *customer)
{
	bool may;

	g_mutex_lock(&link->lock);
	may = skh_retry_budget_acquire(link->budget, customer, skh_clock_now_us());
	g_mutex_unlock(&link->lock);
	return may;
}

void skh_link_release(skh_link_t *link, const skh_dispatched_attempt_t *placement, bool succeeded,
		      bool cancel)
{
	Skh__Frame frame = SKH__FRAME__INIT;
	Skh__Cancel body = SKH__CANCEL__INIT;
	waiting_t *waiting;

	g_mutex_lock(&link->lock);
	waiting = g_hash_table_lookup(link->waiting, &placement->attempt);
	if (waiting) {
		skh_peers_end_request(waiting->peer, succeeded, skh_clock_now_us());
		g_hash_table_remove(link->waiting, &placement->attempt);
	}
	g_mutex_unlock(&link->lock);
	if (!cancel)
		return;
	body.attempt = placement->attempt;
	frame.body_case = SKH__FRAME__BODY_CANCEL;
	frame.cancel = &body;
	send_frame(link, placement->peer_id, &frame);
	skh_metrics_add(SKH_COUNT_CANCELS, 1);
}

void skh_link_send_credit(skh_link_t *link, const skh_dispatched_attempt_t *placement,
			  uint32_t bytes)
{
	Skh__Frame frame = SKH__FRAME__INIT;
	Skh__Credit credit = SKH__CREDIT__INIT;

	credit.attempt = placement->attempt;
	credit.bytes = bytes;
	frame.body_case = SKH__FRAME__BODY_CREDIT;
	frame.credit = &credit;
	send_frame(link, placement->peer_id, &frame);
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
