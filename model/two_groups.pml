/*
 * Model of a rank that restarts into another group of its service (src/rankrelay.c).
 *
 * Group 0 has rank 0, group 1 has rank 1, and rank 2 is in group 0 and restarts into group 1. Each
 * group has a coordinator that sends orders to the ranks that it knows; the first one does not
 * know that rank 2 has left. Groups count their epochs themselves, so that both can have the same
 * one. Fences are higher the later a lease was acquired, whatever the group. An order may arrive at
 * the relay beside a rank at any later time and more than once. The relay asks its engine for the
 * group on the connection on which it then sends the order, which a restart of the engine breaks;
 * so check and order are one step.
 *
 * Property: no rank carries out an order of a group that it is not in. With -DNO_GROUP_CHECK (only
 * epoch and fence are compared) it must fail.
 */
#define RANKS 3
#define GROUPS 2
#define MAX_EPOCH 2

byte group[RANKS];
byte epoch[GROUPS];    /* of the group; rises when it forms */
byte fence[RANKS];     /* highest that the rank has seen since its start */
byte lease_fence[GROUPS];
byte last_fence;

/* Orders in flight from the coordinator of a group to a rank. */
typedef Orders {
	bool is_sent[RANKS];
	byte epoch[RANKS];
	byte fence[RANKS];
}
Orders orders[GROUPS];

#ifdef NO_GROUP_CHECK
#define IS_OF_GROUP(g, r) true
#else
#define IS_OF_GROUP(g, r) (group[r] == g)
#endif

proctype Coordinator(byte g)
{
	byte r;

	do
	:: atomic {
		/* A new lease, by this or another process of the group. */
		last_fence < 3 -> last_fence++; lease_fence[g] = last_fence }
	:: atomic {
		lease_fence[g] > 0 ->
		select(r : 0 .. RANKS - 1);
		if
		/* Rank 2 has been in both groups, so that either may take it for its own. */
		:: r == g || r == 2 ->
			orders[g].is_sent[r] = true;
			orders[g].epoch[r] = epoch[g];
			orders[g].fence[r] = lease_fence[g]
		:: else -> skip
		fi }
	od
}

proctype Relay(byte r)
{
	byte g;

	do
	:: atomic {
		select(g : 0 .. GROUPS - 1);
		if
		:: orders[g].is_sent[r] && IS_OF_GROUP(g, r) &&
		   orders[g].epoch[r] == epoch[group[r]] && orders[g].fence[r] >= fence[r] ->
			fence[r] = orders[g].fence[r];
			assert(group[r] == g)
		:: else -> skip
		fi }
	od
}

/* Both groups form anew: one without the rank, one with it. */
proctype Restart()
{
	atomic {
		group[2] = 1;
		fence[2] = 0;
		fence[0] = 0;
		fence[1] = 0;
		epoch[0]++;
		epoch[1]++
	}
}

init
{
	atomic {
		byte start = 0;

		/* The second group may have formed once more or less often than the first. */
		select(start : 0 .. MAX_EPOCH);
		epoch[0] = 1;
		epoch[1] = start;
		group[0] = 0;
		group[1] = 1;
		group[2] = 0;
		run Coordinator(0);
		run Coordinator(1);
		run Relay(0);
		run Relay(1);
		run Relay(2);
		run Restart()
	}
}
