/*
 * Stand-in for the users' servers, all in one process: RANKS ranks of one lock-step group on
 * the ports from BASE, and two plain servers from BASE + 80. Each server registers in the
 * store, with its port plus OFFSET, where a proxy may listen. With another GROUP than g0, there are
 * no plain servers, so that two processes can run two groups of one service.
 *
 * The servers count violations: requests under /once/ that ran twice, requests without a
 * customer or deadline or with the caller's Authorization header, requests to a server that
 * left more than LEAVE_GRACE_US ago, and passes in which ranks have different expert maps.
 *
 * A request path with /stream/ gets an event stream, one with /stream/flood one of 16 MB as fast as
 * it is read, one with /slowN a response after N ms.
 *
 *   GET /seen                    counters of all servers
 *   GET /ran                     ids of all attempts that ran
 *   POST /control                change the server that listens on the port:
 *     {"group":"name"}           all ranks are in this group from now on
 *     {"draining":true}          announce that the server drains
 *     {"gone":true}              remove the server from the store
 *     {"back":true}              register the server again
 *     {"fault":F,"count":N}      apply a fault to the next N requests:
 *       "not_run"                don't count the request, respond with status 503 and
 *                                Skylarkhead-Not-Executed
 *       "error"                  respond with status 500
 *       "reset"                  close the connection without a response
 *       "garble"                 send an invalid status line, then close
 *       "status_000"             send a whole response with status 000
 *       "cut_head"               send a part of the head, then close
 *       "half"                   send a part of the body, then close
 *       "extra"                  send a second response after the first
 *       "again"                  on a connection that has carried a request before, send a
 *                                rejection without an id before the response
 *       "error_page"             send a signed page instead of the events of a stream
 *       "no_content"             end a stream with status 204
 *       "unframed"               send a body without a length, then close
 *       "cut"                    close a stream within its third event
 *       "cut_first"              close a stream after its first event, which has a wrong id
 *       "first_id"               put a wrong digit into the id of a stream's first event
 *       "middle_id"              the same in the third event
 *       "last_id"                the same in the last event
 *       "endless_head"           send header lines until the caller closes
 *       "endless_body"           send a body in chunks until the caller closes
 *       "endless_event"          send an event that does not end until the caller closes
 *       "mute"                   wait MUTE_DELAY_US, then close
 *     {"limit":R}                name a limit of R requests a second in all responses; 0 ends it
 *     {"cold_ms":N}            be cold for N ms: say so, and count requests beyond the bound
 *     {"zone":Z}               list the server in zone Z from now on
 *     {"evacuated":B}          count the requests that arrive from now on; false ends it
 *     {"crash_part":ID}          from now on every rank that begins a stream whose prompt has this part
 *                                crashes: it closes all its connections, leaves the store and comes
 *                                back after RESTART_DELAY_US under another id
 *     {"order":F,"count":N}      on a rank, apply a fault to the next N orders, then close the
 *                                connection without a response:
 *       "lose"                   execute the order
 *       "late"                   execute the order after LATE_ORDER_DELAY_US
 *       "drop"                   don't execute the order
 *                                with "from":OP, beginning with the next order OP
 *     {"spoil":FIELD,"value":V,"count":N}
 *                                on a rank, put the wrong number V into the next N responses to
 *                                requests for its state that have FIELD:
 *       "experts"                the second expert of the first set
 *       "rank", "epoch"          of the group
 *       other                    the field of that name in the report
 */
#define _GNU_SOURCE
#include "standin.h"

#include <curl/curl.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define MAX_SERVERS	      82
#define PLAIN_PORT_OFFSET     80
#define N_PLAIN		      2
#define N_SETS		      2
#define N_SLOTS		      4
#define PASS_INTERVAL_US      (20 * 1000)
#define COPY_TIME_US	      (50 * 1000)
#define HEARTBEAT_INTERVAL_US (300 * 1000)
#define US_PER_MS	      1000
#define EVENTS_PER_STREAM     5
#define EVENT_INTERVAL_US     (20 * 1000)
#define FLOOD_EVENTS	      4000
#define FLOOD_EVENT_BYTES     4000
#define LEAVE_GRACE_US	      (2 * 1000 * 1000)
#define LATE_ORDER_DELAY_US   (700 * 1000)
#define MUTE_DELAY_US	      (3 * 1000 * 1000)
#define RESTART_DELAY_US      (700 * 1000)
/* A server that has named a limit for a while gets at most 1.5 times as many and a few more. */
#define LIMIT_NOTICE_US (3 * 1000 * 1000)
#define LIMIT_WINDOW_US (4 * 1000 * 1000)
#define LIMIT_TOLERANCE 1.5
#define LIMIT_EXTRA	5
#define MAX_ARRIVALS	4096
/* A cold server gets at most 1.5 x 10 + 5 requests in any second. */
#define COLD_WINDOW_US	  (1000 * 1000)
#define MAX_COLD_ARRIVALS 20
#define MAX_PIECES	  (256 * 1024) /* 1 GiB */
#define MAX_EXPERT_COUNTS (N_SETS * MAX_SERVERS * N_SLOTS)

