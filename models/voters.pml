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
 * An entry is its term and the configuration in force from this entry on, which a
 * plain command repeats. A configuration is in force once it is in the log, before it
 * commits.
 *
 * With HALF_QUORUMS half of an even number of voters suffices beside a voter whose disk
 * is lost, and a voter is added or removed in two entries: the first names the voter in
 * transition, and decides by quorums of the voters with and without it. Identities in
 * EARLIER_BUILD (a bit set) know none of this: as leaders they count majorities of the
 * listed voters, and their entries put half quorums out of force. With PLAIN_AT_FIRST
 * these are out of force until a leader puts them in force.
 *
 * With GONE an identity may be removed without notice at any moment, and only this one
 * and lost ones are taken from the voters. Whatever other disk is lost, the rest can
 * elect a leader.
 *
 * Mutants: EMPTY_DISK_VOTES, TWO_CHANGES_AT_ONCE, REPLACE_IN_ONE_STEP,
 * CHANGE_BEFORE_OWN_COMMIT, COUNT_LEARNERS. With HALF_QUORUMS: HALF_WITHOUT_LOSS (half of
 * the voters always suffices), COUNT_LOST (a lost voter counts in a half),
 * ONE_STEP_CHANGE (a change is one entry), ELECT_BY_ALL (elections ignore the voters
 * without the one in transition), COMMIT_BY_REST (commits ignore the voters with it),
 * TRUST_EARLIER_BUILD (half quorums stay in force), MAJORITIES_ONLY.
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

#ifndef EARLIER_BUILD
#define EARLIER_BUILD 0
#endif

#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

