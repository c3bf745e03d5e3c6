/*
 * Retention of order records and ledger time (design 3.4, 6.6).
 *
 * The model checks that a key whose record was purged can never be claimed, and
 * so run, again, when leaders with different wall clocks follow each other,
 * claims are applied late, and the configured retention changes meanwhile.
 *
 * Time is counted in days. One key is issued at day ISSUED. A claim represents
 * all steps to its dispatch, which orders.pml models. Leaders' clocks differ
 * by up to SKEW days either way.
 *
 * The model adds a rule that the design leaves open: the ledger keeps the greatest
 * issue time that it ever purged (`floor`) and refuses every claim at or below
 * it. Without it (NO_PURGE_FLOOR, the design as written), a longer retention
 * makes purged keys valid again.
 *
 * Mutants: LEDGER_TIME_GOES_BACK (the leader's clock is used unchanged),
 * PURGE_BEFORE_EXPIRY (a record is purged before its key expires).
 */

#define ISSUED 2
#define SKEW 1
#define LAST_DAY 9
#define SHORT 1
#define LONG 4

/* Wall clock of the present leader: true day + offset - SKEW. */
byte day;
byte offset = SKEW;
byte retention = SHORT; /* configured now; a claim carries it */

/* The ledger. */
byte time;
bool recorded;
byte record_retention;
byte floor; /* greatest purged issue time */

/* Observed by the property. */
byte claims;

#define CLOCK (day + offset > SKEW -> day + offset - SKEW : 0)

inline advance_ledger_time() {
#ifdef LEDGER_TIME_GOES_BACK
  time = CLOCK;
#else
  time = (CLOCK > time -> CLOCK : time);
#endif
}

#ifdef PURGE_BEFORE_EXPIRY
#define IS_OVER (time >= ISSUED + record_retention)
#else
#define IS_OVER (time > ISSUED + record_retention + SKEW)
#endif

inline purge() {
  if
  :: recorded && IS_OVER ->
     printf("the record is purged at ledger time %d\n", time);
     recorded = false;
     record_retention = 0;
#ifndef NO_PURGE_FLOOR
     floor = ISSUED
#endif
#ifdef REACH_PURGE
     ;
     /* Reachable purge. */
     assert(false)
#endif
  :: else
  fi
}

#ifdef LEDGER_TIME_GOES_BACK
#define ABOVE_FLOOR true /* the floor would mask the fault */
#else
#ifdef PURGE_BEFORE_EXPIRY
#define ABOVE_FLOOR true
#else
#define ABOVE_FLOOR (ISSUED > floor)
#endif
#endif

#define KEY_EXPIRED (time > ISSUED + retention)
#define KEY_FROM_FUTURE (ISSUED > time + SKEW)

inline claim() {
  d_step {
    day >= ISSUED ->
    advance_ledger_time();
    purge();
    if
    :: !recorded && !KEY_EXPIRED && !KEY_FROM_FUTURE && ABOVE_FLOOR ->
       printf("the key is claimed at ledger time %d, retention %d\n", time, retention);
       claims++;
       /* Property claimed-once: a purged key can never be claimed again. */
       assert(claims <= 1);
       recorded = true;
       record_retention = retention
    :: else
#ifdef REACH_EXPIRED
       ;
       /* Reachable key-expired. */
       assert(recorded || !KEY_EXPIRED)
#endif
    fi
  }
}

/* Any other command of the ledger. */
inline apply_other() {
  d_step {
    true ->
    advance_ledger_time();
    purge()
  }
}

inline change_leader(new_offset) {
  d_step {
    offset != new_offset ->
    printf("the new leader's clock is off by %d - %d days\n", new_offset, SKEW);
    offset = new_offset
  }
}

inline configure_retention(days) {
  d_step {
    retention != days ->
    printf("the retention becomes %d days\n", days);
    retention = days
  }
}

active proctype system() {
end:
  do
  :: claim()
  :: apply_other()
  :: change_leader(0)
  :: change_leader(SKEW)
  :: change_leader(2 * SKEW)
#ifndef FIXED_RETENTION
  :: configure_retention(SHORT)
  :: configure_retention(LONG)
#endif
  :: d_step { day < LAST_DAY -> day++; printf("day %d\n", day) }
  od
}
