#ifndef SKH_SERVE_H
#define SKH_SERVE_H

/**
 * DOC: Serving one request
 *
 * The shell around request_fsm.h: places attempts over the link, turns its events
 * into relay steps and the relay's actions into writes to the caller.
 */

#include "link.h"
#include "quarantine.h"
#include "request_fsm.h"

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_entry_request - one request as the entry understood it; all borrowed */
typedef struct skh_entry_request {
	const char *request_id;
	const char *customer;
	const char *priority_name; /* name of its priority */
	uint32_t priority;
	double weight; /* of the customer */
	const char *service;
	const char *failure_domain; /* of this entry */
	const char *method;
	const char *path;
	const char *content_type;
	skh_chunk_t body;
	bool is_streaming;
	bool idempotent;
	const char *idempotency_key; /* idempotency key, "" for none */
	uint64_t prefix_hash;
	int64_t accepted_at_us;
	int64_t deadline_us;
} skh_entry_request_t;

typedef struct skh_response_sink skh_response_sink_t;

/** struct skh_response_sink_ops - where an answer goes; each returns false when the caller is gone */
typedef struct skh_response_sink_ops {
	bool (*begin)(skh_response_sink_t *sink, int32_t status, const char *content_type);
	bool (*write)(skh_response_sink_t *sink, skh_chunk_t bytes);
	bool (*end)(skh_response_sink_t *sink);
	bool (*send_complete)(skh_response_sink_t *sink, int32_t status, const char *content_type,
			      skh_chunk_t body, bool replayed);
	/* Before begin() an error answer, afterwards an error event and no end mark. */
	void (*fail)(skh_response_sink_t *sink, const skh_error_t *err);
} skh_response_sink_ops_t;

/** struct skh_response_sink - first member of every implementation */
struct skh_response_sink {
	const skh_response_sink_ops_t *ops;
};

/**
 * skh_serve_request() - serve @job to its end
 * @result: filled with the failure; SKH_OK when the answer was whole
 * Return: true when the whole answer was handed to @sink.
 */
bool skh_serve_request(skh_link_t *link, skh_quarantine_t *quarantine,
		       const skh_entry_request_t *job, skh_response_sink_t *sink,
		       skh_error_t *result);

#ifdef __cplusplus
}
#endif
#endif
