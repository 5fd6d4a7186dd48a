#include "curve_auth.h"

#include "log.h"
#include "wire.h"

#include <glib.h>
#include <pthread.h>
#include <string.h>
#include <zmq.h>

#define PART	     "guard"
#define ZAP_ENDPOINT "inproc://zeromq.zap.01"
#define ZAP_VERSION  "1.0"
#define ZAP_DOMAIN   "skylarkhead"
#define ZAP_PARTS    7 /* version, request, domain, address, identity, mechanism, key */
#define KEY_BYTES    32
#define MAX_PART     256
#define STOP_POLL_MS 200

enum zap_part {
	ZAP_REQUEST_ID = 1,
	ZAP_MECHANISM = 5,
	ZAP_KEY = 6
};

struct skh_curve_auth {
	void *zap;
	uint8_t key[KEY_BYTES];
	pthread_t thread;
	bool stop;
};

typedef struct zap_question {
	uint8_t part[ZAP_PARTS][MAX_PART];
	size_t len[ZAP_PARTS];
	size_t count;
} zap_question_t;

static bool has_keys(const skh_settings_t *settings)
{
	return settings->link_public_key != NULL;
}

static bool read_question(void *socket, zap_question_t *question)
{
	int more = 1;
	size_t more_len = sizeof(more);

	question->count = 0;
	while (more) {
		uint8_t spare[MAX_PART];
		bool fits = question->count < ZAP_PARTS;
		int len = zmq_recv(socket, fits ? question->part[question->count] : spare, MAX_PART,
				   0);

		if (len < 0)
			return false;
		if (fits)
			question->len[question->count] = (size_t)MIN(len, MAX_PART);
		question->count++;
		(void)zmq_getsockopt(socket, ZMQ_RCVMORE, &more, &more_len);
	}
	return true;
}

/* Compares all bytes whatever the first difference, so time tells nothing of the key. */
static bool same_key(const uint8_t *a, const uint8_t *b)
{
	uint8_t difference = 0;

	for (size_t i = 0; i < KEY_BYTES; i++)
		difference |= a[i] ^ b[i];
	return difference == 0;
}

static bool is_ours(const skh_curve_auth_t *guard, const zap_question_t *question)
{
	return question->count == ZAP_PARTS && question->len[ZAP_MECHANISM] == strlen("CURVE") &&
	       memcmp(question->part[ZAP_MECHANISM], "CURVE", strlen("CURVE")) == 0 &&
	       question->len[ZAP_KEY] == KEY_BYTES && same_key(question->part[ZAP_KEY], guard->key);
}

static void send_text(void *socket, const char *text, int flags)
{
	(void)zmq_send(socket, text, strlen(text), flags);
}

static void answer(const skh_curve_auth_t *guard, const zap_question_t *question)
{
	bool good = is_ours(guard, question);
	size_t id_len = question->count > ZAP_REQUEST_ID ? question->len[ZAP_REQUEST_ID] : 0;

	if (!good)
		skh_log(SKH_LOG_WARNING, PART, "A peer without our key was turned away.", "%s", "");
	send_text(guard->zap, ZAP_VERSION, ZMQ_SNDMORE);
	(void)zmq_send(guard->zap, question->part[ZAP_REQUEST_ID], id_len, ZMQ_SNDMORE);
	send_text(guard->zap, good ? "200" : "400", ZMQ_SNDMORE);
	send_text(guard->zap, good ? "OK" : "unknown key", ZMQ_SNDMORE);
	send_text(guard->zap, "", ZMQ_SNDMORE);
	send_text(guard->zap, "", 0);
}

static void *run(void *argument)
{
	skh_curve_auth_t *guard = argument;
	zap_question_t question;

	while (!__atomic_load_n(&guard->stop, __ATOMIC_ACQUIRE)) {
		if (read_question(guard->zap, &question))
			answer(guard, &question);
	}
	return NULL;
}

skh_curve_auth_t *skh_curve_auth_start(void *context, const skh_settings_t *settings)
{
	skh_curve_auth_t *guard;

	if (!has_keys(settings)) {
		skh_log(SKH_LOG_WARNING, PART, "Peers are not checked: no keys are set.", "%s", "");
		return NULL;
	}
	guard = g_new0(skh_curve_auth_t, 1);
	(void)zmq_z85_decode(guard->key, settings->link_public_key);
	guard->zap = zmq_socket(context, ZMQ_REP);
	skh_wire_set_option(guard->zap, ZMQ_RCVTIMEO, STOP_POLL_MS);
	skh_wire_set_option(guard->zap, ZMQ_LINGER, 0);
	(void)zmq_bind(guard->zap, ZAP_ENDPOINT);
	(void)pthread_create(&guard->thread, NULL, run, guard);
	return guard;
}

void skh_curve_auth_stop(skh_curve_auth_t *guard)
{
	if (!guard)
		return;
	__atomic_store_n(&guard->stop, true, __ATOMIC_RELEASE);
	(void)pthread_join(guard->thread, NULL);
	(void)zmq_close(guard->zap);
	g_free(guard);
}

static void set_text(void *socket, int option, const char *text)
{
	(void)zmq_setsockopt(socket, option, text, strlen(text));
}

void skh_curve_auth_set_server(void *socket, const skh_settings_t *settings)
{
	if (!has_keys(settings))
		return;
	skh_wire_set_option(socket, ZMQ_CURVE_SERVER, 1);
	set_text(socket, ZMQ_CURVE_SECRETKEY, settings->link_secret_key);
	set_text(socket, ZMQ_ZAP_DOMAIN, ZAP_DOMAIN);
}

void skh_curve_auth_set_client(void *socket, const skh_settings_t *settings)
{
	if (!has_keys(settings))
		return;
	skh_wire_set_option(socket, ZMQ_CURVE_SERVER, 0);
	set_text(socket, ZMQ_CURVE_SERVERKEY, settings->link_public_key);
	set_text(socket, ZMQ_CURVE_PUBLICKEY, settings->link_public_key);
	set_text(socket, ZMQ_CURVE_SECRETKEY, settings->link_secret_key);
}
