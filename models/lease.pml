/*
 * Leader lease, vote stickiness and clock drift (design 3.3, lease).
 *
 * The model checks that no leader serves a read under its lease after a later
 * leader has committed a change, when clocks drift, messages are lost or
 * delayed and hosts crash and restart between any two steps.
 *
 * Time passes in ticks. Every host has a monotonic clock that advances by its
 * own rate at each tick; timers hold the remaining units of the host's clock.
 * The rates are 2 and 3, so the faster clock gains a half on the slower one:
 * a bound of 1/3 on the relative drift. It replaces the design's 1%, which
 * would need hundreds of ticks, and is exact for any ratio that both sides use.
 *
 * The log is reduced to one entry per term, which the leader appends after its
 * election; replication.pml has the log. A host may become a candidate
 * whenever no promise forbids it, so pre-vote only removes behaviours.
 *
 * Mutants: LEASE_IGNORES_DRIFT, LEASE_FROM_RECEIPT, VOTE_AFTER_RESTART,
 * NO_STICKINESS, STANDS_DESPITE_PROMISE, READ_BEFORE_OWN_COMMIT.
 * DRIFT_PER_CLOCK is a variant of the design: drift_bound bounds each clock
 * against true time, so that two clocks can drift apart by twice as much (rates 2
 * and 4 beside a true rate of 3). LEASE_FOR_BOTH_CLOCKS is the lease that holds then.
 */

#ifndef MAX_TERM
#define MAX_TERM 2
#endif
#ifndef ELECTION_TIMEOUT
#define ELECTION_TIMEOUT 6 /* units of the local clock; divisible by 3 */
#endif

#define HOSTS 3
#define QUORUM 2
#define NONE 0
#define SLOW 2
#define FAST 3
#define FASTEST 4

/* election_timeout * (1 - drift_bound) with drift_bound = 1/3 */
#ifdef LEASE_IGNORES_DRIFT
#define LEASE ELECTION_TIMEOUT
#else
#ifdef LEASE_FOR_BOTH_CLOCKS /* times (1 - drift_bound) / (1 + drift_bound) */
#define LEASE (ELECTION_TIMEOUT / 2)
#else
#define LEASE (ELECTION_TIMEOUT * 2 / 3)
#endif
#endif

#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

typedef Timers {
  byte from[HOSTS]
}

/* Durable. */
byte term[HOSTS];
byte vote[HOSTS]; /* host + 1 */
byte last[HOSTS]; /* term of the last entry in the log */

/* Lost in a crash. */
byte role[HOSTS];
byte votes[HOSTS];       /* bit set, of a candidate */
byte promise[HOSTS];     /* units for which votes are refused */
byte holders[HOSTS];     /* bit set of hosts that synced the leader's own entry */
bool own_commit[HOSTS];  /* the leader's own entry has committed */
Timers heartbeat[HOSTS]; /* of a leader: units until the heartbeat in flight expires */
Timers answered[HOSTS];  /* of a leader: units for which an answered heartbeat still counts */
#ifdef LEASE_FROM_RECEIPT
Timers answer[HOSTS];    /* of a leader: a reply is in flight */
#endif

byte rate[HOSTS];
byte newest; /* term of the newest committed entry */

/* Scratch variables, 0 outside one indivisible step. */
byte k;
byte n;

#define BIT(h) (1 << (h))
#define BITS(set) ((set & 1) + ((set >> 1) & 1) + ((set >> 2) & 1))

inline reset_volatile(h) {
  role[h] = FOLLOWER;
  votes[h] = 0;
  holders[h] = 0;
  own_commit[h] = false;
  for (k : 0 .. HOSTS - 1) {
#ifdef LEASE_FROM_RECEIPT
    answer[h].from[k] = 0;
#endif
    heartbeat[h].from[k] = 0;
    answered[h].from[k] = 0
  }
  k = 0
}

