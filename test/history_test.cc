// Simulates callers, entries, sidecars, a network and a key-value service in virtual time, with
// random faults that may coincide. Entries and sidecars use the product's state machine, gate,
// claim and batch code. Guards against a request that runs twice, a wrong report of whether it ran,
// and a response that is incomplete or belongs to another request. check_history() must detect
// each injected fault.
#include "batch.h"
#include "claim.h"
#include "clock.h"
#include "fake_store.h"
#include "gate.h"
#include "request_fsm.h"
#include "seeds.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace
{

enum class InjectedFault {
	kNone,
	kNoClaims,		 // attempts with a key run without a claim
	kStartsRejectedAttempts, // a sidecar starts an attempt that it rejected
	kSilenceTakenAsNotRun,	 // an entry retries a request because its sidecar is silent
	kAcceptsOldDataFrames,	 // an entry accepts data of abandoned attempts
};

constexpr int64_t kUsPerMs = SKH_US_PER_MS;
constexpr int64_t kUsPerSecond = SKH_US_PER_S;
constexpr int64_t kDeadlineUs = 20 * kUsPerSecond;
constexpr size_t kSidecars = 3;
constexpr int kStreamTokens = 6;
constexpr int kMaxEvents = 100000;

// One request of a caller and its result. A caller retries with another request of the same key.
struct Request {
	int id = 0;
	std::string key; // empty for none
	int content = 0; // the same for all requests with the same key
	bool is_streaming = false;
	size_t entry = 0;
	skh_request_fsm_t fsm = {};
	size_t sidecar = 0; // of the current attempt
	std::set<uint64_t> attempts;
	std::vector<int> tokens;
	std::string body;
	bool has_ended = false;
	bool is_complete = false;
	skh_run_state_t run_state = SKH_RUN_UNKNOWN;
};

struct Attempt {
	uint64_t id = 0;
	int request_id = 0;
	bool has_key = false;
	bool is_streaming = false;
	int content = 0;
	int first_token = 0;
	std::string key;
	std::string owner;
	uint64_t incarnation = 0; // sidecar process that the attempt is addressed to
	int64_t start_before_us = 0;
	int64_t claim_revision = 0;
	uint64_t n_data_frames = 0;
};

struct Sidecar {
	std::unique_ptr<skh_gate_t, decltype(&skh_gate_free)> gate{ nullptr, skh_gate_free };
	uint64_t incarnation = 0;
	int64_t clock_offset_us = 0;
	int64_t stalled_until_us = 0;
	std::map<uint64_t, Attempt> attempts;
};

struct Run {
	uint64_t attempt;
	int request_id;
	std::string key;
	std::string response;
};

class Simulation
{
      public:
	Simulation(uint32_t seed, InjectedFault injected_fault)
	    : random(seed), injected_fault(injected_fault)
	{
		for (auto &sidecar : sidecars)
			restart(sidecar);
	}

	std::string run()
	{
		for (int i = 0; i < 14; i++)
			schedule_at(random_below(10000) * kUsPerMs,
				    [this, i] { schedule_requests(i); });
		for (int i = 0; i < 10; i++)
			schedule_at(random_below(12000) * kUsPerMs,
				    [this] { cause_random_fault(); });
		while (!events.empty()) {
			auto first = events.begin();
			const auto action = first->second;

			now_us = first->first;
			events.erase(first);
			action();
			if (++n_handled > kMaxEvents)
				return "the simulation does not end";
		}
		return check_history();
	}

	int n_complete = 0;
	int n_not_run = 0;
	int n_unknown = 0;

      private:
	int random_below(int n)
	{
		return static_cast<int>(random() % static_cast<uint32_t>(n));
	}

	void schedule_at(int64_t when_us, std::function<void()> action)
	{
		events.emplace(std::max(when_us, now_us), std::move(action));
	}

	void schedule_after(int64_t wait_us, std::function<void()> action)
	{
		schedule_at(now_us + wait_us, std::move(action));
	}

	// Delivers a message: most arrive soon, some late by seconds, some never or twice.
	void deliver(std::function<void()> action)
	{
		const int outcome = random_below(40);

		if (outcome == 0)
			return;
		const int64_t delay_us =
			outcome < 3 ? random_below(9000) * kUsPerMs : random_below(3000);
		schedule_after(delay_us, action);
		if (outcome == 3)
			schedule_after(random_below(9000) * kUsPerMs, action);
	}

	void restart(Sidecar &sidecar)
	{
		sidecar.incarnation = ++last_incarnation;
		sidecar.gate.reset(skh_gate_new(2, 2, sidecar.incarnation));
		sidecar.clock_offset_us = random_below(1000000) * kUsPerMs;
		sidecar.attempts.clear();
		skh_gate_open(sidecar.gate.get());
	}

	int64_t clock_us(const Sidecar &sidecar) const
	{
		return now_us + sidecar.clock_offset_us;
	}

	void cause_random_fault()
	{
		const size_t index = random() % kSidecars;
		Sidecar &sidecar = sidecars[index];

		switch (random_below(6)) {
		case 0:
			crash(index);
			break;
		case 1:
			sidecar.stalled_until_us = now_us + random_below(8000) * kUsPerMs;
			break;
		case 2:
			store.is_down = true;
			schedule_after(random_below(6000) * kUsPerMs,
				       [this] { store.is_down = false; });
			break;
		case 3:
			store.lose_response_of_txn = store.n_txns + 1;
			break;
		case 4:
			store.drop_txn = store.n_txns + 1;
			break;
		default:
			n_backend_failures++;
			break;
		}
	}

	void crash(size_t index)
	{
		restart(sidecars[index]);
		for (auto &request : requests) {
			const uint64_t attempt = request.fsm.attempt;

			if (attempt != 0 && request.sidecar == index)
				schedule_after(random_below(2000) * kUsPerMs,
					       [this, id = request.id, attempt] {
						       report_loss(id, attempt, true);
					       });
		}
	}

	// Callers.

	void schedule_requests(int content)
	{
		const int kind = random_below(3); // 0: with a key, 1: without, 2: streaming
		const std::string key = kind == 0 ? "key-" + std::to_string(content) : "";
		const int n_requests = key.empty() ? 1 : 1 + random_below(3);

		for (int i = 0; i < n_requests; i++)
			schedule_after(i * random_below(6000) * kUsPerMs,
				       [this, content, key, kind] {
					       submit_request(content, key, kind == 2);
				       });
	}

	void submit_request(int content, const std::string &key, bool is_streaming)
	{
		Request request;

		request.id = static_cast<int>(requests.size());
		request.key = key;
		request.content = content;
		request.is_streaming = is_streaming;
		skh_request_fsm_init(&request.fsm, is_streaming, is_streaming,
				     now_us + kDeadlineUs);
		requests.push_back(request);
		const int id = request.id;
		schedule_after(kDeadlineUs, [this, id] {
			apply_action(id, skh_request_fsm_on_deadline(
						 &requests[static_cast<size_t>(id)].fsm));
		});
		apply_action(id, SKH_REQUEST_ACTION_DISPATCH);
	}

	Request &request_of(int id)
	{
		return requests[static_cast<size_t>(id)];
	}

	// Entries: actions of the state machine.

	void apply_action(int id, skh_request_action_t action)
	{
		Request &request = request_of(id);

		if (request.has_ended)
			return;
		if (action == SKH_REQUEST_ACTION_DISPATCH)
			dispatch(id);
		else if (action == SKH_REQUEST_ACTION_FINISH)
			finish_request(request, true, SKH_RUN_RAN);
		else if (action == SKH_REQUEST_ACTION_FAIL)
			finish_request(request, false, request.fsm.error.run_state);
	}

	void finish_request(Request &request, bool is_complete, skh_run_state_t run_state)
	{
		request.has_ended = true;
		request.is_complete = is_complete;
		request.run_state = run_state;
		n_complete += is_complete;
		n_not_run += !is_complete && run_state == SKH_RUN_NOT_RUN;
		n_unknown += !is_complete && run_state == SKH_RUN_UNKNOWN;
	}

	void dispatch(int id)
	{
		Request &request = request_of(id);
		const size_t index = random() % kSidecars;
		const Sidecar &sidecar = sidecars[index];
		Attempt attempt;

		if (now_us >= request.fsm.deadline_us) {
			apply_action(id, skh_request_fsm_on_deadline(&request.fsm));
			return;
		}
		attempt.id = ++last_attempt;
		attempt.request_id = id;
		attempt.has_key = !request.key.empty();
		attempt.key = request.key;
		attempt.is_streaming = request.is_streaming;
		attempt.content = request.content;
		attempt.first_token = static_cast<int>(request.tokens.size());
		/* The estimate of the sidecar's clock is behind by up to the time in transit. */
		attempt.start_before_us = clock_us(sidecar) - random_below(3000) + 3 * kUsPerSecond;
		request.attempts.insert(attempt.id);
		request.sidecar = index;
		request.body.clear();
		skh_request_fsm_on_sent(&request.fsm, attempt.id);
		attempt.incarnation = sidecar.incarnation;
		send_start(index, attempt);
		schedule_after(2500 * kUsPerMs, [this, id, attempt] { ask_status(id, attempt); });
	}

	// A connection leads to one process, so a second copy of the frame can't reach the process
	// that replaced it.
	void send_start(size_t index, const Attempt &attempt)
	{
		auto has_arrived = std::make_shared<bool>(false);

		deliver([this, index, attempt, has_arrived] {
			if (*has_arrived && sidecars[index].incarnation != attempt.incarnation)
				return;
			*has_arrived = true;
			receive_start(index, attempt);
		});
	}

	// Asks for the state of the attempt periodically, or reports the loss of a stalled sidecar.
	void ask_status(int id, const Attempt &attempt)
	{
		Request &request = request_of(id);
		const size_t index = request.sidecar;

		if (request.has_ended || request.fsm.attempt != attempt.id)
			return;
		schedule_after(2500 * kUsPerMs, [this, id, attempt] { ask_status(id, attempt); });
		if (sidecars[index].stalled_until_us > now_us) {
			report_loss(id, attempt.id, false);
			return;
		}
		deliver([this, index, attempt] { resolve_ask(index, attempt); });
	}

	void report_loss(int id, uint64_t attempt, bool is_replaced)
	{
		Request &request = request_of(id);

		if (injected_fault == InjectedFault::kSilenceTakenAsNotRun &&
		    !request.is_streaming && request.fsm.attempt == attempt && !request.has_ended) {
			const skh_error_t err = make_error(SKH_NO_BACKEND);

			apply_action(id, skh_request_fsm_on_rejected(&request.fsm, attempt, &err));
			return;
		}
		apply_action(id, skh_request_fsm_on_lost(&request.fsm, attempt,
							 is_replaced ? SKH_SIDECAR_LOSS_REPLACED
								     : SKH_SIDECAR_LOSS_SILENT));
	}

	static skh_error_t make_error(skh_error_kind_t kind)
	{
		skh_error_t err;

		(void)skh_error_set(&err, kind, "simulated error");
		return err;
	}

	// Sidecars.

	void run_after_stall(size_t index, uint64_t incarnation, std::function<void()> action)
	{
		if (sidecars[index].incarnation != incarnation)
			return;
		if (sidecars[index].stalled_until_us <= now_us) {
			action();
			return;
		}
		schedule_at(sidecars[index].stalled_until_us, [this, index, incarnation, action] {
			run_after_stall(index, incarnation, action);
		});
	}

	void receive_start(size_t index, const Attempt &attempt)
	{
		run_after_stall(index, sidecars[index].incarnation,
				[this, index, attempt] { admit(index, attempt); });
	}

	void admit(size_t index, const Attempt &attempt)
	{
		Sidecar &sidecar = sidecars[index];
		Skh__Start frame = SKH__START__INIT;
		skh_error_t err = {};

		frame.attempt = attempt.id;
		frame.incarnation = attempt.incarnation;
		frame.start_before_us = attempt.start_before_us;
		skh_gate_decision_t decision =
			skh_gate_admit(sidecar.gate.get(), &frame, clock_us(sidecar), &err);
		const bool is_known = sidecar.attempts.count(attempt.id) > 0;
		if (injected_fault == InjectedFault::kStartsRejectedAttempts &&
		    decision != SKH_GATE_DECISION_START && decision != SKH_GATE_DECISION_QUEUE &&
		    !is_known && !attempt.is_streaming) {
			if (decision == SKH_GATE_DECISION_REJECT)
				send_rejected(attempt, err);
			execute(index, attempt);
			return;
		}
		if (decision == SKH_GATE_DECISION_REJECT)
			send_rejected(attempt, err);
		if (decision == SKH_GATE_DECISION_START || decision == SKH_GATE_DECISION_QUEUE)
			sidecar.attempts[attempt.id] = attempt;
		if (decision == SKH_GATE_DECISION_START)
			start_attempt(index, attempt.id);
		if (decision == SKH_GATE_DECISION_QUEUE)
			schedule_at(now_us + 4 * kUsPerSecond,
				    [this, index, incarnation = attempt.incarnation] {
					    run_after_stall(index, incarnation, [this, index] {
						    expire_queued(index);
					    });
				    });
	}

	void expire_queued(size_t index)
	{
		Sidecar &sidecar = sidecars[index];
		uint64_t id;

		while ((id = skh_gate_expire_next(sidecar.gate.get(), clock_us(sidecar))) != 0) {
			send_rejected(sidecar.attempts.at(id), make_error(SKH_OVERLOADED));
			sidecar.attempts.erase(id);
		}
	}

	void start_attempt(size_t index, uint64_t id)
	{
		Sidecar &sidecar = sidecars[index];
		Attempt &attempt = sidecar.attempts.at(id);
		const uint64_t incarnation = sidecar.incarnation;

		if (!attempt.has_key || injected_fault == InjectedFault::kNoClaims) {
			execute(index, attempt);
			return;
		}
		attempt.owner = std::to_string(incarnation) + "-" + std::to_string(id);
		write_claim(index, id, 0);
	}

	std::string encode_claim(const Attempt &attempt, skh_claim_state_t state,
				 const std::string &response)
	{
		skh_claim_t claim = {};

		claim.state = state;
		claim.owner = g_strdup(attempt.owner.c_str());
		claim.content_hash = static_cast<uint64_t>(attempt.content);
		claim.content_type = g_strdup("");
		claim.has_response = state == SKH_CLAIM_DONE;
		skh_buffer_append_string(&claim.response, response.c_str());
		char *text = skh_claim_encode(&claim);
		std::string copy = text;
		g_free(text);
		skh_claim_clear(&claim);
		return copy;
	}

	skh_write_t submit_claim_write(const Attempt &attempt, const std::string &text,
				       int64_t expected)
	{
		skh_write_t write = {};

		write.key = attempt.key.c_str();
		write.value = text.c_str();
		write.expected_revision = expected;
		skh_batch_run(&store.base, &write, 1);
		write.key = nullptr;
		write.value = nullptr;
		return write;
	}

	void write_claim(size_t index, uint64_t id, int64_t expected)
	{
		const uint64_t incarnation = sidecars[index].incarnation;
		const Attempt attempt = sidecars[index].attempts.at(id);
		const skh_write_t write = submit_claim_write(
			attempt, encode_claim(attempt, SKH_CLAIM_CLAIMED, ""), expected);

		/* The sidecar may crash or stall between the write and its result. */
		schedule_after(random_below(40) * kUsPerMs, [this, index, id, incarnation, write] {
			run_after_stall(index, incarnation, [this, index, id, write] {
				on_claim_written(index, id, write);
			});
			if (sidecars[index].incarnation != incarnation)
				g_free(write.found_value);
		});
	}

	void on_claim_written(size_t index, uint64_t id, const skh_write_t &write)
	{
		Sidecar &sidecar = sidecars[index];
		Attempt &attempt = sidecar.attempts.at(id);

		if (write.state == SKH_WRITE_FAILED) {
			reject(index, id, SKH_STORE_UNAVAILABLE);
		} else if (write.state == SKH_WRITE_CONFLICT) {
			const std::string found = write.found_value ? write.found_value : "";

			g_free(write.found_value);
			on_claim_conflict(index, id, found, write.mod_revision);
		} else {
			attempt.claim_revision = write.mod_revision;
			if (clock_us(sidecar) >= attempt.start_before_us) {
				release_claim(attempt);
				reject(index, id, SKH_STALE);
			} else {
				execute(index, attempt);
			}
		}
	}

	void on_claim_conflict(size_t index, uint64_t id, const std::string &text,
			       int64_t mod_revision)
	{
		Attempt &attempt = sidecars[index].attempts.at(id);
		skh_claim_t found = {};
		skh_error_t err = {};

		ASSERT_TRUE(skh_claim_decode(text.c_str(), &found, &err));
		switch (skh_claim_decide(&found, attempt.owner.c_str(),
					 static_cast<uint64_t>(attempt.content))) {
		case SKH_CLAIM_DECISION_REPLAY:
			send_data(attempt, skh_buffer_text(&found.response), 0);
			end_attempt(index, id, SKH_OK);
			break;
		case SKH_CLAIM_DECISION_REPLACE:
			write_claim(index, id, mod_revision);
			break;
		default:
			end_attempt(index, id, SKH_OUTCOME_UNKNOWN);
			break;
		}
		skh_claim_clear(&found);
	}

	void release_claim(const Attempt &attempt)
	{
		const skh_write_t write =
			submit_claim_write(attempt, encode_claim(attempt, SKH_CLAIM_NOT_RUN, ""),
					   attempt.claim_revision);

		g_free(write.found_value);
	}

	void reject(size_t index, uint64_t id, skh_error_kind_t kind)
	{
		Sidecar &sidecar = sidecars[index];

		send_rejected(sidecar.attempts.at(id), make_error(kind));
		remove_attempt(index, id, false);
	}

	void remove_attempt(size_t index, uint64_t id, bool started)
	{
		Sidecar &sidecar = sidecars[index];
		uint64_t next;

		skh_gate_finish(sidecar.gate.get(), id, started);
		sidecar.attempts.erase(id);
		while ((next = skh_gate_start_next(sidecar.gate.get(), clock_us(sidecar))) != 0)
			start_attempt(index, next);
	}

	// The backend server: a request runs even when its sidecar or entry is lost.
	void execute(size_t index, const Attempt &attempt)
	{
		const uint64_t incarnation = sidecars[index].incarnation;
		const std::string response = "response-" + std::to_string(runs.size());
		const bool backend_fails = n_backend_failures > 0 && random_below(2) == 0;

		n_backend_failures -= backend_fails;
		send_started(attempt);
		if (attempt.is_streaming) {
			schedule_token(index, attempt, attempt.first_token, incarnation,
				       backend_fails);
			return;
		}
		runs.push_back({ attempt.id, attempt.request_id, attempt.key, response });
		schedule_after(random_below(3000) * kUsPerMs, [this, index, attempt, incarnation,
							       response, backend_fails] {
			run_after_stall(index, incarnation,
					[this, index, attempt, response, backend_fails] {
						on_executed(index, attempt, response,
							    backend_fails);
					});
		});
	}

	void on_executed(size_t index, const Attempt &attempt, const std::string &response,
			 bool backend_fails)
	{
		if (sidecars[index].attempts.count(attempt.id) == 0)
			return;
		if (backend_fails) {
			end_attempt(index, attempt.id, SKH_BACKEND_FAILED);
			return;
		}
		send_data(attempt, response, 0);
		if (attempt.has_key && injected_fault != InjectedFault::kNoClaims) {
			const skh_write_t write = submit_claim_write(
				attempt, encode_claim(attempt, SKH_CLAIM_DONE, response),
				attempt.claim_revision);

			g_free(write.found_value);
		}
		end_attempt(index, attempt.id, SKH_OK);
	}

	void schedule_token(size_t index, const Attempt &attempt, int token, uint64_t incarnation,
			    bool backend_fails)
	{
		schedule_after(random_below(800) * kUsPerMs, [this, index, attempt, token,
							      incarnation, backend_fails] {
			run_after_stall(index, incarnation,
					[this, index, attempt, token, incarnation, backend_fails] {
						emit_token(index, attempt, token, incarnation,
							   backend_fails);
					});
		});
	}

	void emit_token(size_t index, const Attempt &attempt, int token, uint64_t incarnation,
			bool backend_fails)
	{
		if (sidecars[index].attempts.count(attempt.id) == 0)
			return;
		if (token == kStreamTokens || (backend_fails && token == kStreamTokens / 2)) {
			end_attempt(index, attempt.id,
				    token == kStreamTokens ? SKH_OK : SKH_BACKEND_FAILED);
			return;
		}
		send_data(attempt, std::to_string(token), 1);
		schedule_token(index, attempt, token + 1, incarnation, backend_fails);
	}

	void resolve_ask(size_t index, const Attempt &attempt)
	{
		run_after_stall(index, sidecars[index].incarnation, [this, index, attempt] {
			Sidecar &sidecar = sidecars[index];

			switch (skh_gate_resolve(sidecar.gate.get(), attempt.id,
						 attempt.incarnation, attempt.start_before_us,
						 clock_us(sidecar))) {
			case SKH_ATTEMPT_STATUS_REJECTED:
				send_rejected(attempt, make_error(SKH_STALE));
				break;
			case SKH_ATTEMPT_STATUS_ENDED:
			case SKH_ATTEMPT_STATUS_UNKNOWN:
				send_end(attempt, 0, SKH_OUTCOME_UNKNOWN);
				break;
			default:
				break;
			}
		});
	}

	// Frames to entries.

	void send_rejected(const Attempt &attempt, const skh_error_t &err)
	{
		deliver([this, attempt, err] {
			apply_action(
				attempt.request_id,
				skh_request_fsm_on_rejected(&request_of(attempt.request_id).fsm,
							    attempt.id, &err));
		});
	}

	void send_started(const Attempt &attempt)
	{
		deliver([this, attempt] {
			(void)skh_request_fsm_on_started(&request_of(attempt.request_id).fsm,
							 attempt.id);
		});
	}

	void send_data(const Attempt &attempt, const std::string &bytes, uint32_t events)
	{
		for (auto &sidecar : sidecars) {
			auto found = sidecar.attempts.find(attempt.id);

			if (found != sidecar.attempts.end())
				deliver_data(attempt, found->second.n_data_frames++, bytes, events);
		}
	}

	void deliver_data(const Attempt &attempt, uint64_t seq, const std::string &bytes,
			  uint32_t events)
	{
		deliver([this, attempt, seq, bytes, events] {
			Request &request = request_of(attempt.request_id);
			uint64_t attempt_id = attempt.id;
			uint64_t frame_seq = seq;

			if (request.has_ended)
				return;
			if (injected_fault == InjectedFault::kAcceptsOldDataFrames) {
				attempt_id = request.fsm.attempt;
				frame_seq = request.fsm.next_seq;
			}
			const skh_request_action_t action = skh_request_fsm_on_data(
				&request.fsm, attempt_id, frame_seq, events);
			if (action == SKH_REQUEST_ACTION_FORWARD && request.is_streaming)
				request.tokens.push_back(std::stoi(bytes));
			else if (action == SKH_REQUEST_ACTION_FORWARD)
				request.body += bytes;
			apply_action(attempt.request_id, action);
		});
	}

	void send_end(const Attempt &attempt, uint64_t n_data_frames, skh_error_kind_t kind)
	{
		deliver([this, attempt, n_data_frames, kind] {
			const skh_error_t err = make_error(kind);

			apply_action(attempt.request_id,
				     skh_request_fsm_on_end(&request_of(attempt.request_id).fsm,
							    attempt.id, n_data_frames,
							    kind == SKH_OK ? nullptr : &err));
		});
	}

	void end_attempt(size_t index, uint64_t id, skh_error_kind_t kind)
	{
		const Attempt attempt = sidecars[index].attempts.at(id);

		send_end(attempt, attempt.n_data_frames, kind);
		remove_attempt(index, id, true);
	}

	// Check of the history, after the simulation.

	std::string check_history()
	{
		std::map<std::string, int> runs_of_key;
		std::map<int, int> runs_of_request;
		std::map<std::string, std::string> responses;

		for (const auto &run : runs) {
			runs_of_request[run.request_id]++;
			if (!run.key.empty() && ++runs_of_key[run.key] > 1)
				return "key " + run.key + " ran twice";
			if (runs_of_request[run.request_id] > 1)
				return "request " + std::to_string(run.request_id) + " ran twice";
			responses[run.key.empty() ? std::to_string(run.request_id) : run.key] =
				run.response;
		}
		for (const auto &request : requests) {
			const std::string name = "request " + std::to_string(request.id);

			if (!request.has_ended)
				return name + " has no result";
			if (request.run_state == SKH_RUN_NOT_RUN && !request.is_complete &&
			    runs_of_request[request.id] > 0)
				return name + " was reported as not run but ran";
			if (request.is_complete && request.is_streaming &&
			    !is_complete_stream(request))
				return name + " got an incomplete stream";
			if (request.is_complete && !request.is_streaming &&
			    request.body !=
				    responses[request.key.empty() ? std::to_string(request.id)
								  : request.key])
				return name + " got the response of another request";
		}
		return "";
	}

	static bool is_complete_stream(const Request &request)
	{
		for (size_t i = 0; i < request.tokens.size(); i++) {
			if (request.tokens[i] != static_cast<int>(i))
				return false;
		}
		return request.tokens.size() == kStreamTokens;
	}

	std::mt19937 random;
	InjectedFault injected_fault;
	int64_t now_us = 0;
	int n_handled = 0;
	std::multimap<int64_t, std::function<void()>> events;
	std::array<Sidecar, kSidecars> sidecars;
	std::vector<Request> requests;
	std::vector<Run> runs;
	FakeStore store;
	uint64_t last_incarnation = 0;
	uint64_t last_attempt = 0;
	int n_backend_failures = 0; // still to be injected
};

const uint32_t kSeeds = get_seed_count(600);

TEST(History, NothingIsFoundInRunsWithEveryFault)
{
	int n_complete = 0;
	int n_not_run = 0;
	int n_unknown = 0;

	for (uint32_t seed = 1; seed <= kSeeds; seed++) {
		Simulation simulation(seed, InjectedFault::kNone);

		ASSERT_EQ(simulation.run(), "") << "seed " << seed;
		n_complete += simulation.n_complete;
		n_not_run += simulation.n_not_run;
		n_unknown += simulation.n_unknown;
	}
	/* Without enough requests of each outcome, runs without a finding prove little. */
	EXPECT_GT(n_complete, 1000);
	EXPECT_GT(n_not_run, 50);
	EXPECT_GT(n_unknown, 50);
	RecordProperty("whole", n_complete);
	RecordProperty("not_run", n_not_run);
	RecordProperty("unknown", n_unknown);
	std::cout << n_complete << " whole, " << n_not_run << " not run, " << n_unknown
		  << " unknown\n";
}

TEST(History, EachInjectedFaultIsDetected)
{
	for (InjectedFault injected_fault :
	     { InjectedFault::kNoClaims, InjectedFault::kStartsRejectedAttempts,
	       InjectedFault::kSilenceTakenAsNotRun, InjectedFault::kAcceptsOldDataFrames }) {
		int n_detected = 0;

		for (uint32_t seed = 1; seed <= kSeeds; seed++)
			n_detected += !Simulation(seed, injected_fault).run().empty();
		EXPECT_GT(n_detected, 0) << "injected fault " << static_cast<int>(injected_fault);
		std::cout << "injected fault " << static_cast<int>(injected_fault) << ": found in "
			  << n_detected << " of " << kSeeds << " runs\n";
	}
}

} // namespace
