#include "gossip.h"

#include "address.h"
#include "backlog_report.h"
#include "clock.h"
#include "crash_suspects.h"
#include "log.h"
#include "metrics.h"
#include "wire.pb-c.h"

#include <stdlib.h>
#include <string.h>

#define PART "gossip"
/* Control traffic of a gateway is limited to 2 KB/s; about a third is left for store calls. */
#define SEND_BYTES_PER_S	1400
#define DATAGRAM_OVERHEAD_BYTES 42 /* Ethernet, IP and UDP headers */
#define MIN_INTERVAL_US		(80 * SKH_US_PER_MS)
#define MAX_INTERVAL_US		(1 * SKH_US_PER_S)
/*
 * Age at which the counts of a report are dropped: its sender has stopped, or the requests that it counted have
 * ended. A running gateway sends a report at least every MAX_INTERVAL_US.
 */
#define REPORT_EXPIRY_US (2500 * SKH_US_PER_MS)
/* The survivals of a sender are known for longer: 400 gateways in turn take half a minute. */
#define SENDER_EXPIRY_US (60 * SKH_US_PER_S)
/* Statements of servers that are older have been reported before. */
#define LIMIT_REPORT_AGE_US (2500 * SKH_US_PER_MS)
/*
 * The backlog is part of a report at most so often, so that reports that go to a few gateways are
 * not made rarer by it.
 */
#define BACKLOG_INTERVAL_US (400 * SKH_US_PER_MS)
/* A share is logged when it has changed by this part of an equal share. */
#define MIN_LOGGED_CHANGE 0.25
/* Above this interval between reports with the counts for each server no gateway uses them. */
#define MAX_COUNTS_INTERVAL_US (1200 * SKH_US_PER_MS)
/* Reports that a gateway sends at once after its loop was delayed. */
#define MAX_REPORTS_AT_ONCE 4
#define MAX_SERVERS	    400
#define MAX_CRASH_RECORDS   16	/* in one report */
#define MAX_RUNNING	    255 /* one byte per server in the report */
#define MAX_LIMITS	    128 /* in one report */
#define MAX_DOMAINS	    16	/* out of service or back, in one report */
#define MAX_REPORT_BYTES    8192

typedef struct peer_report {
	uint64_t number;    /* sequence number of the report */
	uint64_t survivals; /* as last reported */
	int64_t received_us;
	GHashTable *running; /* hash of the server id -> requests in flight */
} peer_report_t;

struct skh_gossip {
	skh_gateway_t *gateway;
	uv_udp_t udp;
	uint64_t sender;
	uint64_t number;     /* sequence number of the last report sent */
	GArray *peers;	     /* struct sockaddr_in, in a random order */
	guint next_peer;     /* index into @peers; next one to get a report on its own */
	GHashTable *reports; /* sender -> peer_report_t */
	struct sockaddr_in own_address;
	skh_server_share_t share; /* of this gateway among all gateways, by address */
	int64_t next_send_us;
	int64_t next_update_us;	 /* of the crash suspects */
	bool has_crash_news;	 /* at the last update */
	uint64_t list_version;	 /* of the peers; counted from 1 */
	uint64_t list_sum;	 /* of @peer_hashes, to tell whether the list differs */
	int64_t list_changed_us; /* time of the last difference; 0 before */
	GArray *peer_hashes;	 /* uint64_t, see hash_gateway() */
	uint64_t last_sent_hash; /* see hash_report() */
	uint64_t told_domains;	 /* hash of the domains in the last report to all gateways */
	int64_t last_sent_us;
	int64_t interval_us; /* between two reports to a gateway, as the last report was */
	/* The same for reports with the counts of all servers and without the backlog. */
	int64_t counts_interval_us;
	int64_t next_backlog_us; /* in a report */
	int64_t next_backlog_update_us;
};

static uint32_t hash_server_id(const char *id)
{
	return (uint32_t)skh_chunk_hash(skh_chunk_from_string(id), 0);
}

static void free_report(gpointer data)
{
	peer_report_t *report = data;

	g_hash_table_unref(report->running);
	g_free(report);
}

