/*
 * Model of a map change that ends after its coordinator's lease has passed to another
 * (src/mapchange.c).
 *
 * Coordinator 1 (own rank 0, fence 1, undo under fence 2) has prepared both ranks, and holds, arms
 * and releases them, or undoes that. Coordinator 2 (own rank 1, fence 3) may begin at any time: it
 * prepares, disarms what is armed, releases all holds, and makes a change of its own. Neither knows
 * whether it holds the lease. An order that was sent may be carried out at any later time and more
 * than once. Ranks reject orders with a lower fence than the highest that they have accepted; a
 * rejected order does not raise it. Ranks begin a pass together, unless one of them holds it.
 *
 * Property: no pass begins while the ranks have different maps. Each of these must break it:
 * -DNO_FENCE (ranks accept any fence), -DNO_GUARD (coordinator 2 disarms ranks without a hold under
 * its own fence), -DSAME_PASS (it holds a pass again that it has released before).
 */
#define MAX_PASS 4
#define NONE 0

#define OP_PREPARE 1
#define OP_HOLD 2
#define OP_ARM 3
#define OP_DISARM 4
#define OP_RELEASE 5

/* Orders, each with a fixed kind, rank and fence; the array index is its name. */
#define HOLD_1 0
#define ARM_1_0 1
#define ARM_1_1 2
#define UNARM_1_0 3
#define UNARM_1_1 4
#define UNDO_1 5
#define RELEASE_1 6
#define PREPARE_2_0 7
#define PREPARE_2_1 8
#define GUARD_2 9
#define UNARM_2_0 10
#define UNARM_2_1 11
#define STALE_2_0 12
#define STALE_2_1 13
#define HOLD_2 14
#define ARM_2_0 15
#define ARM_2_1 16
#define RELEASE_2 17
#define N_ORDERS 18

bool is_sent[N_ORDERS];
bool is_accepted[N_ORDERS]; /* as the coordinator may have learned from a response */
bool is_rejected[N_ORDERS]; /* because of the rank's state, not of the fence */
byte order_pass[N_ORDERS];

byte pass;
byte fence[2];
byte held[2];	       /* pass that is held; 0 for none */
byte prepared[2];      /* version */
byte armed[2];	       /* version */
byte armed_pass[2];
byte map_version[2];

#ifdef NO_FENCE
#define IS_FENCED(f, r) false
#else
#define IS_FENCED(f, r) (f < fence[r])
#endif

#define ACCEPT(o, r, f) fence[r] = f; is_accepted[o] = true
#define REJECT(o) is_rejected[o] = true

inline execute(o, op, r, version, f)
{
	d_step {
		if
		:: IS_FENCED(f, r) -> skip
		:: else ->
			if
			:: op == OP_PREPARE && armed[r] == NONE ->
				prepared[r] = version; ACCEPT(o, r, f)
			:: op == OP_HOLD && (held[r] == order_pass[o] ||
					     (held[r] == NONE && order_pass[o] > pass)) ->
				held[r] = order_pass[o]; ACCEPT(o, r, f)
			:: op == OP_ARM && prepared[r] == version && order_pass[o] > pass &&
			   (armed[r] == NONE || armed[r] == version) ->
				armed[r] = version; armed_pass[r] = order_pass[o]; ACCEPT(o, r, f)
			:: op == OP_DISARM && map_version[r] != version ->
				if
				:: armed[r] == version -> armed[r] = NONE
				:: else -> skip
				fi;
				ACCEPT(o, r, f)
			:: op == OP_RELEASE ->
				if
				:: held[r] == order_pass[o] -> held[r] = NONE
				:: else -> skip
				fi;
				ACCEPT(o, r, f)
			:: else -> REJECT(o)
			fi
		fi
	}
}

/* Carries out any order that was sent, at any time, any number of times. */
proctype Network()
{
	do
	:: is_sent[HOLD_1] -> execute(HOLD_1, OP_HOLD, 0, 1, 1)
	:: is_sent[ARM_1_0] -> execute(ARM_1_0, OP_ARM, 0, 1, 1)
	:: is_sent[ARM_1_1] -> execute(ARM_1_1, OP_ARM, 1, 1, 1)
	:: is_sent[UNARM_1_0] -> execute(UNARM_1_0, OP_DISARM, 0, 1, 2)
	:: is_sent[UNARM_1_1] -> execute(UNARM_1_1, OP_DISARM, 1, 1, 2)
	:: is_sent[UNDO_1] -> execute(UNDO_1, OP_RELEASE, 0, 1, 2)
	:: is_sent[RELEASE_1] -> execute(RELEASE_1, OP_RELEASE, 0, 1, 1)
	:: is_sent[PREPARE_2_0] -> execute(PREPARE_2_0, OP_PREPARE, 0, 2, 3)
	:: is_sent[PREPARE_2_1] -> execute(PREPARE_2_1, OP_PREPARE, 1, 2, 3)
	:: is_sent[GUARD_2] -> execute(GUARD_2, OP_HOLD, 1, 2, 3)
	:: is_sent[UNARM_2_0] -> execute(UNARM_2_0, OP_DISARM, 0, 1, 3)
	:: is_sent[UNARM_2_1] -> execute(UNARM_2_1, OP_DISARM, 1, 1, 3)
	:: is_sent[STALE_2_0] -> execute(STALE_2_0, OP_RELEASE, 0, 2, 3)
	:: is_sent[STALE_2_1] -> execute(STALE_2_1, OP_RELEASE, 1, 2, 3)
	:: is_sent[HOLD_2] -> execute(HOLD_2, OP_HOLD, 1, 2, 3)
	:: is_sent[ARM_2_0] -> execute(ARM_2_0, OP_ARM, 0, 2, 3)
	:: is_sent[ARM_2_1] -> execute(ARM_2_1, OP_ARM, 1, 2, 3)
	:: is_sent[RELEASE_2] -> execute(RELEASE_2, OP_RELEASE, 1, 2, 3)
	od
}

