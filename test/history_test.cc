// Histories of whole runs in virtual time: callers who repeat themselves,
// entries and sidecars made of the real decisions (relay, gate, claim, batch),
// and a network, processes and a key-value service that fail together. A check
// over what ran and what callers were told must find nothing, and must find
// each planted fault.
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

enum class Planted {
	kNothing,
	kNoClaims,	  // keyed work runs without a claim
	kForgetful,	  // a sidecar starts what it refused before
	kSilenceIsNotRun, // an entry repeats work because it heard nothing
	kOldPieces,	  // an entry takes pieces of attempts that it gave up
};

constexpr int64_t kMs = SKH_US_PER_MS;
constexpr int64_t kSecond = SKH_US_PER_S;
constexpr int64_t kDeadlineUs = 20 * kSecond;
constexpr size_t kSidecars = 3;
constexpr int kTokens = 6;
constexpr int kMaxEvents = 100000;

// One message of a caller, and what it was told in the end.
struct Send {
	int id = 0;
	std::string key; // empty for none
	int content = 0; // the same for all sends of a key
	bool stream = false;
	size_t entry = 0;
	skh_request_fsm_t relay = {};
	size_t sidecar = 0; // of the present attempt
	std::set<uint64_t> attempts;
	std::vector<int> tokens;
	std::string kept;
	bool told = false;
	bool whole = false;
	skh_run_state_t run = SKH_RUN_UNKNOWN;
};

struct Attempt {
	uint64_t id = 0;
	int send = 0;
	bool keyed = false;
	bool stream = false;
	int content = 0;
	int first_token = 0;
	std::string key;
	std::string owner;
	uint64_t incarnation = 0; // of the sidecar that it is meant for
	int64_t start_before_us = 0;
	int64_t claim_revision = 0;
	uint64_t pieces = 0;
};

struct Sidecar {
	std::unique_ptr<skh_gate_t, decltype(&skh_gate_free)> gate{ nullptr, skh_gate_free };
	uint64_t incarnation = 0;
	int64_t clock_offset_us = 0;
	int64_t frozen_until_us = 0;
	std::map<uint64_t, Attempt> attempts;
};

struct Ran {
	uint64_t attempt;
	int send;
	std::string key;
	std::string answer;
};

class World
{
      public:
	World(uint32_t seed, Planted planted) : random(seed), planted(planted)
	{
		for (auto &sidecar : sidecars)
			boot(sidecar);
	}

	std::string run()
	{
		for (int i = 0; i < 14; i++)
			at(chance(10000) * kMs, [this, i] { new_request(i); });
		for (int i = 0; i < 10; i++)
			at(chance(12000) * kMs, [this] { fail_something(); });
		while (!events.empty()) {
			auto first = events.begin();
			const auto action = first->second;

			now_us = first->first;
			events.erase(first);
			action();
			if (++handled > kMaxEvents)
				return "the run does not end";
		}
		return judge();
	}

	int answers_whole = 0;
	int told_not_run = 0;
	int told_unknown = 0;

      private:
	int chance(int n)
	{
		return static_cast<int>(random() % static_cast<uint32_t>(n));
	}

	void at(int64_t when_us, std::function<void()> action)
	{
		events.emplace(std::max(when_us, now_us), std::move(action));
	}

	void after(int64_t wait_us, std::function<void()> action)
	{
		at(now_us + wait_us, std::move(action));
	}

	// Most messages are quick, some are late by seconds, some are lost or come twice.
	void carry(std::function<void()> action)
	{
		const int luck = chance(40);

		if (luck == 0)
			return;
		const int64_t delay_us = luck < 3 ? chance(9000) * kMs : chance(3000);
		after(delay_us, action);
		if (luck == 3)
			after(chance(9000) * kMs, action);
	}

	void boot(Sidecar &sidecar)
	{
		sidecar.incarnation = ++last_incarnation;
		sidecar.gate.reset(skh_gate_new(2, 2, sidecar.incarnation));
		sidecar.clock_offset_us = chance(1000000) * kMs;
		sidecar.attempts.clear();
		skh_gate_open(sidecar.gate.get());
	}

	int64_t clock_of(const Sidecar &sidecar) const
	{
		return now_us + sidecar.clock_offset_us;
	}