/* Sums the requests of all other gateways at one server. */
static void sum_peers_running(skh_target_t *target, void *context)
{
	skh_gossip_t *gossip = context;
	gpointer key = GUINT_TO_POINTER(hash_server_id(target->server->id));
	GHashTableIter iter;
	gpointer report;
	uint32_t sum = 0;

	g_hash_table_iter_init(&iter, gossip->reports);
	while (g_hash_table_iter_next(&iter, NULL, &report))
		sum += GPOINTER_TO_UINT(
			g_hash_table_lookup(((peer_report_t *)report)->running, key));
	target->peers_running = sum;
}

static void update_peers_running(skh_gossip_t *gossip)
{
	skh_backends_for_each_target(gossip->gateway->backends, sum_peers_running, gossip);
}

static void merge_crash_records(skh_gossip_t *gossip, const Skh__LoadReport *message,
				int64_t now_us)
{
	skh_crash_suspects_t *suspects = gossip->gateway->crash_suspects;

	for (size_t i = 0; i < message->n_culprits && i < message->n_crashes; i++) {
		bool is_confirmed = i < message->confirmed.len && message->confirmed.data[i] == 1;

		skh_crash_suspects_merge(
			suspects,
			&(skh_crash_record_t){ message->culprits[i], message->crashes[i],
					       is_confirmed ? SKH_CRASH_FINDING_CONFIRMED
							    : SKH_CRASH_FINDING_SUSPECTED },
			now_us);
	}
	for (size_t i = 0; i < message->n_cleared && i < message->n_cleared_of; i++)
		skh_crash_suspects_merge(suspects,
					 &(skh_crash_record_t){ message->cleared[i],
								message->cleared_of[i],
								SKH_CRASH_FINDING_CLEARED },
					 now_us);
}

/* Context of merge_limit() */
typedef struct received_limits {
	const Skh__LoadReport *message;
	int64_t now_us;
} received_limits_t;

static void merge_cold(skh_target_t *target, void *context)
{
	const received_limits_t *received = context;
	const Skh__LoadReport *message = received->message;
	uint32_t hash = hash_server_id(target->server->id);

	for (size_t i = 0; i < message->n_cold && i < message->n_cold_left_ms; i++) {
		if (message->cold[i] == hash)
			skh_server_warmth_record_report(&target->warmth,
							message->cold_left_ms[i] * SKH_US_PER_MS,
							received->now_us);
	}
}

static void merge_limit(skh_target_t *target, void *context)
{
	const received_limits_t *received = context;
	const Skh__LoadReport *message = received->message;
	uint32_t hash = hash_server_id(target->server->id);

	for (size_t i = 0;
	     i < message->n_limited && i < message->n_limit_mhz && i < message->n_limit_age_ms;
	     i++) {
		if (message->limited[i] == hash)
			skh_server_limit_name(
				&target->limit, message->limit_mhz[i] / 1000.0,
				received->now_us - message->limit_age_ms[i] * SKH_US_PER_MS, false);
	}
}

/* The report is complete in what the sender knows of domains if it has an age. */
static void merge_domains(skh_gossip_t *gossip, const Skh__LoadReport *message, int64_t now_us)
{
	skh_gateway_t *gateway = gossip->gateway;
	size_t n = MIN(MIN(message->n_domains, message->domains_out.len),
		       MIN(message->n_domain_eras, message->n_domain_revisions));
	bool has_changed = false;

	for (size_t i = 0; i < n; i++) {
		const skh_domain_news_t news = {
			.kind = message->domains_out.data[i] == 1 ? SKH_DOMAIN_NEWS_OUT
								  : SKH_DOMAIN_NEWS_BACK,
			.domain = message->domains[i],
			.era = (int64_t)message->domain_eras[i],
			.revision = (int64_t)message->domain_revisions[i],
		};

		if (news.domain == 0 || news.era < 0 || news.revision < 0 ||
		    !skh_domain_status_apply(gateway->domains, &news, now_us))
			continue;
		skh_gateway_log_domain(gateway, &news, "gateway");
		has_changed = true;
	}
	if (has_changed)
		skh_gateway_on_domains_changed(gateway);
	if (message->domains_age_ms > 0 && n == message->n_domains)
		skh_domain_status_renew(gateway->domains,
					((int64_t)message->domains_age_ms - 1) * SKH_US_PER_MS,
					now_us);
}