inline send(o, p)
{
	d_step { order_pass[o] = p; is_sent[o] = true }
}

proctype FirstCoordinator()
{
	byte hold_pass;

	atomic { pass < MAX_PASS; hold_pass = pass + 1; send(HOLD_1, hold_pass) }
	is_accepted[HOLD_1];
	send(ARM_1_0, hold_pass);
	send(ARM_1_1, hold_pass);
	if
	:: atomic { is_accepted[ARM_1_0] && is_accepted[ARM_1_1] -> send(RELEASE_1, hold_pass) }
	:: true ->
		/* The lease has expired, or not all ranks confirm in time. */
		send(UNARM_1_0, 0);
		send(UNARM_1_1, 0);
		is_accepted[UNARM_1_0] && is_accepted[UNARM_1_1];
		send(UNDO_1, hold_pass)
	fi
}

/* The own rank holds the pass that it holds already, or else the next one. */
inline send_guard()
{
	atomic {
		if
		:: held[1] != NONE -> guard_pass = held[1]
		:: else -> guard_pass = pass + 1
		fi;
		send(GUARD_2, guard_pass)
	}
}

proctype SecondCoordinator()
{
	byte guard_pass = 0;
	byte released_pass = 0;
	byte hold_pass;

	send(PREPARE_2_0, 0);
	send(PREPARE_2_1, 0);
	/* What is armed rejects the prepare order. */
	if
	:: is_accepted[PREPARE_2_0] && is_accepted[PREPARE_2_1]
	:: is_rejected[PREPARE_2_0] || is_rejected[PREPARE_2_1] ->
#ifndef NO_GUARD
		send_guard();
		do
		:: is_accepted[GUARD_2] -> break
		:: atomic { order_pass[GUARD_2] <= pass && pass < MAX_PASS && !is_accepted[GUARD_2] ->
			send_guard() }
		od;
#endif
		if
		:: is_rejected[PREPARE_2_1] -> send(UNARM_2_1, 0); is_accepted[UNARM_2_1]
		:: else -> skip
		fi;
		if
		:: is_rejected[PREPARE_2_0] -> send(UNARM_2_0, 0); is_accepted[UNARM_2_0]
		:: else -> skip
		fi;
		is_accepted[PREPARE_2_0] && is_accepted[PREPARE_2_1]
	fi;
	atomic {
		if
		:: held[0] != NONE -> send(STALE_2_0, held[0])
		:: else -> skip
		fi;
		if
		:: guard_pass != 0 -> released_pass = guard_pass; send(STALE_2_1, guard_pass)
		:: else -> skip
		fi
	}
	held[0] == NONE && held[1] == NONE;
	atomic {
		pass + 1 < MAX_PASS;
		hold_pass = pass + 1;
#ifndef SAME_PASS
		if
		:: hold_pass <= released_pass -> hold_pass = released_pass + 1
		:: else -> skip
		fi;
#endif
		send(HOLD_2, hold_pass)
	}
	is_accepted[HOLD_2];
	send(ARM_2_0, hold_pass);
	send(ARM_2_1, hold_pass);
	is_accepted[ARM_2_0] && is_accepted[ARM_2_1];
	send(RELEASE_2, hold_pass)
}

proctype Passes()
{
	do
	:: atomic {
		pass < MAX_PASS && held[0] != pass + 1 && held[1] != pass + 1 ->
		pass++;
		if
		:: armed[0] != NONE && armed_pass[0] == pass ->
			map_version[0] = armed[0]; armed[0] = NONE; prepared[0] = NONE
		:: else -> skip
		fi;
		if
		:: armed[1] != NONE && armed_pass[1] == pass ->
			map_version[1] = armed[1]; armed[1] = NONE; prepared[1] = NONE
		:: else -> skip
		fi;
		assert(map_version[0] == map_version[1])
	   }
	od
}

init
{
	atomic {
		fence[0] = 1;
		fence[1] = 1;
		prepared[0] = 1;
		prepared[1] = 1;
		run FirstCoordinator();
		run SecondCoordinator();
		run Network();
		run Passes()
	}
}