typedef struct server {
	int port;
	bool is_engine;
	int rank;
	char id[32];
	int64_t born_unix_ms;
	char zone[16];
	int64_t cold_until_us; /* monotonic time; 0 if it was never cold */
	bool is_evacuated;     /* gets no requests */
	int n_crashes;
	int64_t restarts_us; /* monotonic time of the start after a crash; 0 while it runs */
	double limit;	     /* requests a second that the server names; 0 for none */
	int64_t limited_since_us;
	int64_t arrivals_us[MAX_ARRIVALS]; /* ring buffer of the latest */
	int64_t n_arrivals;
	bool is_draining;
	bool is_gone;
	int n_writes;	 /* entries written to the store so far */
	int64_t left_us; /* time of draining or removal; 0 if neither */
	char fault[16];
	int64_t n_faults;
	char order_fault[16];
	char order_fault_from
		[16]; /* operation that the faults begin with; "" once they have begun */
	int64_t n_order_faults;
	char spoiled_field[16];
	int64_t spoiled_value;
	int64_t n_spoils;
	/* Used by ranks only: */
	int64_t fencing_token;
	int64_t max_version; /* highest version prepared so far */
	int64_t prepared_version;
	int64_t ready_us; /* time when the copies of @prepared_map are done */
	int64_t armed_version;
	int64_t armed_pass; /* switches to @prepared_map at this pass */
	int64_t held_pass;  /* the group does not start this pass; 0 if none */
	int64_t map_version;
	json_t *prepared_map; /* of all ranks, like @map */
	json_t *map;
} server_t;

static char group_name[512] = "g0";
static GMutex lock;
static server_t servers[MAX_SERVERS];
static int n_servers;
static int n_ranks;
static char *store;
static int64_t pass;
static int64_t n_runs;
static int64_t n_repeated_runs;
static int64_t n_bad_headers;
static int64_t last_priority; /* that the newest request stated; -1 for none */
static int64_t n_runs_after_leaving;
static int64_t n_runs_after_evacuation;
static int64_t n_mixed_maps;
static int64_t held_since_us;	/* since when the next pass has been held; 0 if it is not */
static int64_t longest_hold_us; /* since the counters were read last */
static int64_t n_order_faults_applied;
static int64_t n_map_changes;
static int64_t n_crashes;
static int64_t n_crash_part_requests;
static int64_t n_over_limit;
static int64_t n_over_cold;
static int64_t n_cold;
static char crash_part[32];
static double expert_counts[MAX_EXPERT_COUNTS];
static GHashTable *once_attempts; /* attempt ids of requests under /once/ */
static GHashTable *caller_ports;  /* of connections that have carried a request */
static GHashTable *all_attempts;  /* attempt ids of all requests that ran */
static int registered_port_offset;

static server_t *find_server(struct mg_connection *connection)
{
	int port = mg_get_request_info(connection)->server_port;

	for (int i = 0; i < n_servers; i++) {
		if (servers[i].port == port)
			return &servers[i];
	}
	return &servers[0];
}

/* --- Registration in the store --- */

static size_t discard_body(char *data, size_t size, size_t n, void *unused)
{
	(void)data;
	(void)unused;
	return size * n;
}

static void call_store(CURL *curl, const char *method, const char *path, const char *body)
{
	g_autofree char *url = g_strdup_printf("http://%s%s", store, path);

	curl_easy_reset(curl);
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, discard_body);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, 1000L);
	(void)curl_easy_perform(curl);
}

static int64_t get_cold_ms(const server_t *server)
{
	return MAX(server->cold_until_us - g_get_monotonic_time(), 0) / US_PER_MS;
}

static void register_server(CURL *curl, server_t *server)
{
	g_autofree char *key = g_strdup_printf("servers/%s", server->id);
	g_autofree char *address =
		g_strdup_printf("127.0.0.1:%d", server->port + registered_port_offset);
	json_t *record = json_pack("{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:i, s:I}", "service",
				   server->is_engine ? "model" : "ledger", "address", address,
				   "zone", server->zone, "version", "v1", "slots", 8, "state",
				   server->is_draining ? "draining" : "ready", "cold-remaining-ms",
				   (int)get_cold_ms(server), "sequence", ++server->n_writes, "born",
				   (json_int_t)server->born_unix_ms);
	char *value = json_dumps(record, JSON_COMPACT);
	json_t *request = json_pack("{s:s, s:s}", "key", key, "value", value);
	char *body = json_dumps(request, JSON_COMPACT);

	call_store(curl, "POST", "/put", body);
	free(body);
	free(value);
	json_decref(request);
	json_decref(record);
}

static bool is_down(const server_t *server)
{
	return server->restarts_us != 0;
}

