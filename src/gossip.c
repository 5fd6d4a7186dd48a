#include "gossip.h"

#include "address.h"
#include "clock.h"
#include "crash_suspects.h"
#include "log.h"
#include "metrics.h"
#include "wire.pb-c.h"

#include <stdlib.h>
#include <string.h>

#define PART "gossip"
/* A gateway's whole budget for control is 2 KB/s; a third is left for the store. */
#define BYTES_PER_S    1400
#define DATAGRAM_BYTES 42 /* of Ethernet, IP and UDP before the report */
#define LEAST_PAUSE_US (80 * SKH_US_PER_MS)
#define MOST_PAUSE_US  (1 * SKH_US_PER_S)
/* A gateway that is silent for longer has ended, or its requests have. */
#define FORGET_US	(2500 * SKH_US_PER_MS)
#define MAX_SERVERS	400
#define MAX_CULPRITS	16
#define CULPRIT_REPEATS 8
#define MAX_COUNT	255
#define MAX_DATAGRAM	4096

typedef struct peer_report {
	uint64_t number;
	int64_t at_us;
	GHashTable *running; /* hash of the server's id -> requests */
} peer_report_t;

typedef struct told_culprit {
	uint64_t content;
	uint64_t crash;
	uint32_t left; /* reports that still carry it */
} told_culprit_t;

struct skh_gossip {
	skh_gateway_t *gateway;
	uv_udp_t udp;
	uint64_t sender;
	uint64_t number;
	GArray *peers;	     /* struct sockaddr_in */
	GHashTable *reports; /* sender -> peer_report_t */
	int64_t next_us;
	uint64_t last_hash; /* of the counts last sent */
	int64_t last_us;
	told_culprit_t culprits[MAX_CULPRITS];
};

static uint32_t id_hash(const char *id)
{
	return (uint32_t)skh_chunk_hash(skh_chunk_from_string(id), 0);
}

static void free_report(gpointer data)
{
	peer_report_t *report = data;

	g_hash_table_unref(report->running);
	g_free(report);
}

/* What all peers have at one server. */
static void sum_target(skh_target_t *target, void *context)
{
	skh_gossip_t *gossip = context;
	gpointer key = GUINT_TO_POINTER(id_hash(target->server->id));
	GHashTableIter iter;
	gpointer report;
	uint32_t sum = 0;

	g_hash_table_iter_init(&iter, gossip->reports);
	while (g_hash_table_iter_next(&iter, NULL, &report))
		sum += GPOINTER_TO_UINT(
			g_hash_table_lookup(((peer_report_t *)report)->running, key));
	target->peers_running = sum;
}

static void sum_up(skh_gossip_t *gossip)
{
	skh_backends_for_each_target(gossip->gateway->backends, sum_target, gossip);
}

static void take_report(skh_gossip_t *gossip, const Skh__LoadReport *message)
{
	const int64_t sender = (int64_t)message->sender;
	int64_t now_us = skh_clock_boot_us();
	peer_report_t *report = g_hash_table_lookup(gossip->reports, &sender);

	if (report && message->number <= report->number)
		return;
	if (!report) {
		report = g_new0(peer_report_t, 1);
		report->running = g_hash_table_new(NULL, NULL);
		(void)g_hash_table_insert(gossip->reports, g_memdup2(&sender, sizeof(sender)),
					  report);
	}
	report->number = message->number;
	report->at_us = now_us;
	g_hash_table_remove_all(report->running);
	for (size_t i = 0; i < message->n_servers && i < message->running.len; i++)
		(void)g_hash_table_insert(report->running, GUINT_TO_POINTER(message->servers[i]),
					  GUINT_TO_POINTER(message->running.data[i]));
	for (size_t i = 0; i < message->n_culprits && i < message->n_crashes; i++)
		skh_crash_suspects_add_remote_crash(gossip->gateway->crash_suspects,
						    message->culprits[i], message->crashes[i],
						    now_us);
	sum_up(gossip);
}

