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
	skh_curve_auth_t *guard;
	void *context;
	void *router;
	skh_buffer_t packed; /* reused for each frame */
};

skh_sidecar_link_t *skh_sidecar_link_open(const skh_settings_t *settings, skh_error_t *err)
{
	skh_sidecar_link_t *port = g_new0(skh_sidecar_link_t, 1);

	port->settings = settings;
	port->context = zmq_ctx_new();
	port->guard = skh_curve_auth_start(port->context, settings);
	port->router = zmq_socket(port->context, ZMQ_ROUTER);
	skh_wire_setup_router(port->router, LINGER_MS);
	skh_curve_auth_set_server(port->router, settings);
	if (zmq_setsockopt(port->router, ZMQ_ROUTING_ID, settings->id, strlen(settings->id)) != 0 ||
	    zmq_bind(port->router, settings->link_listen) != 0) {
		(void)skh_error_set(err, SKH_CONFIG_INVALID, "can't listen on %s: %s",
				    settings->link_listen, zmq_strerror(errno));
		skh_sidecar_link_close(port);
		return NULL;
	}
	return port;
}

void skh_sidecar_link_close(skh_sidecar_link_t *port)
{
	(void)zmq_close(port->router);
	skh_curve_auth_stop(port->guard);
	(void)zmq_ctx_term(port->context);
	skh_buffer_free(&port->packed);
	g_free(port);
}

void skh_sidecar_link_connect(skh_sidecar_link_t *port, const char *address)
{
	skh_curve_auth_set_client(port->router, port->settings);
	(void)zmq_connect(port->router, address);
}

int skh_sidecar_link_fd(const skh_sidecar_link_t *port)
{
	int fd = -1;
	size_t len = sizeof(fd);

	(void)zmq_getsockopt(port->router, ZMQ_FD, &fd, &len);
	return fd;
}

static bool receive_parts(skh_sidecar_link_t *port, char *peer, zmq_msg_t *body)
{
	int len = zmq_recv(port->router, peer, SKH_SIDECAR_LINK_PEER_BYTES - 1, ZMQ_DONTWAIT);

	if (len < 0)
		return false;
	peer[MIN(len, SKH_SIDECAR_LINK_PEER_BYTES - 1)] = '\0';
	return zmq_msg_recv(body, port->router, ZMQ_DONTWAIT) >= 0;
}

/* What follows the frame in the same message is not ours; it is read and dropped. */
static void drop_rest(skh_sidecar_link_t *port, zmq_msg_t *body)
{
	while (zmq_msg_more(body)) {
		if (zmq_msg_recv(body, port->router, ZMQ_DONTWAIT) < 0)
			return;
	}
}

Skh__Frame *skh_sidecar_link_receive(skh_sidecar_link_t *port,
				     char peer[SKH_SIDECAR_LINK_PEER_BYTES])
{
	Skh__Frame *frame = NULL;
	skh_error_t err;
	zmq_msg_t body;

	(void)zmq_msg_init(&body);
	while (!frame && receive_parts(port, peer, &body)) {
		frame = skh_wire_unpack(skh_chunk_make(zmq_msg_data(&body), zmq_msg_size(&body)),
					&err);
		skh_metrics_add(frame ? SKH_COUNT_FRAMES_IN : SKH_COUNT_BAD_FRAMES, 1);
		if (frame && frame->body_case == SKH__FRAME__BODY_HELLO)
			skh_metrics_add(SKH_COUNT_CONTROL_BYTES_IN, zmq_msg_size(&body));
		drop_rest(port, &body);
	}
	(void)zmq_msg_close(&body);
	return frame;
}

bool skh_sidecar_link_send(skh_sidecar_link_t *port, const char *peer, Skh__Frame *frame)
{
	frame->version = SKH_WIRE_VERSION;
	skh_buffer_clear(&port->packed);
	skh_wire_pack(frame, &port->packed);
	if (zmq_send(port->router, peer, strlen(peer), ZMQ_SNDMORE | ZMQ_DONTWAIT) < 0)
		return false;
	if (zmq_send(port->router, port->packed.data, port->packed.len, ZMQ_DONTWAIT) < 0)
		return false;
	skh_metrics_add(SKH_COUNT_FRAMES_OUT, 1);
	if (frame->body_case == SKH__FRAME__BODY__NOT_SET)
		skh_metrics_add(SKH_COUNT_CONTROL_BYTES_OUT, port->packed.len);
	return true;
}