	void fail_something()
	{
		const size_t index = random() % kSidecars;
		Sidecar &sidecar = sidecars[index];

		switch (chance(6)) {
		case 0:
			kill(index);
			break;
		case 1:
			sidecar.frozen_until_us = now_us + chance(8000) * kMs;
			break;
		case 2:
			store.down = true;
			after(chance(6000) * kMs, [this] { store.down = false; });
			break;
		case 3:
			store.lose_response_of_txn = store.n_txns + 1;
			break;
		case 4:
			store.drop_txn = store.n_txns + 1;
			break;
		default:
			hang_ups++;
			break;
		}
	}

	void kill(size_t index)
	{
		boot(sidecars[index]);
		for (auto &send : sends) {
			const uint64_t attempt = send.relay.attempt;

			if (attempt != 0 && send.sidecar == index)
				after(chance(2000) * kMs,
				      [this, id = send.id, attempt] { lost(id, attempt, true); });
		}
	}

	// Callers.

	void new_request(int content)
	{
		const int kind = chance(3);
		const std::string key = kind == 0 ? "key-" + std::to_string(content) : "";
		const int n_sends = key.empty() ? 1 : 1 + chance(3);

		for (int i = 0; i < n_sends; i++)
			after(i * chance(6000) * kMs,
			      [this, content, key, kind] { send(content, key, kind == 2); });
	}

	void send(int content, const std::string &key, bool stream)
	{
		Send fresh;

		fresh.id = static_cast<int>(sends.size());
		fresh.key = key;
		fresh.content = content;
		fresh.stream = stream;
		skh_request_fsm_init(&fresh.relay, stream, stream, now_us + kDeadlineUs);
		sends.push_back(fresh);
		const int id = fresh.id;
		after(kDeadlineUs, [this, id] {
			act(id, skh_request_fsm_on_deadline(&sends[static_cast<size_t>(id)].relay));
		});
		act(id, SKH_REQUEST_ACTION_DISPATCH);
	}

	Send &send_of(int id)
	{
		return sends[static_cast<size_t>(id)];
	}

	// Entries: the relay's actions.

	void act(int id, skh_request_action_t action)
	{
		Send &send = send_of(id);

		if (send.told)
			return;
		if (action == SKH_REQUEST_ACTION_DISPATCH)
			place(id);
		else if (action == SKH_REQUEST_ACTION_FINISH)
			tell(send, true, SKH_RUN_RAN);
		else if (action == SKH_REQUEST_ACTION_FAIL)
			tell(send, false, send.relay.error.run_state);
	}

	void tell(Send &send, bool whole, skh_run_state_t run)
	{
		send.told = true;
		send.whole = whole;
		send.run = run;
		answers_whole += whole;
		told_not_run += !whole && run == SKH_RUN_NOT_RUN;
		told_unknown += !whole && run == SKH_RUN_UNKNOWN;
	}

	void place(int id)
	{
		Send &send = send_of(id);
		const size_t index = random() % kSidecars;
		const Sidecar &sidecar = sidecars[index];
		Attempt attempt;

		if (now_us >= send.relay.deadline_us) {
			act(id, skh_request_fsm_on_deadline(&send.relay));
			return;
		}
		attempt.id = ++last_attempt;
		attempt.send = id;
		attempt.keyed = !send.key.empty();
		attempt.key = send.key;
		attempt.stream = send.stream;
		attempt.content = send.content;
		attempt.first_token = static_cast<int>(send.tokens.size());
		/* The estimate of the sidecar's clock is early by up to the time in transit. */
		attempt.start_before_us = clock_of(sidecar) - chance(3000) + 3 * kSecond;
		send.attempts.insert(attempt.id);
		send.sidecar = index;
		send.kept.clear();
		skh_request_fsm_on_sent(&send.relay, attempt.id);
		attempt.incarnation = sidecar.incarnation;
		hand_over(index, attempt);
		after(2500 * kMs, [this, id, attempt] { ask(id, attempt); });
	}

	// A connection's bytes reach one process: a second copy can't reach its successor.
	void hand_over(size_t index, const Attempt &attempt)
	{
		auto arrived = std::make_shared<bool>(false);

		carry([this, index, attempt, arrived] {
			if (*arrived && sidecars[index].incarnation != attempt.incarnation)
				return;
			*arrived = true;
			arrive(index, attempt);
		});
	}

