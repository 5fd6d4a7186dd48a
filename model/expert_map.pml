/*
 * Model of an expert map switch in a group (src/rank.c, src/mapswitch.c).
 *
 * RANKS ranks receive orders from two successive coordinators, 1 and 2. Coordinator c has the
 * fencing token c and switches the ranks to map version c. The first coordinator may pause at any
 * point and resume after the second one has started. Messages may be lost, delayed or delivered
 * twice. Engines ignore fencing tokens. An engine step starts on all ranks or on none.
 *
 * Property: no engine step starts while ranks use different maps. With -DNO_FENCE the ranks
 * ignore fencing tokens, and the property must fail.
 */
#ifndef RANKS
#define RANKS 2
#endif
#define HOLD 1
#define SET 2
#define GO 3

byte highest_fence[RANKS];
byte hold_fence[RANKS];
byte map_version[RANKS];
bool held[RANKS];

#ifdef NO_FENCE
#define HELD_BY(c, r) true
#define HAS_MAP_OF(c, r) true
#else
#define HELD_BY(c, r) (hold_fence[r] == c)
#define HAS_MAP_OF(c, r) (map_version[r] == c)
#endif

/*
 * Messages from one coordinator to each rank, at most one in flight to a rank. The array is indexed
 * by the coordinator; entry 0 is unused.
 */
typedef Mailbox {
	byte step[RANKS];
	bool confirmed[RANKS];
}
Mailbox mailbox[3];

inline deliver(c, r)
{
	atomic {
		if
		:: mailbox[c].step[r] != 0 ->
			if
			:: c < highest_fence[r] -> skip
			:: else ->
#ifndef NO_FENCE
				highest_fence[r] = c;
#endif
				if
				:: mailbox[c].step[r] == HOLD ->
					held[r] = true;
					hold_fence[r] = c;
					mailbox[c].confirmed[r] = true
				:: mailbox[c].step[r] == SET && held[r] && HELD_BY(c, r) ->
					map_version[r] = c;
					mailbox[c].confirmed[r] = true
				:: mailbox[c].step[r] == GO && held[r] && HELD_BY(c, r) && HAS_MAP_OF(c, r) ->
					held[r] = false;
					hold_fence[r] = 0;
					mailbox[c].confirmed[r] = true
				:: else -> skip
				fi
			fi;
			/* Remove the message, or keep it for a duplicate delivery. */
			if
			:: mailbox[c].step[r] = 0
			:: skip
			fi
		:: else -> skip
		fi
	}
}

inline send_all(c, switch_step)
{
	atomic {
		i = 0;
		do
		:: i < RANKS ->
			mailbox[c].step[i] = switch_step;
			mailbox[c].confirmed[i] = false;
			i++
		:: else -> break
		od
	}
}

inline wait_all_confirmed(c)
{
	/* Blocks forever when a rank never confirms. Covers two ranks, as does init: RANKS must be 2. */
	(mailbox[c].confirmed[0] && mailbox[c].confirmed[RANKS - 1]);
}

proctype Coordinator(byte c)
{
	byte i;

	send_all(c, HOLD);
	wait_all_confirmed(c);
	send_all(c, SET);
	wait_all_confirmed(c);
	send_all(c, GO);
	wait_all_confirmed(c)
}

proctype Network(byte c; byte r)
{
	do
	:: deliver(c, r)
	od
}

proctype EngineSteps()
{
	do
	:: atomic {
		(!held[0] && !held[RANKS - 1]);
		assert(map_version[0] == map_version[RANKS - 1])
	   }
	od
}

init
{
	atomic {
		run Coordinator(1);
		run Coordinator(2);
		run Network(1, 0);
		run Network(1, 1);
		run Network(2, 0);
		run Network(2, 1);
		run EngineSteps()
	}
}