/* Starts crashed servers again whose time has come, as new instances. */
static void restart_crashed(CURL *curl)
{
	for (int i = 0; i < n_servers; i++) {
		g_autofree char *path = g_strdup_printf("/put?key=servers/%s", servers[i].id);

		if (!is_down(&servers[i]) || g_get_monotonic_time() < servers[i].restarts_us)
			continue;
		call_store(curl, "DELETE", path, "");
		g_mutex_lock(&lock);
		(void)g_snprintf(servers[i].id, sizeof(servers[i].id), "m%d-%d", i,
				 servers[i].n_crashes);
		servers[i].born_unix_ms = g_get_real_time() / US_PER_MS;
		servers[i].restarts_us = 0;
		g_mutex_unlock(&lock);
	}
}

static void *run_heartbeat(void *unused)
{
	CURL *curl = curl_easy_init();

	(void)unused;
	for (;;) {
		restart_crashed(curl);
		for (int i = 0; i < n_servers; i++) {
			g_autofree char *path =
				g_strdup_printf("/put?key=servers/%s", servers[i].id);

			if (is_down(&servers[i]))
				continue;
			if (servers[i].is_gone)
				call_store(curl, "DELETE", path, "");
			else
				register_server(curl, &servers[i]);
		}
		(void)usleep(HEARTBEAT_INTERVAL_US);
	}
	return NULL;
}

/* --- Lock-step group --- */

static void switch_maps(void)
{
	for (int i = 0; i < n_ranks; i++) {
		server_t *rank = &servers[i];

		if (rank->armed_version == 0 || rank->armed_pass != pass)
			continue;
		rank->map_version = rank->armed_version;
		json_decref(rank->map);
		rank->map = json_incref(rank->prepared_map);
		rank->armed_version = 0;
		rank->prepared_version = 0;
	}
	for (int i = 1; i < n_ranks; i++) {
		if (servers[i].map_version != servers[0].map_version ||
		    !json_equal(servers[i].map, servers[0].map))
			n_mixed_maps++;
	}
}

static bool is_next_pass_held(void)
{
	for (int i = 0; i < n_ranks; i++) {
		if (servers[i].held_pass == pass + 1)
			return true;
	}
	return false;
}

static void measure_hold(void)
{
	int64_t now_us = g_get_monotonic_time();

	if (!is_next_pass_held())
		held_since_us = 0;
	else if (held_since_us == 0)
		held_since_us = now_us;
	if (held_since_us != 0)
		longest_hold_us = MAX(longest_hold_us, now_us - held_since_us);
}

/* The most popular experts change every 150 passes. */
static void add_expert_counts(void)
{
	int experts = n_ranks * N_SLOTS / 2;
	int hot_offset = (int)(pass / 150) * 5;

	for (int set = 0; set < N_SETS; set++) {
		for (int i = 0; i < experts; i++)
			expert_counts[set * experts + (i + hot_offset) % experts] +=
				3000.0 / (1 + i * i);
	}
}

static void *run_passes(void *unused)
{
	(void)unused;
	for (;;) {
		(void)usleep(PASS_INTERVAL_US);
		g_mutex_lock(&lock);
		measure_hold();
		if (!is_next_pass_held()) {
			int64_t old_version = servers[0].map_version;

			pass++;
			switch_maps();
			n_map_changes += servers[0].map_version != old_version;
			add_expert_counts();
		}
		g_mutex_unlock(&lock);
	}
	return NULL;
}

static json_t *make_initial_map(void)
{
	json_t *sets = json_array();
	int experts = n_ranks * N_SLOTS / 2;

	for (int set = 0; set < N_SETS; set++) {
		json_t *ranks = json_array();

		for (int rank = 0; rank < n_ranks; rank++) {
			json_t *list = json_array();

			for (int expert = rank; expert < experts; expert += n_ranks)
				json_array_append_new(list, json_integer(expert));
			json_array_append_new(ranks, list);
		}
		json_array_append_new(sets, ranks);
	}
	return sets;
}

static int64_t get_integer(const json_t *json, const char *name)
{
	return json_integer_value(json_object_get(json, name));
}

static int prepare(server_t *rank, const json_t *order)
{
	if (rank->armed_version != 0 || get_integer(order, "version") <= rank->max_version)
		return 409;
	rank->max_version = get_integer(order, "version");
	rank->prepared_version = rank->max_version;
	rank->ready_us = g_get_monotonic_time() + COPY_TIME_US;
	json_decref(rank->prepared_map);
	rank->prepared_map = json_incref(json_object_get(order, "mapping"));
	return 202;
}

static int arm(server_t *rank, const json_t *order)
{
	int64_t version = get_integer(order, "version");

	if (rank->armed_version == version && rank->armed_pass == get_integer(order, "step"))
		return 200;
	if (rank->prepared_version != version || get_integer(order, "step") <= pass ||
	    rank->armed_version != 0)
		return 409;
	rank->armed_version = version;
	rank->armed_pass = get_integer(order, "step");
	return 202;
}