static void store_report(skh_gossip_t *gossip, const Skh__LoadReport *message)
{
	const int64_t sender = (int64_t)message->sender;
	int64_t now_us = skh_clock_boot_us();
	peer_report_t *report = g_hash_table_lookup(gossip->reports, &sender);
	skh_backlog_statement_t statement;

	if (report && message->number <= report->number)
		return;
	if (!report) {
		report = g_new0(peer_report_t, 1);
		report->running = g_hash_table_new(NULL, NULL);
		(void)g_hash_table_insert(gossip->reports, g_memdup2(&sender, sizeof(sender)),
					  report);
	} else
		skh_crash_suspects_add_survivals(gossip->gateway->crash_suspects,
						 message->survivals - report->survivals);
	report->number = message->number;
	report->survivals = message->survivals;
	report->received_us = now_us;
	g_hash_table_remove_all(report->running);
	for (size_t i = 0; i < message->n_servers && i < message->running.len; i++)
		(void)g_hash_table_insert(report->running, GUINT_TO_POINTER(message->servers[i]),
					  GUINT_TO_POINTER(message->running.data[i]));
	merge_crash_records(gossip, message, now_us);
	merge_domains(gossip, message, now_us);
	if (skh_backlog_report_decode(message, &statement))
		skh_backlog_merge(gossip->gateway->backlog, message->sender, &statement, now_us);
	if (message->n_limited > 0)
		skh_backends_for_each_target(
			gossip->gateway->backends, merge_limit,
			&(received_limits_t){ .message = message, .now_us = now_us });
	if (message->n_cold > 0)
		skh_backends_for_each_target(
			gossip->gateway->backends, merge_cold,
			&(received_limits_t){ .message = message, .now_us = now_us });
	update_peers_running(gossip);
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
		store_report(gossip, message);
	skh__load_report__free_unpacked(message, NULL);
}

static void provide_buffer(uv_handle_t *handle, size_t suggested_size, uv_buf_t *buffer)
{
	static char bytes[MAX_REPORT_BYTES];

	(void)handle;
	(void)suggested_size;
	*buffer = uv_buf_init(bytes, sizeof(bytes));
}

skh_gossip_t *skh_gossip_start(skh_gateway_t *gateway, const char *address, skh_error_t *err)
{
	skh_gossip_t *gossip = g_new0(skh_gossip_t, 1);
	struct sockaddr_in own_address;
	int status = skh_address_parse(address, &own_address) ? 0 : UV_EINVAL;

	gossip->gateway = gateway;
	gossip->own_address = own_address;
	gossip->sender = skh_random_u64();
	gossip->peers = g_array_new(FALSE, FALSE, sizeof(struct sockaddr_in));
	gossip->list_version = 1;
	gossip->peer_hashes = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	gossip->reports = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, free_report);
	(void)uv_udp_init(&gateway->loop, &gossip->udp);
	gossip->udp.data = gossip;
	if (status == 0)
		status = uv_udp_bind(&gossip->udp, (const struct sockaddr *)&own_address, 0);
	if (status == 0)
		status = uv_udp_recv_start(&gossip->udp, provide_buffer, on_datagram);
	if (status == 0)
		return gossip;
	(void)skh_error_set(err, SKH_CONFIG_INVALID, "can't listen on UDP address %s: %s", address,
			    uv_strerror(status));
	skh_gossip_close(gossip);
	return NULL;
}

static bool is_address_before(const struct sockaddr_in *a, const struct sockaddr_in *b)
{
	uint32_t host_a = ntohl(a->sin_addr.s_addr);
	uint32_t host_b = ntohl(b->sin_addr.s_addr);

	return host_a != host_b ? host_a < host_b : ntohs(a->sin_port) < ntohs(b->sin_port);
}

/* Identifies a gateway by its address, as all gateways list it. */
static uint64_t hash_gateway(const struct sockaddr_in *address)
{
	const uint64_t identity =
		((uint64_t)ntohl(address->sin_addr.s_addr) << 16) | ntohs(address->sin_port);

	return skh_chunk_hash(skh_chunk_make(&identity, sizeof(identity)), 0);
}

static void update_share(skh_gossip_t *gossip)
{
	gossip->share = (skh_server_share_t){ 0, gossip->peers->len + 1 };
	for (guint i = 0; i < gossip->peers->len; i++)
		gossip->share.index += is_address_before(
			&g_array_index(gossip->peers, struct sockaddr_in, i), &gossip->own_address);
}

