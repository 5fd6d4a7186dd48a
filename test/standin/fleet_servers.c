/*
 * Stand-in for the users' servers, all in one process: N ranks of one lock-step
 * group on the ports from BASE, and two plain servers from BASE + 80. They list
 * themselves in the store. What they see is checked here: no request runs twice
 * that must not, none without its customer or with the key, none at a server
 * that left long ago, and no pass begins while ranks have different maps.
 *
 * POST /control on a server's port: {"draining":true}, {"gone":true},
 * {"back":true}, {"fault":F,"count":N} with F of not_run, error, reset, garble,
 * extra, unframed, cut, mute; on a rank also {"order":"lose"|"late"|"drop"}.
 * GET /seen tells what was seen by all, GET /ran which attempts ran. With OFFSET
 * the list names each port as that much higher, where a proxy listens.
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

#define MAX_SERVERS   32
#define PLAIN_OFFSET  80
#define N_PLAIN	      2
#define SETS	      2
#define PLACES	      4
#define PASS_US	      (20 * 1000)
#define COPY_US	      (50 * 1000)
#define HEARTBEAT_US  (300 * 1000)
#define US_PER_MS     1000
#define EVENTS	      5
#define EVENT_US      (20 * 1000)
#define LEFT_BOUND_US (2 * 1000 * 1000)
#define LATE_US	      (700 * 1000)
#define MUTE_US	      (3 * 1000 * 1000)
#define MAX_COUNTS    (SETS * MAX_SERVERS * PLACES)

typedef struct server {
	int port;
	bool engine;
	int rank;
	char id[32];
	bool draining;
	bool gone;
	int64_t left_at; /* told the store that it leaves, or was removed */
	char fault[16];
	int64_t fault_count;
	char order_fault[16];
	int64_t order_fault_count;
	/* Of a rank: */
	int64_t fence;
	int64_t most_version;
	int64_t prepared;
	int64_t ready_at;
	int64_t armed;
	int64_t armed_pass;
	int64_t held;
	int64_t map_version;
	json_t *prepared_map; /* of all ranks */
	json_t *map;
} server_t;

static GMutex lock;
static server_t servers[MAX_SERVERS];
static int n_servers;
static int n_ranks;
static char *store;
static int64_t pass;
static int64_t runs;
static int64_t twice;
static int64_t unasked;
static int64_t after_leaving;
static int64_t mixed;
static int64_t map_changes;
static double counts[MAX_COUNTS];
static GHashTable *ran; /* attempt ids of requests that must run once */
static GHashTable *all; /* attempt ids of all requests that ran */
static int offset;

static server_t *server_at(struct mg_connection *connection)
{
	int port = mg_get_request_info(connection)->server_port;

	for (int i = 0; i < n_servers; i++) {
		if (servers[i].port == port)
			return &servers[i];
	}
	return &servers[0];
}

/* --- The list in the store --- */

static size_t ignore(char *data, size_t size, size_t n, void *unused)
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
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, ignore);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, 1000L);
	(void)curl_easy_perform(curl);
}

static void list_server(CURL *curl, const server_t *server)
{
	g_autofree char *key = g_strdup_printf("servers/%s", server->id);
	g_autofree char *address = g_strdup_printf("127.0.0.1:%d", server->port + offset);
	json_t *entry = json_pack("{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:i}", "service",
				  server->engine ? "model" : "ledger", "address", address, "zone",
				  "a", "version", "v1", "slots", 8, "state",
				  server->draining ? "draining" : "ready", "cold-remaining-ms", 0,
				  "sequence", 1);
	char *value = json_dumps(entry, JSON_COMPACT);
	json_t *request = json_pack("{s:s, s:s}", "key", key, "value", value);
	char *body = json_dumps(request, JSON_COMPACT);

	call_store(curl, "POST", "/put", body);
	free(body);
	free(value);
	json_decref(request);
	json_decref(entry);
}

