/*
 * Configuration leases of entry hosts (design 4.2 and 6.4).
 *
 * The model checks that the leader never reports a revision as in force
 * everywhere while an entry host still serves an older one, and that no entry
 * host returns to an older revision, when polls and replies are lost or
 * delayed, clocks drift, and the entry host, a relay (a control host that is not
 * the leader) or the leader is replaced or restarted at any moment.
 *
 * One entry host is modelled: the leader's rule is a conjunction over entry
 * hosts, and entry hosts do not interact. It polls the leader or a relay, one
 * poll at a time, and can abandon a poll at any moment. That a deposed leader
 * serves nothing under its lease is the result of lease.pml; here the leader
 * changes in one step and keeps only the accepted revisions.
 *
 * Time is as in lease.pml: the clocks of the leader, each relay and the entry
 * host run at rates 2 or 3, which is a bound of 1/3 on the relative drift.
 *
 * The model adds rules that the design leaves open: a relay's barrier reports a
 * floor, below which no lease of this relay serves now or will be granted; the
 * leader waits for every relay whose barrier may still allow grants; after its
 * own start, a relay reports the floor 0 for one lease.
 *
 * Mutants: ENTRY_IGNORES_DRIFT, RELAY_IGNORES_DRIFT, LEASE_FROM_RECEIPT,
 * NEW_LEADER_DOES_NOT_WAIT, RELAY_GRANTS_FULL_LEASE, REPORTED_SESSIONS_ONLY,
 * RELAY_FORGETS_SESSIONS, OLDER_BARRIER, CONFIRMED_BY_SENDING.
 *
 * OLDER_BARRIER lets a relay grant on a barrier that is older than the poll, as
 * 6.4 says (4.2 says the opposite); an entry host then refuses an older revision
 * than the one that it serves. RESTART_MAY_REVERT, defined as well, drops the
 * property never-reverts, to check what the bound of 6.4 guarantees.
 */

#ifndef LEASE
#define LEASE 6 /* units of the local clock; divisible by 3 */
#endif
#ifndef RELAYS
#define RELAYS 1
#endif
#ifndef MAX_REVISION
#define MAX_REVISION 2
#endif

#define SLOW 2
#define FAST 3
#define LESS_DRIFT(units) ((units) * 2 / 3)
#define NEVER 255

/* Target of a poll: a relay's number, or the leader. */
#define LEADER RELAYS

/* Poll of the entry host. */
#define IDLE 0
#define SENT 1
#define ARRIVED 2
#define GRANTED 3

/* Barrier of a relay. */
#define ANSWERED 2

/* Leader. */
byte revision;             /* newest accepted revision */
byte leader_rate;
byte leader_wait;          /* units before it may report */
byte session_left;         /* units of the entry host's lease granted here */
byte session_confirmed;
byte relay_left[RELAYS];   /* units for which a relay's barrier may allow grants */
byte relay_floor[RELAYS];  /* floor that the relay reported */

/* Relays. */
byte known[RELAYS];         /* newest revision in the relay's copy of the log */
byte relay_rate[RELAYS];
byte grants_left[RELAYS];   /* units for which the relay may grant */
byte granted_left[RELAYS];  /* units of the entry host's lease granted here */
byte granted_confirmed[RELAYS];
byte start_wait[RELAYS];    /* units since the start for which the floor is 0 */
byte barrier[RELAYS];       /* IDLE, SENT or ANSWERED */
byte barrier_left[RELAYS];  /* units until the barrier in flight expires */
byte barrier_floor[RELAYS];
byte barrier_index[RELAYS]; /* the leader's answer */
bool barrier_covers[RELAYS]; /* sent after the arrival of the poll that waits */
bool poll_covered[RELAYS];   /* such a barrier was answered */

/* Entry host. */
byte entry_rate;
byte text;          /* revision of the text, if serving */
byte lease_left;    /* serves while this is above 0 */
byte poll;
byte poll_to;
byte poll_left;     /* units until the poll expires: LEASE - age */
byte poll_confirmed;
byte grant_revision;
byte grant_units;

