/*
 * Change of voters and loss of disks (design 3.3, disk identity).
 *
 * The model checks that adding and removing voters one at a time neither loses
 * an accepted entry nor elects two leaders in a term, and that a voter whose
 * disk was lost can be replaced, after which one more disk may be lost.
 *
 * Voters are identities (host name, disk_id). Identity 3 is a fresh disk: it
 * starts as a learner with an empty log. An identity whose disk is lost never
 * acts again. Writes are synced in the step that makes them (replication.pml
 * separates the two), and messages are represented as in replication.pml.
 *
 * An entry is term * 16 + the bit set of voters in force from this entry on; a
 * plain command repeats the voters. A voter set is in force once it is in the
 * log, before it commits.
 *
 * Mutants: EMPTY_DISK_VOTES, TWO_CHANGES_AT_ONCE, REPLACE_IN_ONE_STEP,
 * CHANGE_BEFORE_OWN_COMMIT, COUNT_LEARNERS.
 */

#ifndef MAX_TERM
#define MAX_TERM 3
#endif
#ifndef MAX_LOG
#define MAX_LOG 2
#endif
#ifndef MAX_LOSSES
#define MAX_LOSSES 1
#endif
#ifndef INITIAL_VOTERS
#define INITIAL_VOTERS 7 /* identities 0, 1 and 2 */
#endif

#define IDENTITIES 4
#define NONE 0

#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

typedef Log {
  byte length;
  byte entry[MAX_LOG]
}

typedef Indexes {
  byte from[IDENTITIES]
}

/* Durable per identity. */
byte term[IDENTITIES];
byte vote[IDENTITIES]; /* identity + 1 */
Log log[IDENTITIES];

/* Lost in a crash. */
byte role[IDENTITIES];
byte votes[IDENTITIES];    /* bit set, of a candidate */
Indexes match[IDENTITIES]; /* acknowledged index per identity, of a leader */
byte committed[IDENTITIES]; /* commit index, of a leader */

/* The network, and the history that the properties refer to. */
byte leader_of[MAX_TERM + 1]; /* identity + 1 */
Log sent[MAX_TERM + 1];
byte accepted[MAX_LOG];
byte accepted_in[MAX_LOG]; /* term of the leader that first committed each */
byte lost;                 /* bit set of identities whose disk is lost */
byte losses;

/* Scratch variables, 0 outside one indivisible step. */
byte k;
byte n;
bool ok;

#define BIT(h) (1 << (h))
#define HAS(set, h) (((set) >> (h)) & 1)
#define BITS(set) (HAS(set, 0) + HAS(set, 1) + HAS(set, 2) + HAS(set, 3))
#define TERM_OF(entry_value) ((entry_value) >> 4)
#define VOTERS_OF(entry_value) ((entry_value) & 15)
#define LAST_TERM(h) (log[h].length == 0 -> 0 : TERM_OF(log[h].entry[log[h].length - 1]))
#define VOTERS(h) \
  (log[h].length == 0 -> INITIAL_VOTERS : VOTERS_OF(log[h].entry[log[h].length - 1]))
#define LIVE(h) (!HAS(lost, h))

#ifdef COUNT_LEARNERS
#define IS_QUORUM(set, voters) (BITS(set) * 2 > BITS(voters))
#else
#define IS_QUORUM(set, voters) (BITS((set) & (voters)) * 2 > BITS(voters))
#endif

/* Identities that have acknowledged the entry at an index (from 0) to leader h. */
#define ACKNOWLEDGED(h, index) \
  ((match[h].from[0] > index) | ((match[h].from[1] > index) << 1) | \
   ((match[h].from[2] > index) << 2) | ((match[h].from[3] > index) << 3))

inline copy_log(target, source) {
  target.length = source.length;
  for (k : 0 .. MAX_LOG - 1) {
    target.entry[k] = source.entry[k]
  }
  k = 0
}

inline reset_volatile(h) {
  role[h] = FOLLOWER;
  votes[h] = 0;
  committed[h] = 0;
  for (k : 0 .. IDENTITIES - 1) {
    match[h].from[k] = 0
  }
  k = 0
}

#define PASSED(h, old_term) (HAS(lost, h) || term[h] > old_term)

/* Clears terms that every live identity has left: they have no effect, and fewer states remain. */
inline forget_terms() {
  for (k : 1 .. MAX_TERM) {
    if
    :: PASSED(0, k) && PASSED(1, k) && PASSED(2, k) && PASSED(3, k) &&
       leader_of[k] != NONE ->
       leader_of[k] = NONE;
       sent[k].length = 0;
       for (n : 0 .. MAX_LOG - 1) {
         sent[k].entry[n] = NONE
       }
       n = 0
    :: else
    fi
  }
  k = 0
}

inline enter_term(h, new_term) {
  if
  :: term[h] < new_term ->
     term[h] = new_term;
     vote[h] = NONE;
     reset_volatile(h);
     forget_terms()
  :: else
  fi
}

#define UP_TO_DATE(candidate, voter) \
  (LAST_TERM(candidate) > LAST_TERM(voter) || \
   (LAST_TERM(candidate) == LAST_TERM(voter) && \
    log[candidate].length >= log[voter].length))