static void *heartbeat(void *unused)
{
	CURL *curl = curl_easy_init();

	(void)unused;
	for (;;) {
		for (int i = 0; i < n_servers; i++) {
			g_autofree char *path =
				g_strdup_printf("/put?key=servers/%s", servers[i].id);

			if (servers[i].gone)
				call_store(curl, "DELETE", path, "");
			else
				list_server(curl, &servers[i]);
		}
		(void)usleep(HEARTBEAT_US);
	}
	return NULL;
}

/* --- The group --- */

static void switch_maps(void)
{
	for (int i = 0; i < n_ranks; i++) {
		server_t *rank = &servers[i];

		if (rank->armed == 0 || rank->armed_pass != pass)
			continue;
		rank->map_version = rank->armed;
		json_decref(rank->map);
		rank->map = json_incref(rank->prepared_map);
		rank->armed = 0;
		rank->prepared = 0;
	}
	for (int i = 1; i < n_ranks; i++) {
		if (servers[i].map_version != servers[0].map_version ||
		    !json_equal(servers[i].map, servers[0].map))
			mixed++;
	}
}

static bool is_held(void)
{
	for (int i = 0; i < n_ranks; i++) {
		if (servers[i].held == pass + 1)
			return true;
	}
	return false;
}

/* Demand turns to another expert each few hundred passes. */
static void count_tokens(void)
{
	int experts = n_ranks * PLACES / 2;
	int hot = (int)(pass / 150) * 5;

	for (int set = 0; set < SETS; set++) {
		for (int i = 0; i < experts; i++)
			counts[set * experts + (i + hot) % experts] += 3000.0 / (1 + i * i);
	}
}

static void *make_passes(void *unused)
{
	(void)unused;
	for (;;) {
		(void)usleep(PASS_US);
		g_mutex_lock(&lock);
		if (!is_held()) {
			int64_t before = servers[0].map_version;

			pass++;
			switch_maps();
			map_changes += servers[0].map_version != before;
			count_tokens();
		}
		g_mutex_unlock(&lock);
	}
	return NULL;
}