	// The entry has heard nothing for a while.
	void ask(int id, const Attempt &attempt)
	{
		Send &send = send_of(id);
		const size_t index = send.sidecar;

		if (send.told || send.relay.attempt != attempt.id)
			return;
		after(2500 * kMs, [this, id, attempt] { ask(id, attempt); });
		if (sidecars[index].frozen_until_us > now_us) {
			lost(id, attempt.id, false);
			return;
		}
		carry([this, index, attempt] { answer_ask(index, attempt); });
	}

	void lost(int id, uint64_t attempt, bool certain)
	{
		Send &send = send_of(id);

		if (planted == Planted::kSilenceIsNotRun && !send.stream &&
		    send.relay.attempt == attempt && !send.told) {
			const skh_error_t err = error_of(SKH_NO_BACKEND);

			act(id, skh_request_fsm_on_rejected(&send.relay, attempt, &err));
			return;
		}
		act(id, skh_request_fsm_on_lost(&send.relay, attempt,
						certain ? SKH_SIDECAR_LOSS_REPLACED
							: SKH_SIDECAR_LOSS_SILENT));
	}

	static skh_error_t error_of(skh_error_kind_t kind)
	{
		skh_error_t err;

		(void)skh_error_set(&err, kind, "in a history");
		return err;
	}

	// Sidecars.

	void when_awake(size_t index, uint64_t incarnation, std::function<void()> action)
	{
		if (sidecars[index].incarnation != incarnation)
			return;
		if (sidecars[index].frozen_until_us <= now_us) {
			action();
			return;
		}
		at(sidecars[index].frozen_until_us,
		   [this, index, incarnation, action] { when_awake(index, incarnation, action); });
	}

	void arrive(size_t index, const Attempt &attempt)
	{
		when_awake(index, sidecars[index].incarnation,
			   [this, index, attempt] { start(index, attempt); });
	}

	void start(size_t index, const Attempt &attempt)
	{
		Sidecar &sidecar = sidecars[index];
		Skh__Start frame = SKH__START__INIT;
		skh_error_t err = {};

		frame.attempt = attempt.id;
		frame.incarnation = attempt.incarnation;
		frame.start_before_us = attempt.start_before_us;
		skh_gate_decision_t verdict =
			skh_gate_admit(sidecar.gate.get(), &frame, clock_of(sidecar), &err);
		const bool again = sidecar.attempts.count(attempt.id) > 0;
		if (planted == Planted::kForgetful && verdict != SKH_GATE_DECISION_START &&
		    verdict != SKH_GATE_DECISION_QUEUE && !again && !attempt.stream) {
			if (verdict == SKH_GATE_DECISION_REJECT)
				tell_refused(attempt, err);
			execute(index, attempt);
			return;
		}
		if (verdict == SKH_GATE_DECISION_REJECT)
			tell_refused(attempt, err);
		if (verdict == SKH_GATE_DECISION_START || verdict == SKH_GATE_DECISION_QUEUE)
			sidecar.attempts[attempt.id] = attempt;
		if (verdict == SKH_GATE_DECISION_START)
			begin(index, attempt.id);
		if (verdict == SKH_GATE_DECISION_QUEUE)
			at(now_us + 4 * kSecond, [this, index, meant_for = attempt.incarnation] {
				when_awake(index, meant_for, [this, index] { expire(index); });
			});
	}

	void expire(size_t index)
	{
		Sidecar &sidecar = sidecars[index];
		uint64_t id;

		while ((id = skh_gate_expire_next(sidecar.gate.get(), clock_of(sidecar))) != 0) {
			tell_refused(sidecar.attempts.at(id), error_of(SKH_OVERLOADED));
			sidecar.attempts.erase(id);
		}
	}

	void begin(size_t index, uint64_t id)
	{
		Sidecar &sidecar = sidecars[index];
		Attempt &attempt = sidecar.attempts.at(id);
		const uint64_t incarnation = sidecar.incarnation;

		if (!attempt.keyed || planted == Planted::kNoClaims) {
			execute(index, attempt);
			return;
		}
		attempt.owner = std::to_string(incarnation) + "-" + std::to_string(id);
		claim(index, id, 0);
	}

