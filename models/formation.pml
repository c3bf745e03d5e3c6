/*
 * Founding of the group by its seeds (docs/decisions/recovery.md, docs/platform.md).
 *
 * The model checks that seeds that start together never found two groups, and that a
 * change that was acknowledged while the group was new survives the loss of one disk,
 * at any moment. A group here is an identifier with its first members; every founding
 * that is free to choose draws a new identifier.
 *
 * Hosts 0 to 2 are the seeds, host 3 asks to join. A seed stores what it promises and
 * accepts before it replies. Messages stay in the network: they arrive late, several
 * times or never. A restart ends the host's own proposals; the replies to them are
 * lost, and the next process may use a number again that its own disk does not show. A
 * seed that has lost its disk has no record and refuses for ever. Seeds without a disk
 * (WITHOUT_DISK) take no part; a proposer may know of them or not. Where no seed has a
 * disk (NO_SEED_HAS_DISK), they agree for the hosts that ask to join, and a restart
 * forgets what a seed has promised and accepted, except at one seed. A proposer uses any
 * of the promises it was sent: the others are late or lost. A host that was never
 * started, or ended before it stored its record, is one that no message reaches.
 *
 * Elections and replication are the subject of replication.pml and voters.pml: here a
 * voter joins only while a majority of the voters holds its disk, the voter whose disk
 * was lost is removed by any other, and a change is held by a majority of the voters.
 *
 * Mutants: PROMISE_NOT_STORED and ACCEPTANCE_NOT_STORED (a restart forgets it),
 * ACCEPTED_IGNORED (a proposer always proposes a new group), ANY_ACCEPTED (it takes up
 * any accepted group, not that of the greatest number), LOST_DISK_PROMISES (a seed
 * without its record begins a new one), MINORITY_SUFFICES (the promise and acceptance of
 * one seed are enough), ACK_WHILE_FORMING (any number of voters acknowledges).
 *
 * After a timeout, a majority of the number of seeds is enough to acknowledge
 * (FORMATION_TIMES_OUT).
 */

#define SEEDS 3
#define HOSTS 4
#define NONE 0
#ifndef BALLOTS
#define BALLOTS 2
#endif
#define MAX_GROUPS 3
#ifdef NO_SEED_HAS_DISK
#define WITHOUT_DISK 7
#endif
#ifndef WITHOUT_DISK
#define WITHOUT_DISK 0  /* bit set */
#endif

#define BIT(h) (1 << (h))
#define HAS(set, h) ((set) & BIT(h))
#define COUNT(set) ((((set) & 1) > 0) + (((set) & 2) > 0) + (((set) & 4) > 0) + \
                    (((set) & 8) > 0))

/* Records of the seeds, in memory and on the disk. */
byte promised[SEEDS];
byte accepted_ballot[SEEDS];
byte accepted[SEEDS];
#ifdef PROMISE_NOT_STORED
byte stored_promise[SEEDS];
#endif
byte lost;  /* host whose disk was lost, as a bit */
#ifdef NO_SEED_HAS_DISK
byte keeper;  /* seed that runs all the time */
#endif

/* Proposals, by number. */
byte owner[BALLOTS + 1];
byte prepared;               /* bit set of numbers whose request was sent */
byte waiting;                 /* bit set of numbers whose proposer waits for replies */
byte promises[BALLOTS + 1];  /* bit set of seeds that promised to it */
byte reported[(BALLOTS + 1) * SEEDS];  /* group that the promise names */
byte reported_ballot[(BALLOTS + 1) * SEEDS];
byte sent[BALLOTS + 1];      /* bit set of groups proposed */
byte current[BALLOTS + 1];   /* group whose acceptances the proposer counts */
byte required[BALLOTS + 1];
byte acceptances[BALLOTS + 1];

byte groups;                 /* groups drawn so far */
byte members[MAX_GROUPS + 1];
byte chosen;                 /* bit set of groups that a proposer knows as chosen */
byte founded;                /* group that some host has founded */
byte disks;                  /* bit set of hosts whose disk holds the group */
byte voters;
bool acknowledged;
byte holders;                /* hosts whose disk holds the acknowledged change */