/* Observed by the properties. */
byte in_force;      /* newest revision reported as in force everywhere */
byte newest_served; /* newest revision the entry host ever served */

byte k; /* scratch variable, 0 outside one indivisible step */

#define MINIMUM(a, b) ((a) < (b) -> (a) : (b))

inline clear_poll() {
  poll = IDLE;
  poll_to = 0;
  poll_left = 0;
  poll_confirmed = 0;
  grant_revision = 0;
  grant_units = 0;
  for (k : 0 .. RELAYS - 1) {
    barrier_covers[k] = false;
    poll_covered[k] = false
  }
  k = 0
}

inline clear_barrier(r) {
  barrier[r] = IDLE;
  barrier_left[r] = 0;
  barrier_floor[r] = 0;
  barrier_index[r] = 0;
  barrier_covers[r] = false
}

/* --- Leader --- */

inline accept_revision() {
  d_step {
    revision < MAX_REVISION ->
    revision++;
    printf("leader accepts revision %d\n", revision)
  }
}

#define SESSION_DONE (session_left == 0 || session_confirmed >= revision)
#define RELAY_DONE(r) (relay_left[r] == 0 || relay_floor[r] >= revision)
#if RELAYS > 1
#define RELAYS_DONE (RELAY_DONE(0) && RELAY_DONE(1))
#else
#define RELAYS_DONE RELAY_DONE(0)
#endif

inline report_in_force() {
  d_step {
    in_force < revision && leader_wait == 0 && SESSION_DONE && RELAYS_DONE ->
    printf("leader reports revision %d as in force everywhere\n", revision);
    in_force = revision;
    /* Property in-force-everywhere: no older revision is served any more. */
    assert(lease_left == 0 || text >= in_force)
#ifdef REACH_IN_FORCE
    ;
    /* Reachable in-force: while the entry host serves the revision. */
    assert(lease_left == 0 || revision < MAX_REVISION)
#endif
#ifdef REACH_IN_FORCE_BY_RELAY
    ;
    /* Reachable in-force-by-relay: confirmed through a relay's barrier. */
    assert(lease_left == 0 || relay_left[0] == 0 || session_left > 0)
#endif
  }
}

inline change_leader() {
  d_step {
    printf("a new leader is elected\n");
    session_left = 0;
    session_confirmed = 0;
    for (k : 0 .. RELAYS - 1) {
      relay_left[k] = 0;
      relay_floor[k] = 0;
      if
      :: barrier[k] == SENT -> clear_barrier(k) /* its connection to the old leader is lost */
      :: else
      fi
    }
    k = 0;
#ifndef NEW_LEADER_DOES_NOT_WAIT
    leader_wait = LEASE
#endif
  }
}

inline grant_by_leader() {
  d_step {
    poll == SENT && poll_to == LEADER ->
    printf("leader grants a lease at revision %d\n", revision);
    session_left = LEASE;
#ifdef CONFIRMED_BY_SENDING
    session_confirmed = revision;
#else
    session_confirmed = poll_confirmed;
#endif
    grant_revision = revision;
    grant_units = LEASE;
    poll = GRANTED
  }
}

/* --- Relay --- */

inline learn(r) {
  d_step {
    known[r] < revision ->
    known[r]++;
    printf("relay %d learns revision %d\n", r, known[r])
  }
}

inline send_barrier(r) {
  d_step {
    barrier[r] == IDLE ->
    printf("relay %d sends a barrier\n", r);
    barrier[r] = SENT;
    barrier_left[r] = LEASE;
    barrier_floor[r] = known[r];
#ifdef REPORTED_SESSIONS_ONLY
    barrier_floor[r] = NEVER;
#endif
    if
    :: granted_left[r] > 0 ->
       barrier_floor[r] = MINIMUM(barrier_floor[r], granted_confirmed[r])
    :: else
    fi;
    if
    :: start_wait[r] > 0 -> barrier_floor[r] = 0
    :: else
    fi;
    barrier_covers[r] = (poll == ARRIVED && poll_to == r)
  }
}