	std::string record_text(const Attempt &attempt, skh_claim_state_t state,
				const std::string &answer)
	{
		skh_claim_t claim = {};

		claim.state = state;
		claim.owner = g_strdup(attempt.owner.c_str());
		claim.body_hash = static_cast<uint64_t>(attempt.content);
		claim.content_type = g_strdup("");
		claim.has_response = state == SKH_CLAIM_DONE;
		skh_buffer_append_string(&claim.response, answer.c_str());
		char *text = skh_claim_encode(&claim);
		std::string copy = text;
		g_free(text);
		skh_claim_clear(&claim);
		return copy;
	}

	skh_write_t write_record(const Attempt &attempt, const std::string &text, int64_t expected)
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

	void claim(size_t index, uint64_t id, int64_t expected)
	{
		const uint64_t incarnation = sidecars[index].incarnation;
		const Attempt attempt = sidecars[index].attempts.at(id);
		const skh_write_t write = write_record(
			attempt, record_text(attempt, SKH_CLAIM_CLAIMED, ""), expected);

		/* The sidecar may die or freeze between the write and learning of it. */
		after(chance(40) * kMs, [this, index, id, incarnation, write] {
			when_awake(index, incarnation,
				   [this, index, id, write] { claimed(index, id, write); });
			if (sidecars[index].incarnation != incarnation)
				g_free(write.found_value);
		});
	}

	void claimed(size_t index, uint64_t id, const skh_write_t &write)
	{
		Sidecar &sidecar = sidecars[index];
		Attempt &attempt = sidecar.attempts.at(id);

		if (write.state == SKH_WRITE_FAILED) {
			refuse(index, id, SKH_STORE_UNAVAILABLE);
		} else if (write.state == SKH_WRITE_CONFLICT) {
			const std::string found = write.found_value ? write.found_value : "";

			g_free(write.found_value);
			conflict(index, id, found, write.mod_revision);
		} else {
			attempt.claim_revision = write.mod_revision;
			if (clock_of(sidecar) >= attempt.start_before_us) {
				release(attempt);
				refuse(index, id, SKH_STALE);
			} else {
				execute(index, attempt);
			}
		}
	}

	void conflict(size_t index, uint64_t id, const std::string &text, int64_t mod_revision)
	{
		Attempt &attempt = sidecars[index].attempts.at(id);
		skh_claim_t found = {};
		skh_error_t err = {};

		ASSERT_TRUE(skh_claim_decode(text.c_str(), &found, &err));
		switch (skh_claim_decide(&found, attempt.owner.c_str(),
					 static_cast<uint64_t>(attempt.content))) {
		case SKH_CLAIM_DECISION_REPLAY:
			tell_piece(attempt, skh_buffer_text(&found.response), 0);
			end(index, id, SKH_OK);
			break;
		case SKH_CLAIM_DECISION_REPLACE:
			claim(index, id, mod_revision);
			break;
		default:
			end(index, id, SKH_OUTCOME_UNKNOWN);
			break;
		}
		skh_claim_clear(&found);
	}

	void release(const Attempt &attempt)
	{
		const skh_write_t write =
			write_record(attempt, record_text(attempt, SKH_CLAIM_NOT_RUN, ""),
				     attempt.claim_revision);

		g_free(write.found_value);
	}

	void refuse(size_t index, uint64_t id, skh_error_kind_t kind)
	{
		Sidecar &sidecar = sidecars[index];

		tell_refused(sidecar.attempts.at(id), error_of(kind));
		leave(index, id, false);
	}

	void leave(size_t index, uint64_t id, bool started)
	{
		Sidecar &sidecar = sidecars[index];
		uint64_t next;

		skh_gate_finish(sidecar.gate.get(), id, started);
		sidecar.attempts.erase(id);
		while ((next = skh_gate_start_next(sidecar.gate.get(), clock_of(sidecar))) != 0)
			begin(index, next);
	}