/* Gateways that report to the others in turn must not all do it in the same order. */
static void shuffle_peers(skh_gossip_t *gossip)
{
	for (guint i = gossip->peers->len; i > 1; i--) {
		struct sockaddr_in *last = &g_array_index(gossip->peers, struct sockaddr_in, i - 1);
		struct sockaddr_in *other =
			&g_array_index(gossip->peers, struct sockaddr_in, skh_random_u64() % i);
		struct sockaddr_in moved = *last;

		*last = *other;
		*other = moved;
	}
}

void skh_gossip_set_peers(skh_gossip_t *gossip, GPtrArray *peers)
{
	uint64_t sum = 0;

	g_array_set_size(gossip->peers, 0);
	g_array_set_size(gossip->peer_hashes, 0);
	gossip->list_version++;
	for (guint i = 0; i < peers->len; i++) {
		const char *address = g_ptr_array_index(peers, i);
		struct sockaddr_in peer;

		if (skh_address_parse(address, &peer)) {
			const uint64_t hash = hash_gateway(&peer);

			g_array_append_val(gossip->peers, peer);
			g_array_append_val(gossip->peer_hashes, hash);
			sum += hash;
		} else {
			skh_log(SKH_LOG_WARNING, PART, "Gateway address is invalid and ignored.",
				"address=%s", address);
		}
	}
	g_ptr_array_unref(peers);
	if (sum != gossip->list_sum)
		gossip->list_changed_us = skh_clock_boot_us();
	gossip->list_sum = sum;
	shuffle_peers(gossip);
	skh_backlog_set_gateways(gossip->gateway->backlog, gossip->peers->len + 1);
	update_share(gossip);
}

/* @interval_us: time between two reports with the counts of all servers */
static bool can_use_counts(const skh_gossip_t *gossip, const skh_target_pool_t *pool,
			   int64_t interval_us)
{
	return skh_selection_can_use_reports(
		interval_us, skh_backlog_start_rate(gossip->gateway->backlog, pool->service),
		pool->targets->len);
}

skh_server_share_t skh_gossip_get_share(const skh_gossip_t *gossip, const skh_target_pool_t *pool)
{
	const skh_server_share_t all = { 0, 0 };

	return can_use_counts(gossip, pool, gossip->counts_interval_us) ? all : gossip->share;
}

uint32_t skh_gossip_count_peers(const skh_gossip_t *gossip)
{
	return gossip->peers->len;
}

static void expire_reports(skh_gossip_t *gossip, int64_t now_us)
{
	GHashTableIter iter;
	gpointer report;
	bool has_expired = false;

	g_hash_table_iter_init(&iter, gossip->reports);
	while (g_hash_table_iter_next(&iter, NULL, &report)) {
		int64_t age_us = now_us - ((peer_report_t *)report)->received_us;

		if (age_us < REPORT_EXPIRY_US)
			continue;
		has_expired = true;
		g_hash_table_remove_all(((peer_report_t *)report)->running);
		if (age_us >= SENDER_EXPIRY_US)
			g_hash_table_iter_remove(&iter);
	}
	if (has_expired)
		update_peers_running(gossip);
}

/* --- Limits that servers name --- */

static void update_limit(skh_target_t *target, void *context)
{
	const skh_gossip_t *gossip = context;
	const skh_gateway_list_t others = { (const uint64_t *)(void *)gossip->peer_hashes->data,
					    gossip->peer_hashes->len, gossip->list_version,
					    gossip->list_changed_us };

	if (skh_warmth_spec_is_set(&target->target_pool->warmth_spec))
		skh_target_update_warmth(target, hash_gateway(&gossip->own_address), &others,
					 skh_clock_boot_us());
	if (target->limit.named_us != 0)
		skh_server_limit_update(&target->limit, skh_server_instance_hash(target->server),
					hash_gateway(&gossip->own_address), &others,
					skh_clock_boot_us());
}