inline answer_barrier(r) {
  d_step {
    barrier[r] == SENT ->
    printf("leader answers the barrier of relay %d\n", r);
    relay_left[r] = LEASE;
    relay_floor[r] = barrier_floor[r];
    barrier_floor[r] = 0;
    barrier_index[r] = revision;
    barrier[r] = ANSWERED
  }
}

/* Units for which a barrier in flight allows grants, counted from its sending. */
#ifdef RELAY_IGNORES_DRIFT
#define BARRIER_ALLOWS(r) barrier_left[r]
#else
#define BARRIER_ALLOWS(r) \
  (barrier_left[r] > LEASE / 3 -> barrier_left[r] - LEASE / 3 : 0)
#endif

inline receive_barrier(r) {
  d_step {
    barrier[r] == ANSWERED ->
    printf("relay %d receives the answer to its barrier\n", r);
    if
    :: known[r] < barrier_index[r] -> known[r] = barrier_index[r]
    :: else
    fi;
    if
    :: grants_left[r] < BARRIER_ALLOWS(r) -> grants_left[r] = BARRIER_ALLOWS(r)
    :: else
    fi;
    if
    :: barrier_covers[r] -> poll_covered[r] = true
    :: else
    fi;
    clear_barrier(r)
  }
}

inline lose_barrier(r) {
  d_step {
    barrier[r] != IDLE ->
    printf("the barrier of relay %d is lost\n", r);
    clear_barrier(r)
  }
}

inline receive_poll(r) {
  d_step {
    poll == SENT && poll_to == r ->
    printf("relay %d receives the poll\n", r);
    poll = ARRIVED
  }
}

#ifdef OLDER_BARRIER
#define POLL_COVERED(r) true
#else
#define POLL_COVERED(r) poll_covered[r]
#endif

inline grant_by_relay(r) {
  d_step {
    poll == ARRIVED && poll_to == r && grants_left[r] > 0 && POLL_COVERED(r) ->
    printf("relay %d grants a lease at revision %d\n", r, known[r]);
    poll = GRANTED;
    grant_revision = known[r];
#ifdef RELAY_GRANTS_FULL_LEASE
    grant_units = LEASE;
#else
    grant_units = grants_left[r];
#endif
    if
    :: granted_left[r] < grant_units -> granted_left[r] = grant_units
    :: else
    fi;
    granted_confirmed[r] = poll_confirmed
  }
}

inline restart_relay(r) {
  d_step {
    printf("relay %d restarts\n", r);
    known[r] = 0;
    grants_left[r] = 0;
    granted_left[r] = 0;
    granted_confirmed[r] = 0;
    clear_barrier(r);
    poll_covered[r] = false;
    if
    :: poll == ARRIVED && poll_to == r -> clear_poll()
    :: else
    fi;
#ifndef RELAY_FORGETS_SESSIONS
    start_wait[r] = LEASE
#endif
  }
}

/* --- Entry host --- */

inline send_poll(to) {
  d_step {
    poll == IDLE ->
    printf("entry host polls %d (%d is the leader)\n", to, LEADER);
    poll = SENT;
    poll_to = to;
    poll_left = LEASE;
    poll_confirmed = (lease_left > 0 -> text : 0)
  }
}

inline give_poll_up() {
  d_step {
    poll != IDLE ->
    printf("the poll is given up\n");
    clear_poll()
  }
}

/* The lease counts from the sending of the poll, less the drift bound. */
#define AGE (LEASE - poll_left)
#ifdef ENTRY_IGNORES_DRIFT
#define GRANT grant_units
#else
#define GRANT LESS_DRIFT(grant_units)
#endif
#ifdef LEASE_FROM_RECEIPT
#define GRANT_LEFT GRANT
#else
#define GRANT_LEFT (GRANT > AGE -> GRANT - AGE : 0)
#endif