static int apply_order(server_t *rank, const json_t *order)
{
	const char *op = json_string_value(json_object_get(order, "op"));
	int64_t fencing_token = get_integer(order, "fencing-token");

	if (!op || get_integer(order, "epoch") != 1)
		return 409;
	if (fencing_token < rank->fencing_token)
		return 412;
	rank->fencing_token = fencing_token;
	if (strcmp(op, "prepare") == 0)
		return prepare(rank, order);
	if (strcmp(op, "arm") == 0)
		return arm(rank, order);
	if (strcmp(op, "disarm") == 0) {
		if (rank->map_version == get_integer(order, "version"))
			return 409;
		if (rank->armed_version == get_integer(order, "version"))
			rank->armed_version = 0;
		return 202;
	}
	if (strcmp(op, "hold") == 0) {
		if (get_integer(order, "step") <= pass || rank->held_pass != 0)
			return rank->held_pass == get_integer(order, "step") ? 200 : 409;
		rank->held_pass = get_integer(order, "step");
		return 202;
	}
	if (strcmp(op, "go") != 0)
		return 400;
	if (rank->held_pass == get_integer(order, "step"))
		rank->held_pass = 0;
	return 202;
}

/* Copies the fault that applies to an order @op, or "", to @fault. */
static void take_order_fault(server_t *rank, const char *op, char *fault)
{
	if (op && strcmp(rank->order_fault_from, op) == 0)
		rank->order_fault_from[0] = '\0';
	if (rank->n_order_faults == 0 || rank->order_fault_from[0] != '\0')
		return;
	rank->n_order_faults--;
	n_order_faults_applied++;
	(void)g_strlcpy(fault, rank->order_fault, sizeof(rank->order_fault));
}

static int handle_order(struct mg_connection *connection, server_t *rank)
{
	json_t *request = standin_read_json(connection);
	char fault[sizeof(rank->order_fault)] = "";
	int status = 0;

	g_mutex_lock(&lock);
	take_order_fault(rank, json_string_value(json_object_get(request, "op")), fault);
	if (strcmp(fault, "late") == 0) {
		g_mutex_unlock(&lock);
		(void)usleep(LATE_ORDER_DELAY_US);
		g_mutex_lock(&lock);
	}
	if (strcmp(fault, "drop") != 0)
		status = apply_order(rank, request);
	g_mutex_unlock(&lock);
	json_decref(request);
	return *fault ? standin_close_connection(connection)
		      : standin_respond(connection, status, json_object());
}

/* Whether the next response is to have a wrong number in @field. */
static bool take_spoil(server_t *rank, const char *field)
{
	if (rank->n_spoils == 0 || strcmp(rank->spoiled_field, field) != 0)
		return false;
	rank->n_spoils--;
	return true;
}

/* Spoils a field of a report, which is in "group" or at the top level. */
static json_t *spoil_report(server_t *rank, json_t *report)
{
	json_t *group = json_object_get(report, "group");
	json_t *owner = json_object_get(group, rank->spoiled_field) ? group : report;

	if (json_object_get(owner, rank->spoiled_field) && take_spoil(rank, rank->spoiled_field))
		json_object_set_new(owner, rank->spoiled_field, json_integer(rank->spoiled_value));
	return report;
}

static json_t *report_to_json(server_t *rank)
{
	bool is_prepared = g_get_monotonic_time() >= rank->ready_us;
	json_t *report =
		json_pack("{s:s, s:{s:s, s:i, s:i, s:s}, s:i, s:I, s:I, s:I, s:I, s:I, s:i}",
			  "phase", "unified", "group", "name", group_name, "epoch", 1, "rank",
			  rank->rank, "state", "open", "size", n_ranks, "step", (json_int_t)pass,
			  "mapping", (json_int_t)rank->map_version, "prepared",
			  (json_int_t)(is_prepared ? rank->prepared_version : 0), "armed",
			  (json_int_t)rank->armed_version, "held", (json_int_t)rank->held_pass,
			  "sequence", 1);

	return spoil_report(rank, report);
}

/* With "lists" in the query, the experts that @rank holds; else the demand of all experts. */
static json_t *expert_demand_to_json(struct mg_connection *connection, server_t *rank)
{
	const char *query = mg_get_request_info(connection)->query_string;
	json_t *list = json_array();

	if (query && strstr(query, "lists")) {
		for (int set = 0; set < N_SETS; set++)
			json_array_append_new(list, json_deep_copy(json_array_get(
							    json_array_get(rank->map, (size_t)set),
							    (size_t)rank->rank)));
		if (take_spoil(rank, "experts"))
			(void)json_array_set_new(json_array_get(list, 0), 1,
						 json_integer(rank->spoiled_value));
		return json_pack("{s:I, s:i, s:{s:I, s:o}}", "step", (json_int_t)pass, "epoch", 1,
				 "mapping", "version", (json_int_t)rank->map_version, "experts",
				 list);
	}
	for (int i = 0; i < N_SETS * n_ranks * N_SLOTS / 2; i++)
		json_array_append_new(list, json_integer((json_int_t)expert_counts[i]));
	return json_pack("{s:I, s:i, s:o}", "step", (json_int_t)pass, "epoch", 1, "counts", list);
}