/* Contents of a report before it is encoded. */
typedef struct outgoing_report {
	uint32_t servers[MAX_SERVERS];
	uint8_t running[MAX_SERVERS];
	size_t n_servers;
	uint32_t limited[MAX_LIMITS];
	uint32_t limit_mhz[MAX_LIMITS];
	uint32_t limit_age_ms[MAX_LIMITS];
	size_t n_limited;
	uint32_t cold[MAX_LIMITS];
	uint32_t cold_left_ms[MAX_LIMITS];
	size_t n_cold;
	skh_domain_news_t domains[MAX_DOMAINS];
	size_t n_domains;
	uint64_t domain_hashes[MAX_DOMAINS];
	uint8_t domains_out[MAX_DOMAINS];
	uint64_t domain_eras[MAX_DOMAINS];
	uint64_t domain_revisions[MAX_DOMAINS];
	uint32_t domains_age_ms;
	int64_t max_limit_age_us;
	bool has_backlog;
	skh_backlog_statement_t statement;
} outgoing_report_t;

static void add_target(skh_target_t *target, void *context)
{
	outgoing_report_t *outgoing = context;

	if (target->own_in_flight == 0)
		return;
	if (outgoing->n_servers == MAX_SERVERS) {
		skh_metrics_add(SKH_COUNT_GOSSIP_OMITTED, 1);
		return;
	}
	outgoing->servers[outgoing->n_servers] = hash_server_id(target->server->id);
	outgoing->running[outgoing->n_servers++] = (uint8_t)MIN(target->own_in_flight, MAX_RUNNING);
}

/* Adds what the server said to this gateway a short while ago. */
static void add_limit(skh_target_t *target, void *context)
{
	outgoing_report_t *outgoing = context;
	const skh_server_limit_t *limit = &target->limit;
	int64_t age_us = skh_clock_boot_us() - limit->named_us;

	if (limit->named_us == 0 || !limit->is_own || age_us > outgoing->max_limit_age_us ||
	    outgoing->n_limited == MAX_LIMITS)
		return;
	outgoing->limited[outgoing->n_limited] = hash_server_id(target->server->id);
	outgoing->limit_mhz[outgoing->n_limited] = (uint32_t)MIN(limit->per_s * 1000.0, 1e9);
	outgoing->limit_age_ms[outgoing->n_limited++] = (uint32_t)(age_us / SKH_US_PER_MS);
}

/* Adds how long the server stays cold, as it said to this gateway a short while ago. */
static void add_cold(skh_target_t *target, void *context)
{
	outgoing_report_t *outgoing = context;
	const skh_server_warmth_t *warmth = &target->warmth;
	int64_t now_us = skh_clock_boot_us();
	int64_t left_us = skh_server_warmth_left_us(warmth, now_us);

	if (!warmth->is_own || left_us == 0 || outgoing->n_cold == MAX_LIMITS ||
	    now_us - warmth->stated_us > LIMIT_REPORT_AGE_US ||
	    !skh_warmth_spec_is_set(&target->target_pool->warmth_spec))
		return;
	outgoing->cold[outgoing->n_cold] = hash_server_id(target->server->id);
	outgoing->cold_left_ms[outgoing->n_cold++] = (uint32_t)(left_us / SKH_US_PER_MS);
}

static void add_domains(const skh_gossip_t *gossip, outgoing_report_t *outgoing)
{
	const skh_domain_status_t *status = gossip->gateway->domains;
	int64_t as_of_us = skh_domain_status_read_as_of_us(status);
	size_t n = skh_domain_status_list(status, outgoing->domains, MAX_DOMAINS);

	outgoing->n_domains = MIN(n, MAX_DOMAINS);
	for (size_t i = 0; i < outgoing->n_domains; i++) {
		const skh_domain_news_t *domain = &outgoing->domains[i];

		outgoing->domain_hashes[i] = domain->domain;
		outgoing->domains_out[i] = domain->kind == SKH_DOMAIN_NEWS_OUT;
		outgoing->domain_eras[i] = (uint64_t)domain->era;
		outgoing->domain_revisions[i] = (uint64_t)domain->revision;
	}
	if (skh_domain_status_has_bound(status) && as_of_us != 0 && n <= MAX_DOMAINS)
		outgoing->domains_age_ms =
			1 + (uint32_t)((skh_clock_boot_us() - as_of_us) / SKH_US_PER_MS);
}

/*
 * Hashes the servers, their counts and the domains out of service. Unless this hash changes or crash records are new, the next
 * report is sent only after MAX_INTERVAL_US.
 */