/*
 * Every live identity answers a candidate whose voters include it. That is more
 * than the design allows (an identity whose log does not yet contain its promotion to
 * voter does not vote), so the model covers both.
 */
#define CAN_VOTE(voter, candidate) \
  (voter != candidate && LIVE(voter) && role[candidate] == CANDIDATE && \
   HAS(VOTERS(candidate), voter) && \
   (term[voter] < term[candidate] || \
    (term[voter] == term[candidate] && role[voter] == FOLLOWER && vote[voter] == NONE)) && \
   UP_TO_DATE(candidate, voter))

inline grant_vote(voter, candidate) {
  d_step {
    CAN_VOTE(voter, candidate) ->
    printf("%d votes for %d in term %d\n", voter, candidate, term[candidate]);
    enter_term(voter, term[candidate]);
    vote[voter] = candidate + 1;
    votes[candidate] = votes[candidate] | BIT(voter)
  }
}

/* The first voters are symmetric, so without loss of generality 0 is the first candidate. */
#define SOMEONE_STOOD (term[0] > 0 || term[1] > 0 || term[2] > 0 || losses > 0)

inline stand(h) {
  d_step {
    LIVE(h) && role[h] != LEADER && term[h] < MAX_TERM && HAS(VOTERS(h), h) &&
    (h == 0 || SOMEONE_STOOD) ->
    printf("%d stands for term %d\n", h, term[h] + 1);
    enter_term(h, term[h] + 1);
    vote[h] = h + 1;
    role[h] = CANDIDATE;
    votes[h] = BIT(h)
  }
}

inline win(h) {
  d_step {
    LIVE(h) && role[h] == CANDIDATE && IS_QUORUM(votes[h], VOTERS(h)) ->
    printf("%d becomes leader of term %d\n", h, term[h]);
    /* Property one-leader-per-term. */
    assert(leader_of[term[h]] == NONE);
    for (k : 0 .. MAX_LOG - 1) {
      /* Property accepted-entry-kept: leaders of later terms have every accepted entry. */
      assert(accepted_in[k] == NONE || accepted_in[k] >= term[h] ||
             log[h].entry[k] == accepted[k])
    }
    k = 0;
    leader_of[term[h]] = h + 1;
    role[h] = LEADER;
    votes[h] = 0;
    match[h].from[h] = log[h].length;
    copy_log(sent[term[h]], log[h])
#ifdef REACH_LEARNER_LEADS
    ;
    /* Reachable new-identity-leads. */
    assert(h != 3)
#endif
  }
}

inline append_entry(h, voters) {
  log[h].entry[log[h].length] = term[h] * 16 + (voters);
  log[h].length++;
  match[h].from[h] = log[h].length;
  copy_log(sent[term[h]], log[h])
}

inline append_command(h) {
  d_step {
    LIVE(h) && role[h] == LEADER && log[h].length < MAX_LOG ->
    printf("leader %d appends command %d of term %d\n", h, log[h].length + 1, term[h]);
    append_entry(h, VOTERS(h))
  }
}

/* Whether the newest change in the log of leader h has committed. */
#define NO_OPEN_CHANGE(h) \
  (log[h].length == committed[h] || \
   (committed[h] > 0 && \
    VOTERS_OF(log[h].entry[committed[h] - 1]) == VOTERS(h)))
#define OWN_ENTRY_COMMITTED(h) \
  (committed[h] > 0 && TERM_OF(log[h].entry[committed[h] - 1]) == term[h])

#ifdef CHANGE_BEFORE_OWN_COMMIT
#define MAY_CHANGE(h) (log[h].length == committed[h] || VOTERS(h) == INITIAL_VOTERS)
#else
#ifdef TWO_CHANGES_AT_ONCE
#define MAY_CHANGE(h) OWN_ENTRY_COMMITTED(h)
#else
#define MAY_CHANGE(h) (OWN_ENTRY_COMMITTED(h) && NO_OPEN_CHANGE(h))
#endif
#endif

/* A learner becomes a voter when it has caught up with the leader's log. */
inline add_voter(h, new_voter) {
  d_step {
    LIVE(h) && role[h] == LEADER && log[h].length < MAX_LOG && MAY_CHANGE(h) &&
    !HAS(VOTERS(h), new_voter) && match[h].from[new_voter] == log[h].length ->
    printf("leader %d adds voter %d in term %d\n", h, new_voter, term[h]);
#ifdef REPLACE_IN_ONE_STEP
    append_entry(h, (VOTERS(h) | BIT(new_voter)) & ~BIT(2))
#else
    append_entry(h, VOTERS(h) | BIT(new_voter))
#endif
  }
}

inline remove_voter(h, old_voter) {
  d_step {
    LIVE(h) && role[h] == LEADER && log[h].length < MAX_LOG && MAY_CHANGE(h) &&
    HAS(VOTERS(h), old_voter) && BITS(VOTERS(h)) > 1 ->
    printf("leader %d removes voter %d in term %d\n", h, old_voter, term[h]);
    append_entry(h, VOTERS(h) & ~BIT(old_voter))
  }
}