#define REPORT(b, s) ((b) * SEEDS + (s))
#ifdef NO_SEED_HAS_DISK
#define TAKES_PART(s) true
#define FIRST_MEMBERS(replies, others) (others)
#else
#define FIRST_MEMBERS(replies, others) ((replies) | (others))
#ifdef LOST_DISK_PROMISES
#define TAKES_PART(s) (!HAS(WITHOUT_DISK, s) && !HAS(disks, s))
#else
#define TAKES_PART(s) (!HAS(WITHOUT_DISK, s) && !HAS(disks, s) && !HAS(lost, s))
#endif
#endif
#ifdef MINORITY_SUFFICES
#define QUORUM(electorate) 1
#else
#ifdef NO_SEED_HAS_DISK
#ifdef MAJORITY_SUFFICES
#define QUORUM(electorate) (SEEDS / 2 + 1)
#else
#define QUORUM(electorate) SEEDS
#endif
#else
#define QUORUM(electorate) ((electorate) / 2 + 1)
#endif
#endif
#define MAJORITY (COUNT(voters) / 2 + 1)

#ifdef ACK_WHILE_FORMING
#define FORMED true
#else
#ifdef FORMATION_TIMES_OUT
#define FORMED (COUNT(voters) > SEEDS / 2)
#else
#define FORMED (COUNT(voters) >= SEEDS)
#endif
#endif

/* The proposer needs the replies no longer. */
inline forget_promises(b) {
  promises[b] = 0;
  reported[REPORT(b, 0)] = NONE;
  reported[REPORT(b, 1)] = NONE;
  reported[REPORT(b, 2)] = NONE;
  reported_ballot[REPORT(b, 0)] = 0;
  reported_ballot[REPORT(b, 1)] = 0;
  reported_ballot[REPORT(b, 2)] = 0
}

/* The disk is lost, or holds a group, so that nothing depends on the record. */
inline forget_record(h) {
  if
  :: h < SEEDS ->
     promised[h] = 0;
     accepted[h] = NONE;
     accepted_ballot[h] = 0
#ifdef PROMISE_NOT_STORED
     ;
     stored_promise[h] = 0
#endif
  :: else
  fi
}

inline prepare(b) {
  d_step {
    !HAS(waiting, b) && TAKES_PART(owner[b]) && promised[owner[b]] < b ->
    printf("seed %d asks for promises to %d\n", owner[b], b);
    prepared = prepared | BIT(b);
    waiting = waiting | BIT(b)
  }
}

inline promise(s, b) {
  d_step {
    HAS(prepared, b) && TAKES_PART(s) && promised[s] < b ->
    printf("seed %d promises to %d, accepted %d\n", s, b, accepted[s]);
    promised[s] = b;
    if
    :: HAS(waiting, b) && current[b] == NONE ->
       promises[b] = promises[b] | BIT(s);
       reported[REPORT(b, s)] = accepted[s];
       reported_ballot[REPORT(b, s)] = accepted_ballot[s]
    :: else
    fi
  }
}

/* The group of one report is taken up if its number is the greatest so far. */
inline take_report(s, b, replies) {
  if
  :: HAS(replies, s) && reported[REPORT(b, s)] != NONE &&
#ifdef ANY_ACCEPTED
     group == NONE ->
#else
     reported_ballot[REPORT(b, s)] > greatest ->
#endif
     group = reported[REPORT(b, s)];
     greatest = reported_ballot[REPORT(b, s)]
  :: else
  fi
}