static uint64_t hash_report(const outgoing_report_t *outgoing)
{
	uint64_t hash =
		skh_chunk_hash(skh_chunk_make(outgoing->servers,
					      outgoing->n_servers * sizeof(outgoing->servers[0])),
			       0);

	hash = skh_chunk_hash(skh_chunk_make(outgoing->running, outgoing->n_servers), hash);
	hash = skh_chunk_hash(
		skh_chunk_make(outgoing->cold, outgoing->n_cold * sizeof(outgoing->cold[0])), hash);
	hash = skh_chunk_hash(skh_chunk_make(outgoing->domains_out, outgoing->n_domains), hash);
	return skh_chunk_hash(
		skh_chunk_make(outgoing->domain_revisions,
			       outgoing->n_domains * sizeof(outgoing->domain_revisions[0])),
		hash);
}

/* Crash records of one report; the message borrows the arrays. */
typedef struct outgoing_records {
	uint64_t suspected[2][MAX_CRASH_RECORDS]; /* traits, then crashes */
	uint64_t cleared[2][MAX_CRASH_RECORDS];
	uint8_t confirmed[MAX_CRASH_RECORDS];
} outgoing_records_t;

static void add_crash_records(skh_gossip_t *gossip, Skh__LoadReport *message,
			      outgoing_records_t *out)
{
	skh_crash_record_t records[MAX_CRASH_RECORDS];
	uint32_t n = skh_crash_suspects_take_news(gossip->gateway->crash_suspects, records,
						  MAX_CRASH_RECORDS, skh_clock_boot_us());

	message->culprits = out->suspected[0];
	message->crashes = out->suspected[1];
	message->cleared = out->cleared[0];
	message->cleared_of = out->cleared[1];
	message->confirmed.data = out->confirmed;
	for (uint32_t i = 0; i < n; i++) {
		if (records[i].finding == SKH_CRASH_FINDING_CLEARED) {
			message->cleared[message->n_cleared++] = records[i].trait;
			message->cleared_of[message->n_cleared_of++] = records[i].crash;
		} else {
			message->confirmed.data[message->confirmed.len++] =
				records[i].finding == SKH_CRASH_FINDING_CONFIRMED;
			message->culprits[message->n_culprits++] = records[i].trait;
			message->crashes[message->n_crashes++] = records[i].crash;
		}
	}
}

/* Time in which the budget allows reports of @bytes to all other gateways. */
static int64_t get_round_us(const skh_gossip_t *gossip, size_t bytes)
{
	return (int64_t)(bytes * gossip->peers->len) * SKH_US_PER_S / SEND_BYTES_PER_S;
}

/* Context of check_counts() */
typedef struct counts_check {
	const skh_gossip_t *gossip;
	bool is_needed;
} counts_check_t;

/* Another gateway may use counts that this one does not: its reports may be half as long. */
static void check_counts(skh_target_pool_t *pool, void *context)
{
	counts_check_t *check = context;

	check->is_needed =
		check->is_needed ||
		can_use_counts(check->gossip, pool, check->gossip->counts_interval_us / 2);
}

/* Leaves out the counts for each server where no gateway uses them. */
static void omit_counts(skh_gossip_t *gossip, Skh__LoadReport *message)
{
	size_t bytes = skh__load_report__get_packed_size(message) + DATAGRAM_OVERHEAD_BYTES;
	counts_check_t check = { .gossip = gossip };

	gossip->counts_interval_us = get_round_us(gossip, bytes);
	if (gossip->counts_interval_us <= MAX_COUNTS_INTERVAL_US)
		skh_backends_for_each_pool(gossip->gateway->backends, check_counts, &check);
	if (check.is_needed)
		return;
	message->n_servers = 0;
	message->running.len = 0;
}