static json_t *first_map(void)
{
	json_t *sets = json_array();
	int experts = n_ranks * PLACES / 2;

	for (int set = 0; set < SETS; set++) {
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

static int64_t integer_of(const json_t *json, const char *name)
{
	return json_integer_value(json_object_get(json, name));
}

static int prepare(server_t *rank, const json_t *order)
{
	if (rank->armed != 0 || integer_of(order, "version") <= rank->most_version)
		return 409;
	rank->most_version = integer_of(order, "version");
	rank->prepared = rank->most_version;
	rank->ready_at = g_get_monotonic_time() + COPY_US;
	json_decref(rank->prepared_map);
	rank->prepared_map = json_incref(json_object_get(order, "mapping"));
	return 202;
}

static int arm(server_t *rank, const json_t *order)
{
	int64_t version = integer_of(order, "version");

	if (rank->armed == version && rank->armed_pass == integer_of(order, "step"))
		return 200;
	if (rank->prepared != version || integer_of(order, "step") <= pass || rank->armed != 0)
		return 409;
	rank->armed = version;
	rank->armed_pass = integer_of(order, "step");
	return 202;
}

static int carry_out(server_t *rank, const json_t *order)
{
	const char *op = json_string_value(json_object_get(order, "op"));
	int64_t fence = integer_of(order, "fencing-token");

	if (!op || integer_of(order, "epoch") != 1)
		return 409;
	if (fence < rank->fence)
		return 412;
	rank->fence = fence;
	if (strcmp(op, "prepare") == 0)
		return prepare(rank, order);
	if (strcmp(op, "arm") == 0)
		return arm(rank, order);
	if (strcmp(op, "disarm") == 0) {
		if (rank->map_version == integer_of(order, "version"))
			return 409;
		if (rank->armed == integer_of(order, "version"))
			rank->armed = 0;
		return 202;
	}
	if (strcmp(op, "hold") == 0) {
		if (integer_of(order, "step") <= pass || rank->held != 0)
			return rank->held == integer_of(order, "step") ? 200 : 409;
		rank->held = integer_of(order, "step");
		return 202;
	}
	if (strcmp(op, "go") != 0)
		return 400;
	if (rank->held == integer_of(order, "step"))
		rank->held = 0;
	return 202;
}

static int order(struct mg_connection *connection, server_t *rank)
{
	json_t *request = standin_read_json(connection);
	char fault[sizeof(rank->order_fault)] = "";
	int status = 0;

	g_mutex_lock(&lock);
	if (rank->order_fault_count > 0) {
		rank->order_fault_count--;
		(void)g_strlcpy(fault, rank->order_fault, sizeof(fault));
	}
	if (strcmp(fault, "late") == 0) {
		g_mutex_unlock(&lock);
		(void)usleep(LATE_US);
		g_mutex_lock(&lock);
	}
	if (strcmp(fault, "drop") != 0)
		status = carry_out(rank, request);
	g_mutex_unlock(&lock);
	json_decref(request);
	return *fault ? standin_hang_up(connection)
		      : standin_answer(connection, status, json_object());
}

static json_t *report(const server_t *rank)
{
	bool ready = g_get_monotonic_time() >= rank->ready_at;

	return json_pack("{s:s, s:{s:s, s:i, s:i, s:s}, s:i, s:I, s:I, s:I, s:I, s:I, s:i}",
			 "phase", "unified", "group", "name", "g0", "epoch", 1, "rank", rank->rank,
			 "state", "open", "size", n_ranks, "step", (json_int_t)pass, "mapping",
			 (json_int_t)rank->map_version, "prepared",
			 (json_int_t)(ready ? rank->prepared : 0), "armed", (json_int_t)rank->armed,
			 "held", (json_int_t)rank->held, "sequence", 1);
}

static json_t *picked(struct mg_connection *connection, const server_t *rank)
{
	const char *query = mg_get_request_info(connection)->query_string;
	json_t *list = json_array();

	if (query && strstr(query, "lists")) {
		for (int set = 0; set < SETS; set++)
			json_array_append(list,
					  json_array_get(json_array_get(rank->map, (size_t)set),
							 (size_t)rank->rank));
		return json_pack("{s:I, s:i, s:{s:I, s:o}}", "step", (json_int_t)pass, "epoch", 1,
				 "mapping", "version", (json_int_t)rank->map_version, "experts",
				 list);
	}
	for (int i = 0; i < SETS * n_ranks * PLACES / 2; i++)
		json_array_append_new(list, json_integer((json_int_t)counts[i]));
	return json_pack("{s:I, s:i, s:o}", "step", (json_int_t)pass, "epoch", 1, "counts", list);
}

/* --- Requests --- */

static void say(struct mg_connection *connection, const char *text)
{
	(void)mg_write(connection, text, strlen(text));
}

static char *head_of(const server_t *server, const char *attempt, int status)
{
	return g_strdup_printf("HTTP/1.1 %d X\r\nSkylarkhead-Attempt-Id: %s\r\n"
			       "Skylarkhead-Response-Signature: sig-%s\r\n"
			       "Skylarkhead-Server-Load: 1,0,8\r\n",
			       status, attempt, server->id);
}

static void answer_whole(struct mg_connection *connection, const server_t *server,
			 const char *attempt, int status, const char *body)
{
	g_autofree char *head = head_of(server, attempt, status);
	g_autofree char *text =
		g_strdup_printf("%sContent-Length: %zu\r\n\r\n%s", head, strlen(body), body);

	say(connection, text);
}

static int stream(struct mg_connection *connection, const server_t *server, const char *attempt,
		  bool cut)
{
	g_autofree char *head = head_of(server, attempt, 200);
	const char *last = mg_get_header(connection, "Last-Event-Id");
	int first = last ? atoi(last) + 1 : 0;

	say(connection, head);
	say(connection, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
	for (int i = first; i < EVENTS; i++) {
		g_autofree char *event = g_strdup_printf("id: %d\ndata: e%d\n\n", i, i);
		g_autofree char *text = g_strdup_printf("%zx\r\n%s\r\n", strlen(event), event);

		(void)usleep(EVENT_US);
		say(connection, text);
		if (cut && i == first + 1) {
			say(connection, "10\r\nid: 9\nda");
			return standin_hang_up(connection);
		}
	}
	say(connection, "0\r\n\r\n");
	return 200;
}

static int misbehave(struct mg_connection *connection, const server_t *server, const char *attempt,
		     const char *fault)
{
	g_autofree char *head = head_of(server, attempt, 200);

	if (strcmp(fault, "not_run") == 0) {
		say(connection, "HTTP/1.1 503 X\r\nSkylarkhead-Not-Executed: 1\r\n"
				"Content-Length: 0\r\n\r\n");
		return 503;
	}
	if (strcmp(fault, "error") == 0) {
		answer_whole(connection, server, attempt, 500, "failed");
		return 500;
	}
	if (strcmp(fault, "garble") == 0)
		say(connection, "HTP/1.1 two hundred\r\n\r\n");
	else if (strcmp(fault, "half") == 0) {
		say(connection, head);
		say(connection, "Content-Length: 100\r\n\r\nonly a part");
	} else if (strcmp(fault, "unframed") == 0) {
		say(connection, head);
		say(connection, "Connection: close\r\n\r\nwithout a length");
		mg_close_connection(connection);
		return 200;
	} else if (strcmp(fault, "mute") == 0) {
		(void)usleep(MUTE_US);
	}
	return standin_hang_up(connection);
}

static void check_request(struct mg_connection *connection, server_t *server, const char *attempt)
{
	const char *path = mg_get_request_info(connection)->local_uri;

	runs++;
	(void)g_hash_table_add(all, g_strdup(attempt));
	if (!mg_get_header(connection, "Skylarkhead-Tenant") ||
	    mg_get_header(connection, "Authorization") ||
	    !mg_get_header(connection, "Skylarkhead-Deadline-Ms"))
		unasked++;
	if (server->left_at != 0 && g_get_monotonic_time() - server->left_at > LEFT_BOUND_US)
		after_leaving++;
	if (strstr(path, "/once/") && !g_hash_table_add(ran, g_strdup(attempt)))
		twice++;
}

static int request(struct mg_connection *connection, server_t *server)
{
	const char *path = mg_get_request_info(connection)->local_uri;
	const char *expected = mg_get_header(connection, "Skylarkhead-Expect-Instance");
	const char *attempt = mg_get_header(connection, "Skylarkhead-Attempt-Id");
	const char *slow = strstr(path, "/slow");
	g_autofree char *body = standin_read(connection);
	char fault[sizeof(server->fault)] = "";

	if (expected && strcmp(expected, server->id) != 0) {
		say(connection, "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n");
		return 421;
	}
	attempt = attempt ? attempt : "-";
	g_mutex_lock(&lock);
	if (server->fault_count > 0) {
		server->fault_count--;
		(void)g_strlcpy(fault, server->fault, sizeof(fault));
	}
	if (strcmp(fault, "not_run") != 0)
		check_request(connection, server, attempt);
	g_mutex_unlock(&lock);
	if (slow)
		(void)usleep((useconds_t)atoi(slow + strlen("/slow")) * US_PER_MS);
	if (*fault && strcmp(fault, "cut") != 0 && strcmp(fault, "extra") != 0)
		return misbehave(connection, server, attempt, fault);
	if (strstr(path, "/stream/"))
		return stream(connection, server, attempt, strcmp(fault, "cut") == 0);
	answer_whole(connection, server, attempt, 200, *body ? body : "ok");
	if (strcmp(fault, "extra") == 0)
		answer_whole(connection, server, attempt, 200, "again");
	return 200;
}

/* --- Control --- */

static json_t *control(struct mg_connection *connection, server_t *server)
{
	json_t *json = standin_read_json(connection);
	const char *fault = json_string_value(json_object_get(json, "fault"));
	const char *order_fault = json_string_value(json_object_get(json, "order"));

	if (json_is_true(json_object_get(json, "draining")))
		server->draining = true;
	if (json_is_true(json_object_get(json, "gone")))
		server->gone = true;
	if (server->draining || server->gone)
		server->left_at = server->left_at ? server->left_at : g_get_monotonic_time();
	if (json_is_true(json_object_get(json, "back"))) {
		server->draining = false;
		server->gone = false;
		server->left_at = 0;
	}
	if (fault) {
		(void)g_strlcpy(server->fault, fault, sizeof(server->fault));
		server->fault_count = integer_of(json, "count");
	}
	if (order_fault) {
		(void)g_strlcpy(server->order_fault, order_fault, sizeof(server->order_fault));
		server->order_fault_count = integer_of(json, "count");
	}
	json_decref(json);
	return json_object();
}

static json_t *seen(void)
{
	return json_pack("{s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "runs", (json_int_t)runs, "twice",
			 (json_int_t)twice, "unasked", (json_int_t)unasked, "after_leaving",
			 (json_int_t)after_leaving, "mixed_maps", (json_int_t)mixed, "passes",
			 (json_int_t)pass, "map_changes", (json_int_t)map_changes);
}

static json_t *all_ran(void)
{
	json_t *list = json_array();
	GHashTableIter iter;
	gpointer id;

	g_hash_table_iter_init(&iter, all);
	while (g_hash_table_iter_next(&iter, &id, NULL))
		json_array_append_new(list, json_string(id));
	return list;
}

static int handle(struct mg_connection *connection, void *unused)
{
	const char *path = mg_get_request_info(connection)->local_uri;
	server_t *server = server_at(connection);
	json_t *json = NULL;

	(void)unused;
	if (strcmp(path, "/v1/order") == 0)
		return order(connection, server);
	g_mutex_lock(&lock);
	if (strcmp(path, "/control") == 0)
		json = control(connection, server);
	else if (strcmp(path, "/seen") == 0)
		json = seen();
	else if (strcmp(path, "/ran") == 0)
		json = all_ran();
	else if (strcmp(path, "/v1/report") == 0)
		json = report(server);
	else if (strcmp(path, "/v1/picked") == 0)
		json = picked(connection, server);
	g_mutex_unlock(&lock);
	return json ? standin_answer(connection, 200, json) : request(connection, server);
}

static void add_server(GString *ports, int port, bool engine)
{
	server_t *server = &servers[n_servers];

	server->port = port;
	server->engine = engine;
	server->rank = n_servers;
	(void)g_snprintf(server->id, sizeof(server->id), "%s%d", engine ? "m" : "p", n_servers);
	if (engine)
		server->map = first_map();
	g_string_append_printf(ports, "%s127.0.0.1:%d", n_servers ? "," : "", port);
	n_servers++;
}

int main(int argc, char **argv)
{
	GString *ports = g_string_new(NULL);
	pthread_t thread;
	int base;

	if (argc != 4 && argc != 5) {
		(void)fprintf(stderr, "usage: standin-fleet_servers STORE BASE RANKS [OFFSET]\n");
		return 2;
	}
	store = argv[1];
	base = atoi(argv[2]);
	offset = argc == 5 ? atoi(argv[4]) : 0;
	all = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	n_ranks = MIN(atoi(argv[3]), MAX_SERVERS - N_PLAIN);
	ran = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (int i = 0; i < n_ranks; i++)
		add_server(ports, base + i, true);
	for (int i = 0; i < N_PLAIN; i++)
		add_server(ports, base + PLAIN_OFFSET + i, false);
	(void)curl_global_init(CURL_GLOBAL_DEFAULT);
	(void)pthread_create(&thread, NULL, heartbeat, NULL);
	(void)pthread_create(&thread, NULL, make_passes, NULL);
	return standin_serve(ports->str, handle);
}