/* The proposer has some of the promises, and knows of some seeds without a disk. */
inline propose(b, replies, known, others) {
  d_step {
    HAS(waiting, b) && current[b] == NONE && (promises[b] & (replies)) == (replies) &&
    COUNT(replies) >= QUORUM(SEEDS - COUNT(known)) &&
    FIRST_MEMBERS(replies, others) != 0 &&
    COUNT(FIRST_MEMBERS(replies, others)) <= SEEDS && groups < MAX_GROUPS ->
    group = NONE;
    greatest = 0;
#ifndef ACCEPTED_IGNORED
    take_report(0, b, replies);
    take_report(1, b, replies);
    take_report(2, b, replies);
#endif
    if
    :: group == NONE ->
       groups++;
       group = groups;
       members[group] = FIRST_MEMBERS(replies, others)
    :: else
    fi;
    printf("seed %d proposes %d: group %d, members %d\n", owner[b], b, group,
           members[group]);
    sent[b] = sent[b] | BIT(group);
    current[b] = group;
    required[b] = QUORUM(SEEDS - COUNT(known));
    forget_promises(b);
    group = NONE;
    greatest = 0
  }
}

inline accept(s, b, g) {
  d_step {
    HAS(sent[b], g) && TAKES_PART(s) && promised[s] <= b &&
    !(accepted_ballot[s] == b && accepted[s] == g &&
      (current[b] != g || HAS(acceptances[b], s))) ->
    printf("seed %d accepts %d: group %d\n", s, b, g);
    promised[s] = b;
#ifdef PROMISE_NOT_STORED
    stored_promise[s] = b;
#endif
    accepted_ballot[s] = b;
    accepted[s] = g;
    if
    :: current[b] == g -> acceptances[b] = acceptances[b] | BIT(s)
    :: else
    fi
  }
}

inline choose(b) {
  d_step {
    current[b] != NONE && COUNT(acceptances[b]) >= required[b] &&
    !HAS(chosen, current[b]) ->
    printf("seed %d knows that group %d is chosen\n", owner[b], current[b]);
    chosen = chosen | BIT(current[b]);
    /* Property one-group: no two groups are ever chosen. */
    assert(chosen == BIT(current[b]))
  }
}

inline check_document() {
  /* Property acknowledged-change-kept: a disk holds it, as every majority does. */
  assert(!acknowledged ||
         (holders != 0 && COUNT(voters & disks & ~holders) < MAJORITY))
}

/* A new disk is not one of the members: its identity is new, too. */
inline found(h, g) {
  d_step {
    HAS(chosen, g) && HAS(members[g], h) && !HAS(disks, h) && !HAS(lost, h) ->
    printf("host %d founds group %d\n", h, g);
    if
    :: founded == NONE -> founded = g; voters = members[g]
    :: else
    fi;
    /* Property one-group: all hosts found the same group. */
    assert(founded == g);
    disks = disks | BIT(h);
    forget_record(h);
    check_document()
#ifdef REACH_JOINER
    ;
    /* Reachable joiner-founds. */
    assert(h != SEEDS)
#endif
#ifdef REACH_LATER_BALLOT
    ;
    /* Reachable founded-by-later-proposer. */
    assert(!(current[2] == g && sent[1] == sent[2] && HAS(lost, owner[1])))
#endif
  }
}

inline join(h) {
  d_step {
    founded != NONE && !HAS(voters, h) && !HAS(disks, h) && !HAS(WITHOUT_DISK, h) &&
    COUNT(voters & disks) >= MAJORITY ->
    printf("host %d joins\n", h);
    disks = disks | BIT(h);
    forget_record(h);
    voters = voters | BIT(h);
    /* A new voter holds the change before it votes. */
    if
    :: acknowledged -> holders = holders | BIT(h)
    :: else
    fi
#ifdef REACH_FORMED
    ;
    /* Reachable all-hosts-joined. */
    assert(COUNT(voters) < HOSTS)
#endif
  }
}

inline remove_lost() {
  d_step {
    (voters & lost & ~disks) != 0 && (voters & disks) != 0 ->
    printf("the lost voter is removed\n");
    voters = voters & ~lost;
    check_document()
  }
}

inline acknowledge(set) {
  d_step {
    !acknowledged && founded != NONE && FORMED &&
    (voters & disks & (set)) == (set) && COUNT(set) == MAJORITY ->
    printf("the voters %d acknowledge\n", set);
    acknowledged = true;
    holders = set
#ifdef REACH_ACK
    ;
    /* Reachable change-acknowledged. */
    assert(false)
#endif
  }
}