	// The backend server: what it does happens, whoever still listens.
	void execute(size_t index, const Attempt &attempt)
	{
		const uint64_t incarnation = sidecars[index].incarnation;
		const std::string answer = "sold-" + std::to_string(ledger.size());
		const bool hang_up = hang_ups > 0 && chance(2) == 0;

		hang_ups -= hang_up;
		tell_started(attempt);
		if (attempt.stream) {
			stream(index, attempt, attempt.first_token, incarnation, hang_up);
			return;
		}
		ledger.push_back({ attempt.id, attempt.send, attempt.key, answer });
		after(chance(3000) * kMs, [this, index, attempt, incarnation, answer, hang_up] {
			when_awake(index, incarnation, [this, index, attempt, answer, hang_up] {
				executed(index, attempt, answer, hang_up);
			});
		});
	}

	void executed(size_t index, const Attempt &attempt, const std::string &answer, bool hang_up)
	{
		if (sidecars[index].attempts.count(attempt.id) == 0)
			return;
		if (hang_up) {
			end(index, attempt.id, SKH_BACKEND_FAILED);
			return;
		}
		tell_piece(attempt, answer, 0);
		if (attempt.keyed && planted != Planted::kNoClaims) {
			const skh_write_t write =
				write_record(attempt, record_text(attempt, SKH_CLAIM_DONE, answer),
					     attempt.claim_revision);

			g_free(write.found_value);
		}
		end(index, attempt.id, SKH_OK);
	}

	void stream(size_t index, const Attempt &attempt, int token, uint64_t incarnation,
		    bool hang_up)
	{
		after(chance(800) * kMs, [this, index, attempt, token, incarnation, hang_up] {
			when_awake(index, incarnation,
				   [this, index, attempt, token, incarnation, hang_up] {
					   next_token(index, attempt, token, incarnation, hang_up);
				   });
		});
	}

	void next_token(size_t index, const Attempt &attempt, int token, uint64_t incarnation,
			bool hang_up)
	{
		if (sidecars[index].attempts.count(attempt.id) == 0)
			return;
		if (token == kTokens || (hang_up && token == kTokens / 2)) {
			end(index, attempt.id, token == kTokens ? SKH_OK : SKH_BACKEND_FAILED);
			return;
		}
		tell_piece(attempt, std::to_string(token), 1);
		stream(index, attempt, token + 1, incarnation, hang_up);
	}

	void answer_ask(size_t index, const Attempt &attempt)
	{
		when_awake(index, sidecars[index].incarnation, [this, index, attempt] {
			Sidecar &sidecar = sidecars[index];

			switch (skh_gate_resolve(sidecar.gate.get(), attempt.id,
						 attempt.incarnation, attempt.start_before_us,
						 clock_of(sidecar))) {
			case SKH_ATTEMPT_STATUS_REJECTED:
				tell_refused(attempt, error_of(SKH_STALE));
				break;
			case SKH_ATTEMPT_STATUS_ENDED:
			case SKH_ATTEMPT_STATUS_UNKNOWN:
				tell_end(attempt, 0, SKH_OUTCOME_UNKNOWN);
				break;
			default:
				break;
			}
		});
	}

	// Frames to entries.

	void tell_refused(const Attempt &attempt, const skh_error_t &err)
	{
		carry([this, attempt, err] {
			act(attempt.send, skh_request_fsm_on_rejected(&send_of(attempt.send).relay,
								      attempt.id, &err));
		});
	}

	void tell_started(const Attempt &attempt)
	{
		carry([this, attempt] {
			(void)skh_request_fsm_on_started(&send_of(attempt.send).relay, attempt.id);
		});
	}

	void tell_piece(const Attempt &attempt, const std::string &bytes, uint32_t events)
	{
		for (auto &sidecar : sidecars) {
			auto found = sidecar.attempts.find(attempt.id);

			if (found != sidecar.attempts.end())
				piece(attempt, found->second.pieces++, bytes, events);
		}
	}

	void piece(const Attempt &attempt, uint64_t seq, const std::string &bytes, uint32_t events)
	{
		carry([this, attempt, seq, bytes, events] {
			Send &send = send_of(attempt.send);
			uint64_t id = attempt.id;
			uint64_t number = seq;

			if (send.told)
				return;
			if (planted == Planted::kOldPieces) {
				id = send.relay.attempt;
				number = send.relay.next_seq;
			}
			const skh_request_action_t action =
				skh_request_fsm_on_data(&send.relay, id, number, events);
			if (action == SKH_REQUEST_ACTION_FORWARD && send.stream)
				send.tokens.push_back(std::stoi(bytes));
			else if (action == SKH_REQUEST_ACTION_FORWARD)
				send.kept += bytes;
			act(attempt.send, action);
		});
	}