inline enter_term(h, new_term) {
  if
  :: term[h] < new_term ->
     term[h] = new_term;
     vote[h] = NONE;
     reset_volatile(h)
  :: else
  fi
}

#ifdef STANDS_DESPITE_PROMISE
#define MAY_STAND(h) true
#else
#define MAY_STAND(h) (promise[h] == 0)
#endif
#ifdef NO_STICKINESS
#define MAY_VOTE(h) true
#else
#define MAY_VOTE(h) (promise[h] == 0)
#endif

/* The hosts are symmetric, so without loss of generality host 0 is the first candidate. */
#define SOMEONE_STOOD (term[0] > 0 || term[1] > 0 || term[2] > 0)

inline stand(h) {
  d_step {
    role[h] != LEADER && term[h] < MAX_TERM && MAY_STAND(h) &&
    (h == 0 || SOMEONE_STOOD) ->
    printf("host %d stands for term %d\n", h, term[h] + 1);
    enter_term(h, term[h] + 1);
    vote[h] = h + 1;
    role[h] = CANDIDATE;
    votes[h] = BIT(h)
  }
}

inline grant_vote(voter, candidate) {
  d_step {
    voter != candidate && role[candidate] == CANDIDATE && MAY_VOTE(voter) &&
    last[candidate] >= last[voter] &&
    (term[voter] < term[candidate] ||
     (term[voter] == term[candidate] && role[voter] == FOLLOWER && vote[voter] == NONE)) ->
    printf("host %d votes for host %d in term %d\n", voter, candidate, term[candidate]);
    enter_term(voter, term[candidate]);
    vote[voter] = candidate + 1;
    votes[candidate] = votes[candidate] | BIT(voter)
  }
}

inline win(h) {
  d_step {
    role[h] == CANDIDATE && BITS(votes[h]) >= QUORUM ->
    printf("host %d becomes leader of term %d\n", h, term[h]);
    for (k : 0 .. HOSTS - 1) {
      /* Property one-leader-per-term. */
      assert(k == h || role[k] != LEADER || term[k] != term[h])
    }
    k = 0;
    role[h] = LEADER;
    votes[h] = 0;
    promise[h] = 0; /* no other leader of this term sends heartbeats */
    last[h] = term[h];
    holders[h] = BIT(h)
  }
}

inline send_heartbeat(h, to) {
  d_step {
    role[h] == LEADER && to != h ->
    printf("leader %d sends a heartbeat to host %d\n", h, to);
    heartbeat[h].from[to] = LEASE
  }
}

inline hear(h, leader) {
  d_step {
    leader != h && role[leader] == LEADER && heartbeat[leader].from[h] > 0 &&
    term[h] <= term[leader] ->
    printf("host %d answers the heartbeat of leader %d\n", h, leader);
    enter_term(h, term[leader]);
    if
    :: role[h] == CANDIDATE -> reset_volatile(h)
    :: else
    fi;
    promise[h] = ELECTION_TIMEOUT;
#ifdef LEASE_FROM_RECEIPT
    answer[leader].from[h] = 1;
#else
    if
    :: answered[leader].from[h] < heartbeat[leader].from[h] ->
       answered[leader].from[h] = heartbeat[leader].from[h]
    :: else
    fi;
#endif
    heartbeat[leader].from[h] = 0
  }
}

#ifdef LEASE_FROM_RECEIPT
inline receive_answer(h, from_host) {
  d_step {
    role[h] == LEADER && answer[h].from[from_host] == 1 ->
    printf("leader %d receives the answer of host %d\n", h, from_host);
    answer[h].from[from_host] = 0;
    answered[h].from[from_host] = LEASE
  }
}
#endif

/* Host h syncs the entry of the leader's own term. */
inline accept(h, leader) {
  d_step {
    leader != h && role[leader] == LEADER && term[h] <= term[leader] &&
    (holders[leader] & BIT(h)) == 0 ->
    printf("host %d syncs the entry of leader %d\n", h, leader);
    enter_term(h, term[leader]);
    if
    :: role[h] == CANDIDATE -> reset_volatile(h)
    :: else
    fi;
    last[h] = term[leader];
    holders[leader] = holders[leader] | BIT(h)
  }
}