#ifdef OLDER_BARRIER
#define MAY_TAKE_GRANT (grant_revision >= text)
#else
#define MAY_TAKE_GRANT true
#endif

inline receive_grant() {
  d_step {
    poll == GRANTED ->
    printf("entry host receives its lease at revision %d\n", grant_revision);
    if
    :: GRANT_LEFT > 0 && MAY_TAKE_GRANT ->
#ifndef RESTART_MAY_REVERT
       /* Property never-reverts: no host returns to an older revision, even by a restart. */
       assert(grant_revision >= newest_served);
#endif
       text = grant_revision;
       newest_served = text;
       lease_left = (lease_left > GRANT_LEFT -> lease_left : GRANT_LEFT);
       /* Property in-force-everywhere: no older revision is served any more. */
       assert(text >= in_force)
#ifdef REACH_LEASE_BY_RELAY
       ;
       /* Reachable lease-by-relay: at the newest revision. */
       assert(poll_to == LEADER || text < MAX_REVISION)
#endif
    :: else
    fi;
    clear_poll()
  }
}

inline restart_entry() {
  d_step {
    printf("entry host restarts\n");
    text = 0;
    lease_left = 0;
    clear_poll()
  }
}

/* --- Time --- */

#define RUN_DOWN(timer, step) timer = (timer > step -> timer - step : 0)

inline tick() {
  d_step {
    printf("tick\n");
    RUN_DOWN(leader_wait, leader_rate);
    RUN_DOWN(session_left, leader_rate);
    if
    :: session_left == 0 -> session_confirmed = 0
    :: else
    fi;
    for (k : 0 .. RELAYS - 1) {
      RUN_DOWN(relay_left[k], leader_rate);
      if
      :: relay_left[k] == 0 -> relay_floor[k] = 0
      :: else
      fi;
      RUN_DOWN(grants_left[k], relay_rate[k]);
      RUN_DOWN(granted_left[k], relay_rate[k]);
      if
      :: granted_left[k] == 0 -> granted_confirmed[k] = 0
      :: else
      fi;
      RUN_DOWN(start_wait[k], relay_rate[k]);
      RUN_DOWN(barrier_left[k], relay_rate[k])
    }
    k = 0;
    RUN_DOWN(lease_left, entry_rate);
    if
    :: lease_left == 0 -> text = 0
    :: else
    fi;
    RUN_DOWN(poll_left, entry_rate)
  }
}

init {
  atomic {
    /* Spin searches the first choices first; violations need a fast leader clock. */
    if
    :: leader_rate = FAST
    :: leader_rate = SLOW
    fi;
    if
    :: entry_rate = SLOW
    :: entry_rate = FAST
    fi;
    if
    :: relay_rate[0] = SLOW
    :: relay_rate[0] = FAST
    fi;
#if RELAYS > 1
    if
    :: relay_rate[1] = SLOW
    :: relay_rate[1] = FAST
    fi;
#endif
    printf("rates: leader %d, relay 0 %d, entry %d\n", leader_rate, relay_rate[0], entry_rate)
  }
end:
  do
  :: tick()
  :: accept_revision()
  :: report_in_force()
  :: change_leader()
  :: grant_by_leader()
  :: send_poll(LEADER)
  :: give_poll_up()
  :: receive_grant()
  :: restart_entry()
  :: send_poll(0)
  :: learn(0)
  :: send_barrier(0)
  :: answer_barrier(0)
  :: receive_barrier(0)
  :: lose_barrier(0)
  :: receive_poll(0)
  :: grant_by_relay(0)
  :: restart_relay(0)
#if RELAYS > 1
  :: send_poll(1)
  :: learn(1)
  :: send_barrier(1)
  :: answer_barrier(1)
  :: receive_barrier(1)
  :: lose_barrier(1)
  :: receive_poll(1)
  :: grant_by_relay(1)
  :: restart_relay(1)
#endif
  od
}