	void tell_end(const Attempt &attempt, uint64_t pieces, skh_error_kind_t kind)
	{
		carry([this, attempt, pieces, kind] {
			const skh_error_t err = error_of(kind);

			act(attempt.send,
			    skh_request_fsm_on_end(&send_of(attempt.send).relay, attempt.id, pieces,
						   kind == SKH_OK ? nullptr : &err));
		});
	}

	void end(size_t index, uint64_t id, skh_error_kind_t kind)
	{
		const Attempt attempt = sidecars[index].attempts.at(id);

		tell_end(attempt, attempt.pieces, kind);
		leave(index, id, true);
	}

	// The check.

	std::string judge()
	{
		std::map<std::string, int> runs_of_key;
		std::map<int, int> runs_of_send;
		std::map<std::string, std::string> answers;

		for (const auto &ran : ledger) {
			runs_of_send[ran.send]++;
			if (!ran.key.empty() && ++runs_of_key[ran.key] > 1)
				return "key " + ran.key + " ran twice";
			if (runs_of_send[ran.send] > 1)
				return "send " + std::to_string(ran.send) + " ran twice";
			answers[ran.key.empty() ? std::to_string(ran.send) : ran.key] = ran.answer;
		}
		for (const auto &send : sends) {
			const std::string name = "send " + std::to_string(send.id);

			if (!send.told)
				return name + " was told nothing";
			if (send.run == SKH_RUN_NOT_RUN && !send.whole && runs_of_send[send.id] > 0)
				return name + " was told not run and ran";
			if (send.whole && send.stream && !is_whole_stream(send))
				return name + " got a stream that is not whole";
			if (send.whole && !send.stream &&
			    send.kept !=
				    answers[send.key.empty() ? std::to_string(send.id) : send.key])
				return name + " got an answer that is not its own";
		}
		return "";
	}

	static bool is_whole_stream(const Send &send)
	{
		for (size_t i = 0; i < send.tokens.size(); i++) {
			if (send.tokens[i] != static_cast<int>(i))
				return false;
		}
		return send.tokens.size() == kTokens;
	}

	std::mt19937 random;
	Planted planted;
	int64_t now_us = 0;
	int handled = 0;
	std::multimap<int64_t, std::function<void()>> events;
	std::array<Sidecar, kSidecars> sidecars;
	std::vector<Send> sends;
	std::vector<Ran> ledger;
	FakeStore store;
	uint64_t last_incarnation = 0;
	uint64_t last_attempt = 0;
	int hang_ups = 0;
};

const uint32_t kSeeds = seeds_or(600);

TEST(History, NothingIsFoundInRunsWithEveryFault)
{
	int whole = 0;
	int not_run = 0;
	int unknown = 0;

	for (uint32_t seed = 1; seed <= kSeeds; seed++) {
		World world(seed, Planted::kNothing);

		ASSERT_EQ(world.run(), "") << "seed " << seed;
		whole += world.answers_whole;
		not_run += world.told_not_run;
		unknown += world.told_unknown;
	}
	/* All outcomes must have come up, or the check had nothing to check. */
	EXPECT_GT(whole, 1000);
	EXPECT_GT(not_run, 50);
	EXPECT_GT(unknown, 50);
	RecordProperty("whole", whole);
	RecordProperty("not_run", not_run);
	RecordProperty("unknown", unknown);
	std::cout << whole << " whole, " << not_run << " not run, " << unknown << " unknown\n";
}

TEST(History, EachPlantedFaultIsFound)
{
	for (Planted planted : { Planted::kNoClaims, Planted::kForgetful, Planted::kSilenceIsNotRun,
				 Planted::kOldPieces }) {
		int found = 0;

		for (uint32_t seed = 1; seed <= kSeeds; seed++)
			found += !World(seed, planted).run().empty();
		EXPECT_GT(found, 0) << "planted fault " << static_cast<int>(planted);
		std::cout << "planted fault " << static_cast<int>(planted) << ": found in " << found
			  << " of " << kSeeds << " runs\n";
	}
}

} // namespace