#define CAN_RECEIVE(h, from_term, previous) \
  (LIVE(h) && leader_of[from_term] != NONE && leader_of[from_term] != h + 1 && \
   term[h] <= from_term && previous < sent[from_term].length)

inline receive(h, from_term, previous) {
  d_step {
    CAN_RECEIVE(h, from_term, previous) ->
    printf("%d receives entry %d from the leader of term %d\n", h, previous + 1, from_term);
    enter_term(h, from_term);
    if
    :: role[h] == CANDIDATE -> reset_volatile(h)
    :: else
    fi;
    ok = true;
    if
    :: previous > 0 ->
       ok = (log[h].entry[previous - 1] == sent[from_term].entry[previous - 1])
    :: else
    fi;
    if
    :: ok && log[h].entry[previous] != sent[from_term].entry[previous] ->
       for (k : previous .. MAX_LOG - 1) {
         log[h].entry[k] = NONE
       }
       log[h].entry[previous] = sent[from_term].entry[previous];
       log[h].length = previous + 1
    :: else
    fi;
    if
    :: ok ->
       for (k : 0 .. previous) {
         /* Property log-matching: logs that agree on an entry agree on all before it. */
         assert(log[h].entry[k] == sent[from_term].entry[k])
       }
       k = 0;
       n = leader_of[from_term] - 1;
       if
       :: LIVE(n) && role[n] == LEADER && term[n] == from_term &&
          match[n].from[h] < previous + 1 ->
          match[n].from[h] = previous + 1
       :: else
       fi;
       n = 0
    :: else
    fi;
    ok = false
  }
}

inline commit(h, index) {
  d_step {
    LIVE(h) && role[h] == LEADER && index < log[h].length && committed[h] <= index &&
    TERM_OF(log[h].entry[index]) == term[h] &&
    IS_QUORUM(ACKNOWLEDGED(h, index), VOTERS(h)) ->
    printf("leader %d commits up to entry %d in term %d\n", h, index + 1, term[h]);
    committed[h] = index + 1;
    for (k : 0 .. index) {
      /* Property accepted-entry-unique: no other entry is accepted at its index. */
      assert(accepted[k] == NONE || accepted[k] == log[h].entry[k]);
      if
      :: accepted[k] == NONE ->
         accepted[k] = log[h].entry[k];
         accepted_in[k] = term[h];
         for (n : term[h] + 1 .. MAX_TERM) {
           /* Property accepted-entry-kept: so have later leaders that exist already. */
           assert(leader_of[n] == NONE || sent[n].entry[k] == accepted[k])
         }
         n = 0
      :: else
      fi
    }
    k = 0
#ifdef REACH_LEARNER_VOTES
    ;
    /* Reachable learner-became-voter: the change that adds it has committed. */
    assert(!HAS(VOTERS_OF(accepted[index]), 3) || HAS(INITIAL_VOTERS, 3))
#endif
#ifdef REACH_REPAIR
    ;
    /* Reachable voter-replaced: the lost identity is removed, the new one added. */
    assert(lost == 0 || !HAS(VOTERS_OF(accepted[index]), 3) ||
           (VOTERS_OF(accepted[index]) & lost))
#endif
  }
}

inline crash(h) {
  d_step {
    LIVE(h) && role[h] != FOLLOWER ->
    printf("%d crashes and restarts\n", h);
    reset_volatile(h)
  }
}

inline lose_disk(h) {
  d_step {
    LIVE(h) && HAS(INITIAL_VOTERS, h) && losses < MAX_LOSSES ->
    printf("the disk of %d is lost\n", h);
    losses++;
    reset_volatile(h);
    term[h] = 0;
    vote[h] = NONE;
    log[h].length = 0;
    for (k : 0 .. MAX_LOG - 1) {
      log[h].entry[k] = NONE
    }
    k = 0;
#ifndef EMPTY_DISK_VOTES
    lost = lost | BIT(h);
    forget_terms()
#endif
  }
}

active [IDENTITIES] proctype identity() {
  byte h = _pid;
end:
  do
  :: stand(h)
  :: grant_vote(h, 0)
  :: grant_vote(h, 1)
  :: grant_vote(h, 2)
  :: grant_vote(h, 3)
  :: win(h)
  :: append_command(h)
  :: add_voter(h, 3)
  :: remove_voter(h, 0)
  :: remove_voter(h, 1)
  :: remove_voter(h, 2)
  :: remove_voter(h, 3)
  :: receive(h, 1, 0)
  :: receive(h, 2, 0)
#if MAX_TERM > 2
  :: receive(h, 3, 0)
#endif
  :: commit(h, 0)
#if MAX_LOG > 1
  :: receive(h, 1, 1)
  :: receive(h, 2, 1)
#if MAX_TERM > 2
  :: receive(h, 3, 1)
#endif
  :: commit(h, 1)
#endif
#if MAX_LOG > 2
  :: receive(h, 1, 2)
  :: receive(h, 2, 2)
#if MAX_TERM > 2
  :: receive(h, 3, 2)
#endif
  :: commit(h, 2)
#endif
  :: crash(h)
  :: lose_disk(h)
  od
}
