#ifndef SKH_SERVE_H
#define SKH_SERVE_H

/**
 * DOC: Serving one request
 *
 * Runs one request through the state machine of request_fsm.h: dispatches
 * attempts over the link, feeds the link's events to the state machine and
 * forwards the response to the caller. Runs on the thread that handles the
 * caller's request and blocks it; calls for different requests may run
 * concurrently.
 */

#include "board.h"
#include "link.h"
#include "quarantine.h"
#include "request_fsm.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct skh_entry_request - one request as parsed by the entry; all texts and bytes borrowed
 * @weight: relative share of the customer
 * @failure_domain: failure domain of this entry
 * @idempotency_key: "" for none
 * @prefix_hash: hash of the prompt's prefix; 0 for no affinity
 * @board: its lifecycle ends what is unfinished in a planned stop
 * @received_us: arrival, on the monotonic clock
 * @deadline_us: time by which the response must be complete, on the monotonic clock
 */
typedef struct skh_entry_request {
	const char *request_id;
	const char *customer;
	const char *priority_name;
	uint32_t priority;
	double weight;
	const char *service;
	const char *failure_domain;
	const char *method;
	const char *path;
	const char *content_type;
	skh_chunk_t body;
	bool is_streaming;
	bool is_idempotent;
	const char *idempotency_key;
	uint64_t prefix_hash;
	skh_board_t *board;
	int64_t received_us;
	int64_t deadline_us;
} skh_entry_request_t;

typedef struct skh_response_sink skh_response_sink_t;

/**
 * struct skh_response_sink_ops - writes a response to the caller
 *
 * A response is either begin(), write()... and end(), or one send_complete(). Functions that return
 * bool return false when the caller's connection is closed. A replayed response was recorded by an
 * earlier run.
 */
typedef struct skh_response_sink_ops {
	bool (*begin)(skh_response_sink_t *sink, int32_t status, const char *content_type);
	bool (*write)(skh_response_sink_t *sink, skh_chunk_t bytes);
	bool (*end)(skh_response_sink_t *sink);
	bool (*send_complete)(skh_response_sink_t *sink, int32_t status, const char *content_type,
			      skh_chunk_t body, bool replayed);
	/* Before begin() an error response; afterwards an error event without an end marker. */
	void (*fail)(skh_response_sink_t *sink, const skh_error_t *err);
} skh_response_sink_ops_t;

/** struct skh_response_sink - base; the first member of every implementation */
struct skh_response_sink {
	const skh_response_sink_ops_t *ops;
};

/**
 * skh_serve_request() - run @request until it succeeds, fails or its caller disconnects
 * @sink: receives the response, or the error unless the caller disconnected
 * @result: set to the failure; kind SKH_OK on success
 * Return: true when the complete response was written to @sink.
 */
bool skh_serve_request(skh_link_t *link, skh_quarantine_t *quarantine,
		       const skh_entry_request_t *request, skh_response_sink_t *sink,
		       skh_error_t *result);

#ifdef __cplusplus
}
#endif
#endif