inline end_proposal(h, b) {
  if
  :: HAS(waiting, b) && owner[b] == h ->
     waiting = waiting & ~BIT(b);
     forget_promises(b);
     current[b] = NONE;
     required[b] = 0;
     acceptances[b] = 0
  :: else
  fi
}

inline end_proposals(h) {
  end_proposal(h, 1);
  end_proposal(h, 2)
#if BALLOTS == 3
  ;
  end_proposal(h, 3)
#endif
}

inline restart(s) {
  d_step {
    true ->
    printf("host %d restarts\n", s);
    end_proposals(s);
#ifdef PROMISE_NOT_STORED
    promised[s] = stored_promise[s];
#endif
#ifdef ACCEPTANCE_NOT_STORED
    accepted[s] = NONE;
    accepted_ballot[s] = 0;
#endif
#ifdef NO_SEED_HAS_DISK
    if
#ifdef ALL_FORGET
    :: true ->
#else
    :: s != keeper ->
#endif
       promised[s] = 0;
       accepted[s] = NONE;
       accepted_ballot[s] = 0
#ifndef ALL_FORGET
    :: else
#endif
    fi
#endif
  }
}

inline lose_disk(h) {
  d_step {
    lost == 0 && !HAS(WITHOUT_DISK, h) ->
    printf("host %d loses its disk\n", h);
    lost = BIT(h);
    disks = disks & ~BIT(h);
    holders = holders & ~BIT(h);
    forget_record(h);
    check_document()
  }
}

#define PROMISE(b) promise(0, b) :: promise(1, b) :: promise(2, b)
#define ACCEPT(b, g) accept(0, b, g) :: accept(1, b, g) :: accept(2, b, g)
#define PROPOSE_WITH(b, known, others) \
  propose(b, 1, known, others) :: propose(b, 2, known, others) :: \
  propose(b, 4, known, others) :: propose(b, 3, known, others) :: \
  propose(b, 5, known, others) :: propose(b, 6, known, others) :: \
  propose(b, 7, known, others)
#define PROPOSE(b) \
  PROPOSE_WITH(b, 0, 0) :: PROPOSE_WITH(b, 0, BIT(SEEDS)) :: \
  PROPOSE_WITH(b, WITHOUT_DISK, 0) :: PROPOSE_WITH(b, WITHOUT_DISK, BIT(SEEDS))
#define BALLOT(b) \
  prepare(b) :: PROMISE(b) :: PROPOSE(b) :: \
  ACCEPT(b, 1) :: ACCEPT(b, 2) :: ACCEPT(b, 3) :: choose(b)
#define FOUND(g) found(0, g) :: found(1, g) :: found(2, g) :: found(3, g)

active proctype system() {
  byte group;
  byte greatest;
#ifdef NO_SEED_HAS_DISK
  if
  :: keeper = 0
  :: keeper = 1
  :: keeper = 2
  fi;
#endif
  owner[1] = 0;
  /* All seeds are alike, so that any two proposers are these. */
  if
  :: owner[2] = 0
  :: owner[2] = 2
  fi;
#if BALLOTS == 3
  if
  :: owner[3] = 0
  :: owner[3] = 1
  :: owner[3] = 2
  fi;
#endif
end:
  do
  :: BALLOT(1) :: BALLOT(2)
#if BALLOTS == 3
  :: BALLOT(3)
#endif
  :: FOUND(1) :: FOUND(2) :: FOUND(3)
  :: join(0) :: join(1) :: join(2) :: join(3)
  :: remove_lost()
  :: acknowledge(1) :: acknowledge(2) :: acknowledge(4) :: acknowledge(8)
  :: acknowledge(3) :: acknowledge(5) :: acknowledge(9) :: acknowledge(6)
  :: acknowledge(10) :: acknowledge(12) :: acknowledge(7) :: acknowledge(11)
  :: acknowledge(13) :: acknowledge(14)
  :: restart(0) :: restart(1) :: restart(2)
  :: lose_disk(0) :: lose_disk(1) :: lose_disk(2) :: lose_disk(3)
  od
}
