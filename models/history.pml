/*
 * Compare-and-set of configuration revisions (design 3.2).
 *
 * The model checks that two operators who race with the same base revision are
 * never both accepted, that a change resent after a lost reply is not applied
 * twice, and that both operators receive the true result, when commands are lost
 * with their leader or applied late and replies are lost.
 *
 * The history is one durable state changed by one command at a time (the result
 * of replication.pml). Each operator makes one change and sends it, under one
 * change_id, until it receives a result.
 *
 * Mutants: EQUAL_REVISIONS_ACCEPTED (the base revision is not compared),
 * RESEND_IS_NEW (change_id is ignored), and both together.
 */

#ifndef OPERATORS
#define OPERATORS 2
#endif
#ifndef MAX_SENDINGS
#define MAX_SENDINGS 3 /* per operator */
#endif

#define NONE 0
#define ACCEPTED 1
#define CONFLICT 2

/* History in the replicated log: which change made revision 1, 2, ... */
byte current;
byte author[OPERATORS * MAX_SENDINGS + 1]; /* operator + 1 by revision number */

/* Operators. */
byte base[OPERATORS];     /* revision on which the change is based */
byte sendings[OPERATORS];
byte under_way[OPERATORS]; /* copies in flight of the command that may still be applied */
bool has_base[OPERATORS];
byte heard[OPERATORS];
byte heard_revision[OPERATORS];

/* Scratch variables, 0 outside one indivisible step. */
byte k;
byte n;

inline read_base(o) {
  d_step {
    !has_base[o] ->
    printf("operator %d reads revision %d\n", o, current);
    base[o] = current;
    has_base[o] = true
  }
}

inline send_change(o) {
  d_step {
    has_base[o] && heard[o] == NONE && sendings[o] < MAX_SENDINGS ->
    printf("operator %d sends its change on revision %d\n", o, base[o]);
    sendings[o]++;
    under_way[o]++
  }
}

inline lose_command(o) {
  d_step {
    under_way[o] > 0 ->
    printf("a command of operator %d is lost\n", o);
    under_way[o]--
  }
}

/* Sets n to the revision that the operator's change made, or 0. */
inline find_change(o) {
  n = 0;
  for (k : 1 .. OPERATORS * MAX_SENDINGS) {
    if
    :: author[k] == o + 1 && n == 0 -> n = k
    :: else
    fi
  }
  k = 0
}

#ifdef EQUAL_REVISIONS_ACCEPTED
#define BASE_MATCHES(o) true
#else
#define BASE_MATCHES(o) (base[o] == current)
#endif

#ifdef RESEND_IS_NEW
#define IS_KNOWN false
#else
#define IS_KNOWN (n > 0)
#endif

inline apply_change(o, answered) {
  d_step {
    under_way[o] > 0 ->
    printf("the change of operator %d is applied, answered %d\n", o, answered);
    under_way[o]--;
    find_change(o);
    if
    :: IS_KNOWN -> skip
    :: !IS_KNOWN && BASE_MATCHES(o) ->
       /* Property change-applied-once: a change makes at most one revision. */
       assert(n == 0);
       /* Property one-winner-per-base: only one change is accepted on a base. */
       assert(current == base[o]);
       current++;
       author[current] = o + 1;
       n = current
    :: else -> n = 0
    fi;
    if
    :: answered && heard[o] == NONE ->
       heard[o] = (n > 0 -> ACCEPTED : CONFLICT);
       heard_revision[o] = n
#ifdef REACH_CONFLICT
       ;
       /* Reachable conflict. */
       assert(heard[o] != CONFLICT)
#endif
#ifdef REACH_ACCEPTED_BY_RESEND
       ;
       /* Reachable accepted-by-resend: although a newer revision exists. */
       assert(heard[o] != ACCEPTED || heard_revision[o] == current)
#endif
    :: else
    fi;
    n = 0;
    for (k : 0 .. OPERATORS - 1) {
      /* Property answer-is-true: Accepted names the revision that this change made. */
      assert(heard[k] != ACCEPTED || author[heard_revision[k]] == k + 1)
    }
    k = 0;
    check_conflicts()
  }
}

/* A change whose operator received Conflict is in no revision, now or later. */
inline check_conflicts() {
  for (k : 1 .. OPERATORS * MAX_SENDINGS) {
    /* Property conflict-is-true. */
    assert(author[k] == NONE || heard[author[k] - 1] != CONFLICT)
  }
  k = 0
}

active proctype system() {
end:
  do
  :: read_base(0)
  :: send_change(0)
  :: lose_command(0)
  :: apply_change(0, true)
  :: apply_change(0, false)
  :: read_base(1)
  :: send_change(1)
  :: lose_command(1)
  :: apply_change(1, true)
  :: apply_change(1, false)
#if OPERATORS > 2
  :: read_base(2)
  :: send_change(2)
  :: lose_command(2)
  :: apply_change(2, true)
  :: apply_change(2, false)
#endif
  od
}