/* --- Requests --- */

static void write_text(struct mg_connection *connection, const char *text)
{
	(void)mg_write(connection, text, strlen(text));
}

static char *make_head(const server_t *server, const char *attempt, int status)
{
	g_autofree char *limit = server->limit > 0.0
					 ? g_strdup_printf("Server-Limit: %.1f\r\n", server->limit)
					 : g_strdup("");

	return g_strdup_printf("HTTP/1.1 %d X\r\nSkylarkhead-Attempt-Id: %s\r\n"
			       "Skylarkhead-Response-Signature: sig-%s\r\n"
			       "Skylarkhead-Cold-Ms: %" PRId64 "\r\n"
			       "Skylarkhead-Server-Load: 1,0,8\r\n%s",
			       status, attempt, server->id, get_cold_ms(server), limit);
}

static void send_response(struct mg_connection *connection, const server_t *server,
			  const char *attempt, int status, const char *body)
{
	g_autofree char *head = make_head(server, attempt, status);
	g_autofree char *text =
		g_strdup_printf("%sContent-Length: %zu\r\n\r\n%s", head, strlen(body), body);

	write_text(connection, text);
}

static bool has_crash_part(struct mg_connection *connection)
{
	const char *parts = mg_get_header(connection, "Skylarkhead-Prompt-Prefix");
	g_autofree char *entry = g_strconcat(crash_part, ":", NULL);

	return *crash_part && parts && strstr(parts, entry);
}

static void crash(server_t *server)
{
	g_mutex_lock(&lock);
	if (!is_down(server)) {
		n_crashes++;
		server->n_crashes++;
		server->restarts_us = g_get_monotonic_time() + RESTART_DELAY_US;
	}
	g_mutex_unlock(&lock);
}

static bool has_wrong_id(const char *fault, int event, bool is_first)
{
	if (strcmp(fault, "first_id") == 0 || strcmp(fault, "cut_first") == 0)
		return is_first;
	if (strcmp(fault, "middle_id") == 0)
		return event == 2;
	return strcmp(fault, "last_id") == 0 && event == EVENTS_PER_STREAM - 1;
}

static int send_page(struct mg_connection *connection, const server_t *server, const char *attempt,
		     bool is_empty)
{
	g_autofree char *head = make_head(server, attempt, is_empty ? 204 : 200);

	write_text(connection, head);
	write_text(connection, is_empty ? "\r\n"
					: "Content-Type: text/plain\r\nContent-Length: 24\r\n\r\n"
					  "data: out of memory\n\n\n\n\n");
	return is_empty ? 204 : 200;
}