static bool is_peer(const skh_gossip_t *gossip, const struct sockaddr *from)
{
	const struct sockaddr_in *address = (const struct sockaddr_in *)from;

	for (guint i = 0; i < gossip->peers->len; i++) {
		const struct sockaddr_in *peer =
			&g_array_index(gossip->peers, struct sockaddr_in, i);

		if (peer->sin_addr.s_addr == address->sin_addr.s_addr)
			return true;
	}
	return false;
}

static void on_datagram(uv_udp_t *udp, ssize_t n, const uv_buf_t *buffer,
			const struct sockaddr *from, unsigned int flags)
{
	skh_gossip_t *gossip = udp->data;
	Skh__LoadReport *message;

	(void)flags;
	if (n <= 0 || !from || !is_peer(gossip, from))
		return;
	skh_metrics_add(SKH_COUNT_CONTROL_BYTES_IN, (uint64_t)n);
	message = skh__load_report__unpack(NULL, (size_t)n, (const uint8_t *)buffer->base);
	if (!message) {
		skh_metrics_add(SKH_COUNT_BAD_FRAMES, 1);
		return;
	}
	if (message->sender != gossip->sender)
		take_report(gossip, message);
	skh__load_report__free_unpacked(message, NULL);
}

static void give_buffer(uv_handle_t *handle, size_t wanted, uv_buf_t *buffer)
{
	static char bytes[MAX_DATAGRAM];

	(void)handle;
	(void)wanted;
	*buffer = uv_buf_init(bytes, sizeof(bytes));
}

skh_gossip_t *skh_gossip_start(skh_gateway_t *gateway, const char *address, skh_error_t *err)
{
	skh_gossip_t *gossip = g_new0(skh_gossip_t, 1);
	struct sockaddr_in own;
	int status = skh_address_parse(address, &own) ? 0 : UV_EINVAL;

	gossip->gateway = gateway;
	gossip->sender = skh_random_u64();
	gossip->peers = g_array_new(FALSE, FALSE, sizeof(struct sockaddr_in));
	gossip->reports = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, free_report);
	(void)uv_udp_init(&gateway->loop, &gossip->udp);
	gossip->udp.data = gossip;
	if (status == 0)
		status = uv_udp_bind(&gossip->udp, (const struct sockaddr *)&own, 0);
	if (status == 0)
		status = uv_udp_recv_start(&gossip->udp, give_buffer, on_datagram);
	if (status == 0)
		return gossip;
	(void)skh_error_set(err, SKH_CONFIG_INVALID, "can't use UDP %s: %s", address,
			    uv_strerror(status));
	skh_gossip_close(gossip);
	return NULL;
}

void skh_gossip_set_peers(skh_gossip_t *gossip, GPtrArray *peers)
{
	g_array_set_size(gossip->peers, 0);
	for (guint i = 0; i < peers->len; i++) {
		const char *address = g_ptr_array_index(peers, i);
		struct sockaddr_in peer;

		if (skh_address_parse(address, &peer))
			g_array_append_val(gossip->peers, peer);
		else
			skh_log(SKH_LOG_WARNING, PART, "Gateway's address not read.", "address=%s",
				address);
	}
	g_ptr_array_unref(peers);
}

uint32_t skh_gossip_count_peers(const skh_gossip_t *gossip)
{
	return gossip->peers->len;
}

static void forget_old(skh_gossip_t *gossip, int64_t now_us)
{
	GHashTableIter iter;
	gpointer report;
	bool forgot = false;

	g_hash_table_iter_init(&iter, gossip->reports);
	while (g_hash_table_iter_next(&iter, NULL, &report)) {
		if (now_us - ((peer_report_t *)report)->at_us < FORGET_US)
			continue;
		g_hash_table_iter_remove(&iter);
		forgot = true;
	}
	if (forgot)
		sum_up(gossip);
}

/* A report while it is filled. */
typedef struct draft {
	uint32_t servers[MAX_SERVERS];
	uint8_t running[MAX_SERVERS];
	uint64_t culprits[MAX_CULPRITS];
	uint64_t crashes[MAX_CULPRITS];
	size_t n_servers;
	size_t n_culprits;
} draft_t;