inline commit(h) {
  d_step {
    role[h] == LEADER && !own_commit[h] && BITS(holders[h]) >= QUORUM ->
    printf("leader %d commits its entry in term %d\n", h, term[h]);
    own_commit[h] = true;
    if
    :: newest < term[h] -> newest = term[h]
    :: else
    fi
  }
}

#define HAS_LEASE(h) \
  (1 + (answered[h].from[0] > 0) + (answered[h].from[1] > 0) + \
   (answered[h].from[2] > 0) >= QUORUM)

#ifdef READ_BEFORE_OWN_COMMIT
#define MAY_READ(h) HAS_LEASE(h)
#define STATE_OF(h) (own_commit[h] -> term[h] : 0) /* its predecessor's commit is unknown */
#else
#define MAY_READ(h) (HAS_LEASE(h) && own_commit[h])
#define STATE_OF(h) term[h]
#endif

inline read(h) {
  d_step {
    role[h] == LEADER && MAY_READ(h) ->
    printf("leader %d serves a read in term %d\n", h, term[h]);
    /* Property no-superseded-read: the state read is the newest committed one. */
    assert(newest == STATE_OF(h))
#ifdef REACH_READ_BY_LATER_LEADER
    ;
    /* Reachable read-by-later-leader. */
    assert(term[h] == 1)
#endif
#ifdef REACH_READ_BESIDE_LATER_LEADER
    ;
    /* Reachable read-beside-later-term: another host has entered a later term. */
    assert(term[0] <= term[h] && term[1] <= term[h] && term[2] <= term[h])
#endif
  }
}

inline crash(h) {
  d_step {
    printf("host %d crashes and restarts\n", h);
    reset_volatile(h);
#ifdef VOTE_AFTER_RESTART
    promise[h] = 0
#else
    promise[h] = ELECTION_TIMEOUT
#endif
  }
}

#define RUN_DOWN(timer, step) timer = (timer > step -> timer - step : 0)

inline tick() {
  d_step {
    printf("tick\n");
    for (k : 0 .. HOSTS - 1) {
      RUN_DOWN(promise[k], rate[k]);
      for (n : 0 .. HOSTS - 1) {
        RUN_DOWN(heartbeat[k].from[n], rate[k]);
        RUN_DOWN(answered[k].from[n], rate[k])
      }
    }
    k = 0;
    n = 0
  }
}

#ifdef DRIFT_PER_CLOCK
#define HIGH FASTEST
#else
#define HIGH FAST
#endif

/* Spin searches the first choice first; the order affects only the time to a violation. */
inline choose_rate(h, first, second) {
  if
  :: rate[h] = first
  :: rate[h] = second
  fi
}

init {
  atomic {
    choose_rate(0, SLOW, HIGH);
    choose_rate(1, HIGH, SLOW);
    choose_rate(2, HIGH, SLOW);
    printf("clock rates %d %d %d\n", rate[0], rate[1], rate[2]);
    run host(0);
    run host(1);
    run host(2)
  }
end:
  do
  :: tick()
  od
}

proctype host(byte h) {
end:
  do
  :: stand(h)
  :: grant_vote(h, 0)
  :: grant_vote(h, 1)
  :: grant_vote(h, 2)
  :: win(h)
  :: send_heartbeat(h, 0)
  :: send_heartbeat(h, 1)
  :: send_heartbeat(h, 2)
  :: hear(h, 0)
  :: hear(h, 1)
  :: hear(h, 2)
#ifdef LEASE_FROM_RECEIPT
  :: receive_answer(h, 0)
  :: receive_answer(h, 1)
  :: receive_answer(h, 2)
#endif
  :: accept(h, 0)
  :: accept(h, 1)
  :: accept(h, 2)
  :: commit(h)
  :: read(h)
  :: crash(h)
  od
}