static int send_stream(struct mg_connection *connection, server_t *server, const char *attempt,
		       const char *fault)
{
	bool should_close = strcmp(fault, "cut") == 0;
	const int crashes_before = server->n_crashes;
	bool is_crashing = has_crash_part(connection);
	g_autofree char *head = make_head(server, attempt, 200);
	const char *last_event_id = mg_get_header(connection, "Last-Event-Id");
	int first_event = last_event_id ? atoi(last_event_id) + 1 : 0;

	if (strcmp(fault, "error_page") == 0 || strcmp(fault, "no_content") == 0)
		return send_page(connection, server, attempt, strcmp(fault, "no_content") == 0);
	write_text(connection, head);
	write_text(connection,
		   "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
	for (int i = first_event; i < EVENTS_PER_STREAM; i++) {
		int id = has_wrong_id(fault, i, i == first_event) ? (i + 9) % 10 : i;
		g_autofree char *event = g_strdup_printf("id: %d\ndata: e%d\n\n", id, i);
		g_autofree char *text = g_strdup_printf("%zx\r\n%s\r\n", strlen(event), event);

		(void)usleep(EVENT_INTERVAL_US);
		if (is_crashing && i == first_event + 1)
			crash(server);
		if (server->n_crashes != crashes_before)
			return standin_close_connection(connection);
		write_text(connection, text);
		if (strcmp(fault, "cut_first") == 0)
			return standin_close_connection(connection);
		if (should_close && i == first_event + 1) {
			write_text(connection, "10\r\nid: 9\nda");
			return standin_close_connection(connection);
		}
	}
	write_text(connection, "0\r\n\r\n");
	return 200;
}

static int send_flood(struct mg_connection *connection, const server_t *server, const char *attempt)
{
	g_autofree char *head = make_head(server, attempt, 200);
	g_autofree char *filler = g_strnfill(FLOOD_EVENT_BYTES, 'x');
	const char *last_event_id = mg_get_header(connection, "Last-Event-Id");
	int first_event = last_event_id ? atoi(last_event_id) + 1 : 0;

	write_text(connection, head);
	write_text(connection,
		   "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
	for (int i = first_event; i < FLOOD_EVENTS; i++) {
		g_autofree char *event = g_strdup_printf("id: %d\ndata: %s\n\n", i, filler);
		g_autofree char *text = g_strdup_printf("%zx\r\n%s\r\n", strlen(event), event);

		if (mg_write(connection, text, strlen(text)) < (int)strlen(text))
			return standin_close_connection(connection);
	}
	write_text(connection, "0\r\n\r\n");
	return 200;
}

static int send_without_end(struct mg_connection *connection, const char *head, const char *fault)
{
	g_autofree char *filler = g_strnfill(4096, 'x');
	g_autofree char *header = g_strdup_printf("X-Filler: %.1000s\r\n", filler);
	g_autofree char *chunk = g_strdup_printf("1000\r\n%s\r\n", filler);
	bool is_head = strcmp(fault, "endless_head") == 0;
	const char *piece = is_head ? header : chunk;

	write_text(connection, head);
	if (!is_head)
		write_text(connection, "Content-Type: text/event-stream\r\n"
				       "Transfer-Encoding: chunked\r\n\r\n");
	for (int i = 0; i < MAX_PIECES; i++) {
		if (mg_write(connection, piece, strlen(piece)) <= 0)
			break;
	}
	return standin_close_connection(connection);
}

static int apply_fault(struct mg_connection *connection, const server_t *server,
		       const char *attempt, const char *fault)
{
	g_autofree char *head = make_head(server, attempt, 200);

	if (g_str_has_prefix(fault, "endless_"))
		return send_without_end(connection, head, fault);
	if (strcmp(fault, "not_run") == 0) {
		write_text(connection, "HTTP/1.1 503 X\r\nSkylarkhead-Not-Executed: 1\r\n"
				       "Content-Length: 0\r\n\r\n");
		return 503;
	}
	if (strcmp(fault, "error") == 0) {
		send_response(connection, server, attempt, 500, "failed");
		return 500;
	}
	if (strcmp(fault, "status_000") == 0) {
		g_autofree char *rest = g_strdup(strchr(head, ' ') + strlen(" 200"));

		write_text(connection, "HTTP/1.1 000");
		write_text(connection, rest);
		write_text(connection, "Content-Length: 7\r\n\r\nunknown");
		return 200;
	}
	if (strcmp(fault, "garble") == 0)
		write_text(connection, "HTP/1.1 two hundred\r\n\r\n");
	else if (strcmp(fault, "cut_head") == 0)
		write_text(connection, head);
	else if (strcmp(fault, "half") == 0) {
		write_text(connection, head);
		write_text(connection, "Content-Length: 100\r\n\r\nonly a part");
	} else if (strcmp(fault, "unframed") == 0) {
		write_text(connection, head);
		write_text(connection, "Connection: close\r\n\r\nwithout a length");
		mg_close_connection(connection);
		return 200;
	} else if (strcmp(fault, "mute") == 0) {
		(void)usleep(MUTE_DELAY_US);
	}
	return standin_close_connection(connection);
}

static void record_request(struct mg_connection *connection, server_t *server, const char *attempt)
{
	const char *path = mg_get_request_info(connection)->local_uri;
	const char *priority = mg_get_header(connection, "Skylarkhead-Request-Priority");

	n_runs++;
	last_priority = priority ? g_ascii_strtoll(priority, NULL, 10) : -1;
	(void)g_hash_table_add(all_attempts, g_strdup(attempt));
	if (!mg_get_header(connection, "Skylarkhead-Tenant") ||
	    mg_get_header(connection, "Authorization") ||
	    !mg_get_header(connection, "Skylarkhead-Deadline-Ms"))
		n_bad_headers++;
	if (server->left_us != 0 && g_get_monotonic_time() - server->left_us > LEAVE_GRACE_US)
		n_runs_after_leaving++;
	n_runs_after_evacuation += server->is_evacuated;
	if (strstr(path, "/once/") && !g_hash_table_add(once_attempts, g_strdup(attempt)))
		n_repeated_runs++;
}

/* Called with the lock held, after the arrival was recorded. */
static void check_cold(const server_t *server)
{
	int64_t now_us = g_get_monotonic_time();
	int64_t count = 0;

	if (now_us >= server->cold_until_us)
		return;
	n_cold++;
	for (int64_t i = server->n_arrivals - 1; i >= MAX(0, server->n_arrivals - MAX_ARRIVALS);
	     i--)
		count += server->arrivals_us[i % MAX_ARRIVALS] >= now_us - COLD_WINDOW_US;
	n_over_cold += count > MAX_COLD_ARRIVALS;
}

/* Called with the lock held. */
static void check_limit(server_t *server)
{
	int64_t now_us = g_get_monotonic_time();
	int64_t count = 0;

	server->arrivals_us[server->n_arrivals++ % MAX_ARRIVALS] = now_us;
	for (int64_t i = server->n_arrivals - 1; i >= MAX(0, server->n_arrivals - MAX_ARRIVALS);
	     i--) {
		if (server->arrivals_us[i % MAX_ARRIVALS] < now_us - LIMIT_WINDOW_US)
			break;
		count++;
	}
	if (server->limit > 0.0 &&
	    now_us - server->limited_since_us > LIMIT_NOTICE_US + LIMIT_WINDOW_US &&
	    (double)count > LIMIT_TOLERANCE * server->limit * LIMIT_WINDOW_US / 1e6 + LIMIT_EXTRA)
		n_over_limit++;
}

/* Whether the request is served as usual, but for a part of the response. */
static bool is_within_response(const char *fault)
{
	static const char *const faults[] = { "cut",	   "cut_first",	 "first_id",
					      "middle_id", "last_id",	 "extra",
					      "again",	   "error_page", "no_content" };

	for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
		if (strcmp(fault, faults[i]) == 0)
			return true;
	}
	return false;
}

static int handle_request(struct mg_connection *connection, server_t *server)
{
	const char *path = mg_get_request_info(connection)->local_uri;
	const char *expected = mg_get_header(connection, "Skylarkhead-Expect-Instance");
	const char *attempt = mg_get_header(connection, "Skylarkhead-Attempt-Id");
	const char *slow = strstr(path, "/slow");
	int caller_port = mg_get_request_info(connection)->remote_port;
	bool is_kept;
	g_autofree char *body = standin_read_body(connection);
	char fault[sizeof(server->fault)] = "";

	if (has_crash_part(connection)) {
		g_mutex_lock(&lock);
		n_crash_part_requests++;
		g_mutex_unlock(&lock);
	}
	if (is_down(server))
		return standin_close_connection(connection);
	if (expected && strcmp(expected, server->id) != 0) {
		write_text(connection, "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n");
		return 421;
	}
	attempt = attempt ? attempt : "-";
	g_mutex_lock(&lock);
	is_kept = !g_hash_table_add(caller_ports, GINT_TO_POINTER(caller_port));
	check_limit(server);
	check_cold(server);
	if (server->n_faults > 0) {
		server->n_faults--;
		(void)g_strlcpy(fault, server->fault, sizeof(fault));
	}
	if (strcmp(fault, "not_run") != 0)
		record_request(connection, server, attempt);
	g_mutex_unlock(&lock);
	if (slow)
		(void)usleep((useconds_t)atoi(slow + strlen("/slow")) * US_PER_MS);
	if (*fault && !is_within_response(fault))
		return apply_fault(connection, server, attempt, fault);
	if (strstr(path, "/stream/flood"))
		return send_flood(connection, server, attempt);
	if (strstr(path, "/stream/"))
		return send_stream(connection, server, attempt, fault);
	if (strcmp(fault, "again") == 0 && is_kept)
		write_text(connection, "HTTP/1.1 503 X\r\nSkylarkhead-Not-Executed: 1\r\n"
				       "Content-Length: 0\r\n\r\n");
	send_response(connection, server, attempt, 200, *body ? body : "ok");
	if (strcmp(fault, "extra") == 0)
		send_response(connection, server, attempt, 200, "again");
	return 200;
}

/* --- Control --- */

static json_t *apply_control(struct mg_connection *connection, server_t *server)
{
	json_t *json = standin_read_json(connection);
	const char *fault = json_string_value(json_object_get(json, "fault"));
	const char *part = json_string_value(json_object_get(json, "crash_part"));
	const char *group = json_string_value(json_object_get(json, "group"));
	const char *order_fault = json_string_value(json_object_get(json, "order"));
	const char *from = json_string_value(json_object_get(json, "from"));
	const char *zone = json_string_value(json_object_get(json, "zone"));
	const char *spoiled_field = json_string_value(json_object_get(json, "spoil"));

	if (json_is_true(json_object_get(json, "draining")))
		server->is_draining = true;
	if (json_is_true(json_object_get(json, "gone")))
		server->is_gone = true;
	if (server->is_draining || server->is_gone)
		server->left_us = server->left_us ? server->left_us : g_get_monotonic_time();
	if (json_is_true(json_object_get(json, "back"))) {
		server->is_draining = false;
		server->is_gone = false;
		server->left_us = 0;
	}
	if (fault) {
		(void)g_strlcpy(server->fault, fault, sizeof(server->fault));
		server->n_faults = get_integer(json, "count");
	}
	if (json_object_get(json, "limit")) {
		server->limit = json_number_value(json_object_get(json, "limit"));
		server->limited_since_us = g_get_monotonic_time();
	}
	if (group)
		(void)g_strlcpy(group_name, group, sizeof(group_name));
	if (json_object_get(json, "cold_ms"))
		server->cold_until_us =
			g_get_monotonic_time() + get_integer(json, "cold_ms") * US_PER_MS;
	if (zone)
		(void)g_strlcpy(server->zone, zone, sizeof(server->zone));
	if (json_object_get(json, "evacuated"))
		server->is_evacuated = json_is_true(json_object_get(json, "evacuated"));
	if (part)
		(void)g_strlcpy(crash_part, part, sizeof(crash_part));
	if (order_fault) {
		(void)g_strlcpy(server->order_fault, order_fault, sizeof(server->order_fault));
		server->n_order_faults = get_integer(json, "count");
		(void)g_strlcpy(server->order_fault_from, from ? from : "",
				sizeof(server->order_fault_from));
	}
	if (spoiled_field) {
		(void)g_strlcpy(server->spoiled_field, spoiled_field,
				sizeof(server->spoiled_field));
		server->spoiled_value = get_integer(json, "value");
		server->n_spoils = get_integer(json, "count");
	}
	json_decref(json);
	return json_object();
}

static json_t *counters_to_json(void)
{
	int64_t hold_ms = longest_hold_us / US_PER_MS;

	longest_hold_us = 0;
	return json_pack(
		"{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I}",
		"runs", (json_int_t)n_runs, "twice", (json_int_t)n_repeated_runs, "unasked",
		(json_int_t)n_bad_headers, "after_leaving", (json_int_t)n_runs_after_leaving,
		"mixed_maps", (json_int_t)n_mixed_maps, "passes", (json_int_t)pass, "map_changes",
		(json_int_t)n_map_changes, "crashes", (json_int_t)n_crashes, "crash_part_requests",
		(json_int_t)n_crash_part_requests, "over_limit", (json_int_t)n_over_limit,
		"after_evacuation", (json_int_t)n_runs_after_evacuation, "cold", (json_int_t)n_cold,
		"over_cold", (json_int_t)n_over_cold, "longest_hold_ms", (json_int_t)hold_ms,
		"order_faults", (json_int_t)n_order_faults_applied, "last_priority",
		(json_int_t)last_priority);
}

static json_t *attempts_to_json(void)
{
	json_t *list = json_array();
	GHashTableIter iter;
	gpointer id;

	g_hash_table_iter_init(&iter, all_attempts);
	while (g_hash_table_iter_next(&iter, &id, NULL))
		json_array_append_new(list, json_string(id));
	return list;
}

static int handle_call(struct mg_connection *connection, void *unused)
{
	const char *path = mg_get_request_info(connection)->local_uri;
	server_t *server = find_server(connection);
	json_t *json = NULL;

	(void)unused;
	if (strcmp(path, "/v1/order") == 0)
		return handle_order(connection, server);
	g_mutex_lock(&lock);
	if (strcmp(path, "/control") == 0)
		json = apply_control(connection, server);
	else if (strcmp(path, "/seen") == 0)
		json = counters_to_json();
	else if (strcmp(path, "/ran") == 0)
		json = attempts_to_json();
	else if (strcmp(path, "/v1/report") == 0)
		json = report_to_json(server);
	else if (strcmp(path, "/v1/picked") == 0)
		json = expert_demand_to_json(connection, server);
	g_mutex_unlock(&lock);
	return json ? standin_respond(connection, 200, json) : handle_request(connection, server);
}

static void add_server(GString *ports, int port, bool is_engine)
{
	server_t *server = &servers[n_servers];

	server->port = port;
	server->born_unix_ms = g_get_real_time() / US_PER_MS;
	(void)g_strlcpy(server->zone, "a", sizeof(server->zone));
	server->is_engine = is_engine;
	server->rank = n_servers;
	(void)g_snprintf(server->id, sizeof(server->id), "%s%s%d",
			 strcmp(group_name, "g0") == 0 ? "" : group_name, is_engine ? "m" : "p",
			 n_servers);
	if (is_engine)
		server->map = make_initial_map();
	g_string_append_printf(ports, "%s127.0.0.1:%d", n_servers ? "," : "", port);
	n_servers++;
}

int main(int argc, char **argv)
{
	GString *ports = g_string_new(NULL);
	pthread_t thread;
	int base;

	if (argc < 4 || argc > 6) {
		(void)fprintf(stderr,
			      "usage: standin-fleet_servers STORE BASE RANKS [OFFSET [GROUP]]\n");
		return 2;
	}
	store = argv[1];
	base = atoi(argv[2]);
	registered_port_offset = argc >= 5 ? atoi(argv[4]) : 0;
	if (argc == 6)
		(void)g_strlcpy(group_name, argv[5], sizeof(group_name));
	caller_ports = g_hash_table_new(NULL, NULL);
	all_attempts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	n_ranks = MIN(atoi(argv[3]), MAX_SERVERS - N_PLAIN);
	once_attempts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (int i = 0; i < n_ranks; i++)
		add_server(ports, base + i, true);
	for (int i = 0; i < N_PLAIN && strcmp(group_name, "g0") == 0; i++)
		add_server(ports, base + PLAIN_PORT_OFFSET + i, false);
	(void)curl_global_init(CURL_GLOBAL_DEFAULT);
	(void)pthread_create(&thread, NULL, run_heartbeat, NULL);
	(void)pthread_create(&thread, NULL, run_passes, NULL);
	return standin_serve(ports->str, handle_call);
}