static void add_target(skh_target_t *target, void *context)
{
	draft_t *draft = context;

	if (target->own_running == 0 || draft->n_servers == MAX_SERVERS)
		return;
	draft->servers[draft->n_servers] = id_hash(target->server->id);
	draft->running[draft->n_servers++] = (uint8_t)MIN(target->own_running, MAX_COUNT);
}

static void add_culprits(skh_gossip_t *gossip, draft_t *draft)
{
	for (uint32_t i = 0; i < MAX_CULPRITS; i++) {
		told_culprit_t *told = &gossip->culprits[i];

		if (told->left == 0)
			continue;
		told->left--;
		draft->culprits[draft->n_culprits] = told->content;
		draft->crashes[draft->n_culprits++] = told->crash;
	}
}

static uint64_t hash_draft(const draft_t *draft)
{
	uint64_t hash = skh_chunk_hash(
		skh_chunk_make(draft->servers, draft->n_servers * sizeof(draft->servers[0])),
		draft->n_culprits);

	return skh_chunk_hash(skh_chunk_make(draft->running, draft->n_servers), hash);
}

/* Returns the bytes sent to one peer. */
static size_t send_draft(skh_gossip_t *gossip, draft_t *draft)
{
	uint8_t packed[MAX_DATAGRAM];
	Skh__LoadReport message = SKH__LOAD_REPORT__INIT;
	uv_buf_t buffer;
	size_t len;

	message.sender = gossip->sender;
	message.number = ++gossip->number;
	message.n_servers = draft->n_servers;
	message.servers = draft->servers;
	message.running = (ProtobufCBinaryData){ draft->n_servers, draft->running };
	message.n_culprits = draft->n_culprits;
	message.culprits = draft->culprits;
	message.n_crashes = draft->n_culprits;
	message.crashes = draft->crashes;
	len = skh__load_report__pack(&message, packed);
	buffer = uv_buf_init((char *)packed, (unsigned int)len);
	for (guint i = 0; i < gossip->peers->len; i++) {
		const struct sockaddr_in *peer =
			&g_array_index(gossip->peers, struct sockaddr_in, i);

		/* A report that does not go out is made good by the next. */
		(void)uv_udp_try_send(&gossip->udp, &buffer, 1, (const struct sockaddr *)peer);
	}
	skh_metrics_add(SKH_COUNT_CONTROL_BYTES_OUT, len * gossip->peers->len);
	return len + DATAGRAM_BYTES;
}

void skh_gossip_tick(skh_gossip_t *gossip)
{
	int64_t now_us = skh_clock_boot_us();
	draft_t draft = { .n_servers = 0 };
	uint64_t hash;
	size_t sent;

	forget_old(gossip, now_us);
	if (now_us < gossip->next_us || gossip->peers->len == 0)
		return;
	skh_backends_for_each_target(gossip->gateway->backends, add_target, &draft);
	add_culprits(gossip, &draft);
	hash = hash_draft(&draft);
	if (hash == gossip->last_hash && now_us - gossip->last_us < MOST_PAUSE_US)
		return;
	sent = send_draft(gossip, &draft) * gossip->peers->len;
	gossip->last_hash = hash;
	gossip->last_us = now_us;
	gossip->next_us = now_us + CLAMP((int64_t)sent * SKH_US_PER_S / BYTES_PER_S, LEAST_PAUSE_US,
					 MOST_PAUSE_US);
}

void skh_gossip_add_crash_suspect(skh_gossip_t *gossip, uint64_t content, uint64_t crash)
{
	told_culprit_t *oldest = &gossip->culprits[0];

	for (uint32_t i = 1; i < MAX_CULPRITS; i++) {
		if (gossip->culprits[i].left < oldest->left)
			oldest = &gossip->culprits[i];
	}
	*oldest = (told_culprit_t){ content, crash, CULPRIT_REPEATS };
}

void skh_gossip_close(skh_gossip_t *gossip)
{
	if (!uv_is_closing((uv_handle_t *)&gossip->udp))
		uv_close((uv_handle_t *)&gossip->udp, NULL);
}

void skh_gossip_free(skh_gossip_t *gossip)
{
	(void)g_array_free(gossip->peers, TRUE);
	g_hash_table_unref(gossip->reports);
	g_free(gossip);
}
