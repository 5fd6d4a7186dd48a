#include "curve_auth.h"

#include "log.h"
#include "wire.h"

#include <glib.h>
#include <pthread.h>
#include <string.h>
#include <zmq.h>

#define PART		      "guard"
#define ZAP_ENDPOINT	      "inproc://zeromq.zap.01"
#define ZAP_VERSION	      "1.0"
#define ZAP_DOMAIN	      "skylarkhead"
#define ZAP_FRAME_COUNT	      7 /* version, request, domain, address, identity, mechanism, key */
#define KEY_BYTES	      32
#define MAX_ZAP_FRAME_BYTES   256
#define STOP_POLL_INTERVAL_MS 200

enum zap_frame {
	ZAP_FRAME_REQUEST_ID = 1,
	ZAP_FRAME_MECHANISM = 5,
	ZAP_FRAME_KEY = 6
};

struct skh_curve_auth {
	void *zap_socket;
	uint8_t key[KEY_BYTES];
	pthread_t thread;
	bool stop_requested;
};

typedef struct zap_request {
	uint8_t frame[ZAP_FRAME_COUNT][MAX_ZAP_FRAME_BYTES];
	size_t len[ZAP_FRAME_COUNT];
	size_t n_frames;
} zap_request_t;

static bool has_keys(const skh_settings_t *settings)
{
	return settings->link_public_key != NULL;
}

static bool read_request(void *socket, zap_request_t *request)
{
	int has_more = 1;
	size_t has_more_len = sizeof(has_more);

	request->n_frames = 0;
	while (has_more) {
		uint8_t discarded[MAX_ZAP_FRAME_BYTES];
		bool fits = request->n_frames < ZAP_FRAME_COUNT;
		int len = zmq_recv(socket, fits ? request->frame[request->n_frames] : discarded,
				   MAX_ZAP_FRAME_BYTES, 0);

		if (len < 0)
			return false;
		if (fits)
			request->len[request->n_frames] = (size_t)MIN(len, MAX_ZAP_FRAME_BYTES);
		request->n_frames++;
		(void)zmq_getsockopt(socket, ZMQ_RCVMORE, &has_more, &has_more_len);
	}
	return true;
}

/* Compares in constant time, so that the duration reveals nothing about the key. */
static bool are_keys_equal(const uint8_t *a, const uint8_t *b)
{
	uint8_t difference = 0;

	for (size_t i = 0; i < KEY_BYTES; i++)
		difference |= a[i] ^ b[i];
	return difference == 0;
}

static bool is_authorized(const skh_curve_auth_t *auth, const zap_request_t *request)
{
	return request->n_frames == ZAP_FRAME_COUNT &&
	       request->len[ZAP_FRAME_MECHANISM] == strlen("CURVE") &&
	       memcmp(request->frame[ZAP_FRAME_MECHANISM], "CURVE", strlen("CURVE")) == 0 &&
	       request->len[ZAP_FRAME_KEY] == KEY_BYTES &&
	       are_keys_equal(request->frame[ZAP_FRAME_KEY], auth->key);
}

static void send_text(void *socket, const char *text, int flags)
{
	(void)zmq_send(socket, text, strlen(text), flags);
}

static void send_reply(const skh_curve_auth_t *auth, const zap_request_t *request)
{
	bool is_accepted = is_authorized(auth, request);
	size_t id_len =
		request->n_frames > ZAP_FRAME_REQUEST_ID ? request->len[ZAP_FRAME_REQUEST_ID] : 0;

	if (!is_accepted)
		skh_log(SKH_LOG_WARNING, PART,
			"Peer rejected because it does not have the configured key.", "%s", "");
	send_text(auth->zap_socket, ZAP_VERSION, ZMQ_SNDMORE);
	(void)zmq_send(auth->zap_socket, request->frame[ZAP_FRAME_REQUEST_ID], id_len, ZMQ_SNDMORE);
	send_text(auth->zap_socket, is_accepted ? "200" : "400", ZMQ_SNDMORE);
	send_text(auth->zap_socket, is_accepted ? "OK" : "unknown key", ZMQ_SNDMORE);
	send_text(auth->zap_socket, "", ZMQ_SNDMORE);
	send_text(auth->zap_socket, "", 0);
}

static void *run_zap_handler(void *argument)
{
	skh_curve_auth_t *auth = argument;
	zap_request_t request;

	while (!__atomic_load_n(&auth->stop_requested, __ATOMIC_ACQUIRE)) {
		if (read_request(auth->zap_socket, &request))
			send_reply(auth, &request);
	}
	return NULL;
}

skh_curve_auth_t *skh_curve_auth_start(void *context, const skh_settings_t *settings)
{
	skh_curve_auth_t *auth;

	if (!has_keys(settings)) {
		skh_log(SKH_LOG_WARNING, PART,
			"Peers are not authenticated because no keys are set.", "%s", "");
		return NULL;
	}
	auth = g_new0(skh_curve_auth_t, 1);
	(void)zmq_z85_decode(auth->key, settings->link_public_key);
	auth->zap_socket = zmq_socket(context, ZMQ_REP);
	skh_wire_set_socket_option(auth->zap_socket, ZMQ_RCVTIMEO, STOP_POLL_INTERVAL_MS);
	skh_wire_set_socket_option(auth->zap_socket, ZMQ_LINGER, 0);
	(void)zmq_bind(auth->zap_socket, ZAP_ENDPOINT);
	(void)pthread_create(&auth->thread, NULL, run_zap_handler, auth);
	return auth;
}

void skh_curve_auth_stop(skh_curve_auth_t *auth)
{
	if (!auth)
		return;
	__atomic_store_n(&auth->stop_requested, true, __ATOMIC_RELEASE);
	(void)pthread_join(auth->thread, NULL);
	(void)zmq_close(auth->zap_socket);
	g_free(auth);
}

static void set_text_option(void *socket, int option, const char *text)
{
	(void)zmq_setsockopt(socket, option, text, strlen(text));
}

void skh_curve_auth_set_server(void *socket, const skh_settings_t *settings)
{
	if (!has_keys(settings))
		return;
	skh_wire_set_socket_option(socket, ZMQ_CURVE_SERVER, 1);
	set_text_option(socket, ZMQ_CURVE_SECRETKEY, settings->link_secret_key);
	set_text_option(socket, ZMQ_ZAP_DOMAIN, ZAP_DOMAIN);
}

void skh_curve_auth_set_client(void *socket, const skh_settings_t *settings)
{
	if (!has_keys(settings))
		return;
	skh_wire_set_socket_option(socket, ZMQ_CURVE_SERVER, 0);
	set_text_option(socket, ZMQ_CURVE_SERVERKEY, settings->link_public_key);
	set_text_option(socket, ZMQ_CURVE_PUBLICKEY, settings->link_public_key);
	set_text_option(socket, ZMQ_CURVE_SECRETKEY, settings->link_secret_key);
}