/* Returns the bytes of the report with headers. */
static size_t send_report(skh_gossip_t *gossip, outgoing_report_t *outgoing, guint n_peers)
{
	uint8_t packed[MAX_REPORT_BYTES];
	Skh__LoadReport message = SKH__LOAD_REPORT__INIT;
	outgoing_records_t records;
	skh_backlog_report_t backlog;
	uv_buf_t buffer;
	size_t len;

	message.sender = gossip->sender;
	message.number = ++gossip->number;
	message.n_servers = outgoing->n_servers;
	message.servers = outgoing->servers;
	message.running = (ProtobufCBinaryData){ outgoing->n_servers, outgoing->running };
	message.n_limited = outgoing->n_limited;
	message.limited = outgoing->limited;
	message.n_limit_mhz = outgoing->n_limited;
	message.limit_mhz = outgoing->limit_mhz;
	message.n_limit_age_ms = outgoing->n_limited;
	message.limit_age_ms = outgoing->limit_age_ms;
	message.n_domains = outgoing->n_domains;
	message.domains = outgoing->domain_hashes;
	message.domains_out = (ProtobufCBinaryData){ outgoing->n_domains, outgoing->domains_out };
	message.n_domain_eras = outgoing->n_domains;
	message.domain_eras = outgoing->domain_eras;
	message.n_domain_revisions = outgoing->n_domains;
	message.domain_revisions = outgoing->domain_revisions;
	message.domains_age_ms = outgoing->domains_age_ms;
	message.n_cold = outgoing->n_cold;
	message.cold = outgoing->cold;
	message.n_cold_left_ms = outgoing->n_cold;
	message.cold_left_ms = outgoing->cold_left_ms;
	message.survivals = skh_crash_suspects_own_survivals(gossip->gateway->crash_suspects);
	omit_counts(gossip, &message);
	if (outgoing->has_backlog)
		skh_backlog_report_encode(&outgoing->statement, &backlog, &message);
	add_crash_records(gossip, &message, &records);
	len = skh__load_report__pack(&message, packed);
	buffer = uv_buf_init((char *)packed, (unsigned int)len);
	for (guint i = 0; i < n_peers; i++) {
		gossip->next_peer = (gossip->next_peer + 1) % gossip->peers->len;
		/* Send errors are ignored: the next report is complete in itself. */
		(void)uv_udp_try_send(&gossip->udp, &buffer, 1,
				      (const struct sockaddr *)&g_array_index(gossip->peers,
									      struct sockaddr_in,
									      gossip->next_peer));
	}
	skh_metrics_add(SKH_COUNT_CONTROL_BYTES_OUT, len * n_peers);
	return len + DATAGRAM_OVERHEAD_BYTES;
}

static void update_crash_suspects(skh_gossip_t *gossip, int64_t now_us)
{
	if (now_us < gossip->next_update_us)
		return;
	gossip->next_update_us = now_us + MIN_INTERVAL_US;
	gossip->has_crash_news = skh_crash_suspects_update(gossip->gateway->crash_suspects, now_us);
}

static void add_backlog(skh_gossip_t *gossip, outgoing_report_t *outgoing, int64_t now_us)
{
	outgoing->has_backlog =
		now_us >= gossip->next_backlog_us || gossip->interval_us > MAX_INTERVAL_US;
	if (!outgoing->has_backlog)
		return;
	gossip->next_backlog_us = now_us + BACKLOG_INTERVAL_US;
	skh_backlog_make_statement(gossip->gateway->backlog, &outgoing->statement, now_us);
	skh_backlog_report_find_customers(gossip->gateway, &outgoing->statement);
	outgoing->statement.round_us = MAX(gossip->interval_us, BACKLOG_INTERVAL_US);
}

static void make_report(skh_gossip_t *gossip, outgoing_report_t *outgoing, int64_t now_us)
{
	outgoing->max_limit_age_us = MAX(LIMIT_REPORT_AGE_US, gossip->interval_us);
	skh_backends_for_each_target(gossip->gateway->backends, add_target, outgoing);
	skh_backends_for_each_target(gossip->gateway->backends, add_limit, outgoing);
	skh_backends_for_each_target(gossip->gateway->backends, add_cold, outgoing);
	add_domains(gossip, outgoing);
	add_backlog(gossip, outgoing, now_us);
}

/*
 * Reports to all gateways at once. Where the budget allows this only after MAX_INTERVAL_US, the
 * next reports go to the gateways in turn, except for news of crashes.
 */
static void report_to_all(skh_gossip_t *gossip, outgoing_report_t *outgoing, int64_t now_us)
{
	size_t bytes = send_report(gossip, outgoing, gossip->peers->len);

	gossip->interval_us = MAX(get_round_us(gossip, bytes), MIN_INTERVAL_US);
	gossip->next_send_us = now_us + MIN(gossip->interval_us, MAX_INTERVAL_US);
}

