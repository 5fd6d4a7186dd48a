/*
 * Switch of a group's expert map (src/rank.c, src/mapswitch.c): RANKS ranks,
 * two coordinators one after the other, of which the first may be paused at any
 * point and go on later, and messages that are lost or late. Engines ignore
 * fences. A step begins on all ranks or on none.
 *
 * Checked: no step begins on two maps. Compile with -DNO_FENCE to see the
 * check fail.
 */
#ifndef RANKS
#define RANKS 2
#endif
#define HOLD 1
#define SET 2
#define GO 3

byte fence[RANKS];
byte held_by[RANKS];
byte version[RANKS];
bool held[RANKS];

#ifdef NO_FENCE
#define MINE(c, r) true
#define RIGHT(c, r) true
#else
#define MINE(c, r) (held_by[r] == c)
#define RIGHT(c, r) (version[r] == c)
#endif

/* One message at a time is under way from each coordinator to each rank. */
typedef Mail {
	byte step[RANKS];
	bool confirmed[RANKS];
}
Mail mail[3];

inline rank_takes(c, r)
{
	atomic {
		if
		:: mail[c].step[r] != 0 ->
			if
			:: c < fence[r] -> skip
			:: else ->
#ifndef NO_FENCE
				fence[r] = c;
#endif
				if
				:: mail[c].step[r] == HOLD ->
					held[r] = true;
					held_by[r] = c;
					mail[c].confirmed[r] = true
				:: mail[c].step[r] == SET && held[r] && MINE(c, r) ->
					version[r] = c;
					mail[c].confirmed[r] = true
				:: mail[c].step[r] == GO && held[r] && MINE(c, r) && RIGHT(c, r) ->
					held[r] = false;
					held_by[r] = 0;
					mail[c].confirmed[r] = true
				:: else -> skip
				fi
			fi;
			/* Delivered for good, or once more later. */
			if
			:: mail[c].step[r] = 0
			:: skip
			fi
		:: else -> skip
		fi
	}
}

inline send_all(c, what)
{
	atomic {
		i = 0;
		do
		:: i < RANKS ->
			mail[c].step[i] = what;
			mail[c].confirmed[i] = false;
			i++
		:: else -> break
		od
	}
}

inline await_all(c)
{
	/* It may wait for ever: a coordinator that can't go on stops here. */
	(mail[c].confirmed[0] && mail[c].confirmed[RANKS - 1]);
}

proctype Coordinator(byte c)
{
	byte i;

	send_all(c, HOLD);
	await_all(c);
	send_all(c, SET);
	await_all(c);
	send_all(c, GO);
	await_all(c)
}

proctype Network(byte c; byte r)
{
	do
	:: rank_takes(c, r)
	od
}

proctype Steps()
{
	do
	:: atomic {
		(!held[0] && !held[RANKS - 1]);
		assert(version[0] == version[RANKS - 1])
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
		run Steps()
	}
}