typedef Log {
  byte length;
  short entry[MAX_LOG]
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
short accepted[MAX_LOG];
byte accepted_in[MAX_LOG]; /* term of the leader that first committed each */
byte lost;                 /* bit set of identities whose disk is lost */
byte losses;

/* Scratch variables, 0 outside one indivisible step. */
byte k;
byte n;
short next;
bool ok;

#define BIT(h) (1 << (h))
#define HAS(set, h) (((set) >> (h)) & 1)
#define BITS(set) (HAS(set, 0) + HAS(set, 1) + HAS(set, 2) + HAS(set, 3))

/* An entry: term, configuration. A configuration: plain, leaving, transition, voters. */
#define TERM_SHIFT 9
#define PLAIN 256   /* half quorums are out of force */
#define LEAVING 128 /* the voter in transition leaves */
#define TRANSITION(h) (((h) + 1) << 4)
#define TERM_OF(entry_value) ((entry_value) >> TERM_SHIFT)
#define CONFIG_OF(entry_value) ((entry_value) & 511)
#define VOTERS_OF(config) ((config) & 15)
#define MOVING_OF(config) (((config) >> 4) & 7) /* identity + 1 */
#define SETTLED_OF(config) \
  (VOTERS_OF(config) & ~(MOVING_OF(config) == 0 -> 0 : BIT(MOVING_OF(config) - 1)))

#if defined(HALF_QUORUMS) && !defined(PLAIN_AT_FIRST)
#define INITIAL_CONFIG INITIAL_VOTERS
#else
#define INITIAL_CONFIG (INITIAL_VOTERS | PLAIN)
#endif

#define LAST_TERM(h) (log[h].length == 0 -> 0 : TERM_OF(log[h].entry[log[h].length - 1]))
#define CONFIG(h) \
  (log[h].length == 0 -> INITIAL_CONFIG : CONFIG_OF(log[h].entry[log[h].length - 1]))
#define VOTERS(h) VOTERS_OF(CONFIG(h))
#define LIVE(h) (!HAS(lost, h))
#define IS_EARLIER(h) HAS(EARLIER_BUILD, h)

#ifdef COUNT_LEARNERS
#define IS_MAJORITY(set, voters) (BITS(set) * 2 > BITS(voters))
#else
#define IS_MAJORITY(set, voters) (BITS((set) & (voters)) * 2 > BITS(voters))
#endif

#if defined(HALF_WITHOUT_LOSS)
#define IS_HALF(set, voters, gone) (BITS((set) & (voters)) * 2 >= BITS(voters))
#elif defined(COUNT_LOST)
#define IS_HALF(set, voters, gone) \
  (((voters) & (gone)) && BITS((set) & (voters)) * 2 >= BITS(voters))
#elif defined(MAJORITIES_ONLY)
#define IS_HALF(set, voters, gone) false
#else
#define IS_HALF(set, voters, gone) \
  (((voters) & (gone)) && BITS((set) & (voters) & ~(gone)) * 2 >= BITS(voters))
#endif

#define DECIDES(set, voters, config, gone) \
  (IS_MAJORITY(set, voters) || (!((config) & PLAIN) && IS_HALF(set, voters, gone)))
#define DECIDE_BOTH(set, config, gone) \
  (DECIDES(set, VOTERS_OF(config), config, gone) && \
   DECIDES(set, SETTLED_OF(config), config, gone))

/* Whether a set of identities is a quorum to identity h. */
#ifdef ELECT_BY_ALL
#define ELECTS(h, set) DECIDES(set, VOTERS(h), CONFIG(h), lost)
#else
#define ELECTS(h, set) \
  (IS_EARLIER(h) -> IS_MAJORITY(set, VOTERS(h)) : DECIDE_BOTH(set, CONFIG(h), lost))
#endif
#ifdef COMMIT_BY_REST
#define COMMITS(h, set) DECIDES(set, SETTLED_OF(CONFIG(h)), CONFIG(h), lost)
#else
#define COMMITS(h, set) \
  (IS_EARLIER(h) -> IS_MAJORITY(set, VOTERS(h)) : DECIDE_BOTH(set, CONFIG(h), lost))
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
    LIVE(h) && role[h] == CANDIDATE && ELECTS(h, votes[h]) ->
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

/* Appends an entry with the configuration `next`. */
inline append_entry(h) {
  log[h].entry[log[h].length] = (term[h] << TERM_SHIFT) + next;
  next = 0;
  log[h].length++;
  match[h].from[h] = log[h].length;
  copy_log(sent[term[h]], log[h])
}

#ifdef TRUST_EARLIER_BUILD
#define REPEATED_CONFIG(h) CONFIG(h)
#else
#define REPEATED_CONFIG(h) (CONFIG(h) | (IS_EARLIER(h) -> PLAIN : 0))
#endif

inline append_command(h) {
  d_step {
    LIVE(h) && role[h] == LEADER && log[h].length < MAX_LOG ->
    printf("leader %d appends command %d of term %d\n", h, log[h].length + 1, term[h]);
    next = REPEATED_CONFIG(h);
    append_entry(h)
  }
}

/* Whether the newest change in the log of leader h has committed. */
#define NO_OPEN_CHANGE(h) \
  (log[h].length == committed[h] || \
   (committed[h] > 0 && \
    CONFIG_OF(log[h].entry[committed[h] - 1]) == CONFIG(h)))
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

/* Whether leader h changes the voters in one entry. */
#ifdef ONE_STEP_CHANGE
#define CHANGES_AT_ONCE(h) true
#else
#define CHANGES_AT_ONCE(h) (IS_EARLIER(h) || (CONFIG(h) & PLAIN))
#endif
#ifdef TRUST_EARLIER_BUILD
#define CHANGED_PLAIN(h) (CONFIG(h) & PLAIN)
#else
#define CHANGED_PLAIN(h) (IS_EARLIER(h) -> PLAIN : (CONFIG(h) & PLAIN))
#endif
#define MAY_BEGIN(h) (MAY_CHANGE(h) && (IS_EARLIER(h) || MOVING_OF(CONFIG(h)) == 0))

/* A learner becomes a voter when it has caught up with the leader's log. */
inline add_voter(h, new_voter) {
  d_step {
    LIVE(h) && role[h] == LEADER && log[h].length < MAX_LOG && MAY_BEGIN(h) &&
    !HAS(VOTERS(h), new_voter) && match[h].from[new_voter] == log[h].length ->
    printf("leader %d adds voter %d in term %d\n", h, new_voter, term[h]);
#ifdef REPLACE_IN_ONE_STEP
    next = ((VOTERS(h) | BIT(new_voter)) & ~BIT(2)) | CHANGED_PLAIN(h);
    append_entry(h)
#else
    if
    :: CHANGES_AT_ONCE(h) ->
       next = VOTERS(h) | BIT(new_voter) | CHANGED_PLAIN(h);
       append_entry(h)
    :: else -> next = VOTERS(h) | BIT(new_voter) | TRANSITION(new_voter); append_entry(h)
    fi
#endif
  }
}

#ifdef GONE
#define MAY_REMOVE(h) ((h) == GONE || !LIVE(h))
#else
#define MAY_REMOVE(h) true
#endif

inline remove_voter(h, old_voter) {
  d_step {
    LIVE(h) && role[h] == LEADER && log[h].length < MAX_LOG && MAY_BEGIN(h) &&
    HAS(VOTERS(h), old_voter) && BITS(VOTERS(h)) > 1 && MAY_REMOVE(old_voter) ->
    printf("leader %d removes voter %d in term %d\n", h, old_voter, term[h]);
    if
    :: CHANGES_AT_ONCE(h) ->
       next = (VOTERS(h) & ~BIT(old_voter)) | CHANGED_PLAIN(h);
       append_entry(h)
    :: else -> next = VOTERS(h) | TRANSITION(old_voter) | LEAVING; append_entry(h)
    fi
  }
}

/* The second entry of a change, also where another leader began it. */
inline complete_change(h) {
  d_step {
    LIVE(h) && role[h] == LEADER && log[h].length < MAX_LOG && !IS_EARLIER(h) &&
    MOVING_OF(CONFIG(h)) != 0 && MAY_CHANGE(h) ->
    printf("leader %d completes a change in term %d\n", h, term[h]);
    next = ((CONFIG(h) & LEAVING) -> SETTLED_OF(CONFIG(h)) : VOTERS(h)) |
                    (CONFIG(h) & PLAIN);
    append_entry(h)
  }
}

/* All voters state that they know of half quorums. */
inline put_in_force(h) {
  d_step {
    LIVE(h) && role[h] == LEADER && log[h].length < MAX_LOG && !IS_EARLIER(h) &&
    (CONFIG(h) & PLAIN) && (VOTERS(h) & EARLIER_BUILD) == 0 && MAY_BEGIN(h) ->
    printf("leader %d puts half quorums in force in term %d\n", h, term[h]);
    next = VOTERS(h);
    append_entry(h)
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
    COMMITS(h, ACKNOWLEDGED(h, index)) ->
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
#ifdef REACH_HALF
    ;
    /* Reachable decided-by-half. */
    assert(IS_MAJORITY(ACKNOWLEDGED(h, index), VOTERS(h)))
#endif
#ifdef REACH_LOST_REMOVED
    ;
    /* Reachable lost-voter-removed: by half of the voters. */
    assert(VOTERS_OF(accepted[index]) & lost || BITS(ACKNOWLEDGED(h, index)) > 2)
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
#ifdef HALF_QUORUMS
  :: complete_change(h)
  :: put_in_force(h)
#endif
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
#if MAX_LOG > 3
  :: receive(h, 1, 3)
  :: receive(h, 2, 3)
#if MAX_TERM > 2
  :: receive(h, 3, 3)
#endif
  :: commit(h, 3)
#endif
  :: crash(h)
  :: lose_disk(h)
  od
}

#ifdef GONE
/* Whether identities a and b elect a leader once the disk of another one is lost. */
#define FIRST_IS_NEWER(a, b) \
  (LAST_TERM(a) > LAST_TERM(b) || \
   (LAST_TERM(a) == LAST_TERM(b) && log[a].length >= log[b].length))
#define ELECT_WITHOUT(x, a, b) \
  DECIDE_BOTH(BIT(a) | BIT(b), (FIRST_IS_NEWER(a, b) -> CONFIG(a) : CONFIG(b)), BIT(x))
#define BEARS_LOSS_OF(x, a, b) ((lost & ~BIT(x)) || ELECT_WITHOUT(x, a, b))
#if GONE == 0
#define BEARS_ANY_LOSS \
  (BEARS_LOSS_OF(1, 2, 3) && BEARS_LOSS_OF(2, 1, 3) && BEARS_LOSS_OF(3, 1, 2))
#else
#define BEARS_ANY_LOSS \
  (BEARS_LOSS_OF(0, 2, 3) && BEARS_LOSS_OF(2, 0, 3) && BEARS_LOSS_OF(3, 0, 2))
#endif

active proctype monitor() {
end:
  d_step {
    !BEARS_ANY_LOSS ->
    /* Property quorum-left: without the removed identity and any lost disk. */
    assert(false)
  }
}
#endif