/* Reports to the next gateways in turn, as many as the budget allows since the last tick. */
static void report_in_turn(skh_gossip_t *gossip, outgoing_report_t *outgoing, int64_t now_us)
{
	int64_t report_us;

	for (int i = 0; i < MAX_REPORTS_AT_ONCE && gossip->next_send_us <= now_us; i++) {
		size_t bytes = send_report(gossip, outgoing, 1);

		gossip->interval_us = get_round_us(gossip, bytes);
		report_us = gossip->interval_us / gossip->peers->len;
		gossip->next_send_us =
			MAX(gossip->next_send_us, now_us - MAX_REPORTS_AT_ONCE * report_us) +
			report_us;
	}
}
static void log_share(skh_target_pool_t *pool, void *context)
{
	const skh_gossip_t *gossip = context;
	const skh_backlog_t *backlog = gossip->gateway->backlog;
	double share = skh_demand_share(backlog, pool->service);
	double equal = 1.0 / (gossip->peers->len + 1);

	if (ABS(share - pool->logged_share) < MIN_LOGGED_CHANGE * equal)
		return;
	pool->logged_share = share;
	skh_log(SKH_LOG_INFO, PART, "Share of a service's capacity changed.",
		"service=%s share=%.4f equal=%.4f starts_per_s=%.1f waiting_elsewhere=%.0f",
		pool->service, share, equal, skh_backlog_start_rate(backlog, pool->service),
		skh_backlog_waiting_ahead(backlog, pool->service, SKH_BACKLOG_PRIORITIES));
}

static void update_backlog(skh_gossip_t *gossip, int64_t now_us)
{
	if (now_us < gossip->next_backlog_update_us)
		return;
	gossip->next_backlog_update_us = now_us + MIN_INTERVAL_US;
	skh_backlog_report_collect(gossip->gateway);
	skh_backlog_update(gossip->gateway->backlog, now_us);
	skh_backends_for_each_pool(gossip->gateway->backends, log_share, gossip);
}

static uint64_t hash_domains(const outgoing_report_t *outgoing)
{
	size_t n = outgoing->n_domains;
	uint64_t hash = skh_chunk_hash(
		skh_chunk_make(outgoing->domain_hashes, n * sizeof(outgoing->domain_hashes[0])), 0);

	hash = skh_chunk_hash(skh_chunk_make(outgoing->domains_out, n), hash);
	return skh_chunk_hash(skh_chunk_make(outgoing->domain_revisions,
					     n * sizeof(outgoing->domain_revisions[0])),
			      hash);
}

void skh_gossip_tick(skh_gossip_t *gossip)
{
	int64_t now_us = skh_clock_boot_us();
	outgoing_report_t outgoing = { .n_servers = 0 };
	uint64_t hash;
	uint64_t domains;
	bool has_news;
	bool is_in_turn;

	expire_reports(gossip, now_us);
	skh_backends_for_each_target(gossip->gateway->backends, update_limit, gossip);
	update_crash_suspects(gossip, now_us);
	update_backlog(gossip, now_us);
	if (now_us < gossip->next_send_us || gossip->peers->len == 0)
		return;
	is_in_turn = gossip->interval_us > MAX_INTERVAL_US;
	make_report(gossip, &outgoing, now_us);
	hash = hash_report(&outgoing);
	domains = hash_domains(&outgoing);
	/* Reports in turn may reach some gateways only after seconds. */
	has_news = gossip->has_crash_news || domains != gossip->told_domains;
	if (!is_in_turn && hash == gossip->last_sent_hash &&
	    now_us - gossip->last_sent_us < MAX_INTERVAL_US && !has_news)
		return;
	gossip->last_sent_hash = hash;
	gossip->last_sent_us = now_us;
	if (is_in_turn && !has_news) {
		report_in_turn(gossip, &outgoing, now_us);
		return;
	}
	gossip->told_domains = domains;
	report_to_all(gossip, &outgoing, now_us);
}

void skh_gossip_close(skh_gossip_t *gossip)
{
	if (!uv_is_closing((uv_handle_t *)&gossip->udp))
		uv_close((uv_handle_t *)&gossip->udp, NULL);
}

void skh_gossip_free(skh_gossip_t *gossip)
{
	(void)g_array_free(gossip->peers, TRUE);
	(void)g_array_free(gossip->peer_hashes, TRUE);
	g_hash_table_unref(gossip->reports);
	g_free(gossip);
}
