#include "sidecar_link.h"

#include "curve_auth.h"
#include "metrics.h"

#include <errno.h>
#include <glib.h>
#include <string.h>
#include <zmq.h>

#define LINGER_MS 2000

struct skh_sidecar_link {
	const skh_settings_t *settings;
	skh_curve_auth_t *curve_auth;
	void *context;
	void *router;
	skh_buffer_t packed; /* buffer reused by all sends */
};

skh_sidecar_link_t *skh_sidecar_link_open(const skh_settings_t *settings, skh_error_t *err)
{
	skh_sidecar_link_t *link = g_new0(skh_sidecar_link_t, 1);

	link->settings = settings;
	link->context = zmq_ctx_new();
	link->curve_auth = skh_curve_auth_start(link->context, settings);
	link->router = zmq_socket(link->context, ZMQ_ROUTER);
	skh_wire_setup_router(link->router, LINGER_MS);
	skh_curve_auth_set_server(link->router, settings);
	if (zmq_setsockopt(link->router, ZMQ_ROUTING_ID, settings->id, strlen(settings->id)) != 0 ||
	    zmq_bind(link->router, settings->link_listen) != 0) {
		(void)skh_error_set(err, SKH_CONFIG_INVALID, "can't listen on %s: %s",
				    settings->link_listen, zmq_strerror(errno));
		skh_sidecar_link_close(link);
		return NULL;
	}
	return link;
}

void skh_sidecar_link_close(skh_sidecar_link_t *link)
{
	(void)zmq_close(link->router);
	skh_curve_auth_stop(link->curve_auth);
	(void)zmq_ctx_term(link->context);
	skh_buffer_free(&link->packed);
	g_free(link);
}

void skh_sidecar_link_connect(skh_sidecar_link_t *link, const char *address)
{
	skh_curve_auth_set_client(link->router, link->settings);
	(void)zmq_connect(link->router, address);
}

int skh_sidecar_link_fd(const skh_sidecar_link_t *link)
{
	int fd = -1;
	size_t len = sizeof(fd);

	(void)zmq_getsockopt(link->router, ZMQ_FD, &fd, &len);
	return fd;
}

/* Sets *@is_whole_id to whether @peer is the peer's whole id. */
static bool receive_message(skh_sidecar_link_t *link, char *peer, bool *is_whole_id,
			    zmq_msg_t *body)
{
	int len = zmq_recv(link->router, peer, SKH_SIDECAR_LINK_PEER_BYTES - 1, ZMQ_DONTWAIT);

	if (len < 0)
		return false;
	*is_whole_id = skh_wire_terminate_id(peer, SKH_SIDECAR_LINK_PEER_BYTES, len);
	return zmq_msg_recv(body, link->router, ZMQ_DONTWAIT) >= 0;
}

/* The protocol has one frame per message; any further message parts are discarded. */
static void discard_extra_parts(skh_sidecar_link_t *link, zmq_msg_t *body)
{
	while (zmq_msg_more(body)) {
		if (zmq_msg_recv(body, link->router, ZMQ_DONTWAIT) < 0)
			return;
	}
}

Skh__Frame *skh_sidecar_link_receive(skh_sidecar_link_t *link,
				     char peer[SKH_SIDECAR_LINK_PEER_BYTES])
{
	Skh__Frame *frame = NULL;
	skh_error_t err;
	zmq_msg_t body;
	bool is_whole_id;

	(void)zmq_msg_init(&body);
	while (!frame && receive_message(link, peer, &is_whole_id, &body)) {
		frame = skh_wire_unpack(skh_chunk_make(zmq_msg_data(&body), zmq_msg_size(&body)),
					&err);
		if (frame && !is_whole_id)
			g_clear_pointer(&frame, skh_wire_free);
		skh_metrics_add(frame ? SKH_COUNT_FRAMES_IN : SKH_COUNT_BAD_FRAMES, 1);
		if (frame && frame->body_case == SKH__FRAME__BODY_HELLO)
			skh_metrics_add(SKH_COUNT_CONTROL_BYTES_IN, zmq_msg_size(&body));
		discard_extra_parts(link, &body);
	}
	(void)zmq_msg_close(&body);
	return frame;
}

bool skh_sidecar_link_send(skh_sidecar_link_t *link, const char *peer, Skh__Frame *frame)
{
	frame->version = SKH_WIRE_VERSION;
	skh_buffer_clear(&link->packed);
	skh_wire_pack(frame, &link->packed);
	if (zmq_send(link->router, peer, strlen(peer), ZMQ_SNDMORE | ZMQ_DONTWAIT) < 0)
		return false;
	if (zmq_send(link->router, link->packed.data, link->packed.len, ZMQ_DONTWAIT) < 0)
		return false;
	skh_metrics_add(SKH_COUNT_FRAMES_OUT, 1);
	/* A frame without a body carries only the status. */
	if (frame->body_case == SKH__FRAME__BODY__NOT_SET)
		skh_metrics_add(SKH_COUNT_CONTROL_BYTES_OUT, link->packed.len);
	return true;
}
