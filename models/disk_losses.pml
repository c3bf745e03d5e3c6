/*
 * How many voters bear the loss of disks (docs/decisions/recovery.md).
 *
 * The model checks that an acknowledged document survives the loss of LOSSES disks, at
 * any moment and in any combination, while the group forms, while hosts are down, and
 * after silent voters were removed. A host that is down keeps its disk, and a loss of
 * power of all others changes nothing, because what a majority has acknowledged is synced.
 *
 * Elections, replication and the change of voters one at a time are the subject of
 * replication.pml and voters.pml: here a group acts only while a majority of its voters
 * runs with its disk. A host whose disk was lost does not return, which leaves fewer
 * votes than its return as a new voter.
 *
 * Mutants: ACK_AT_SEEDS (a document is acknowledged as soon as three seeds are voters),
 * COUNT_LEARNER (a learner counts as a voter when the group is formed),
 * REMOVE_BELOW_BOUND (silent voters are removed from every group of more than three),
 * REMOVED_VOTER_VOTES (a removed voter still takes part in elections).
 */

#define HOSTS 6
#define LOSSES 2
#define SEEDS 3
#define REQUIRED (2 * LOSSES + 1)

byte voters = 1;         /* bit sets of hosts; host 0 has founded the group */
byte learners;
byte removed;
byte up = 63;
byte intact = 63;        /* disks that were not lost */
byte holders;            /* disks that hold the acknowledged document */
byte lost;
bool acked;

#define BIT(h) (1 << (h))
#define HAS(set, h) ((set) & BIT(h))
#define ONE(set, h) (((set) >> (h)) & 1)
#define COUNT(set) (ONE(set, 0) + ONE(set, 1) + ONE(set, 2) + ONE(set, 3) + \
                    ONE(set, 4) + ONE(set, 5))
#define RUNNING (voters & up & intact)
#define ACTS (COUNT(RUNNING) > COUNT(voters) / 2)

#ifdef ACK_AT_SEEDS
#define FORMED (COUNT(voters) >= SEEDS)
#else
#ifdef COUNT_LEARNER
#define FORMED (COUNT(voters | learners) >= REQUIRED)
#else
#define FORMED (COUNT(voters) >= REQUIRED)
#endif
#endif

#ifdef REMOVE_BELOW_BOUND
#define MAY_SHRINK (COUNT(voters) > 3)
#else
#define MAY_SHRINK (COUNT(voters) > REQUIRED)
#endif

#ifdef REMOVED_VOTER_VOTES
#define ELECTORS (voters | removed)
#else
#define ELECTORS voters
#endif

inline check_document() {
  /* Property quorum-left: the disks that are left can elect a leader. */
  assert(!acked || COUNT(voters & intact) > COUNT(voters) / 2);
  /* Property document-kept: no leader is elected without the document. */
  assert(!acked || COUNT(ELECTORS & intact & ~holders) <= COUNT(voters) / 2)
}

inline join(h) {
  d_step {
    ACTS && !HAS(voters | learners | removed, h) && HAS(up & intact, h) ->
    printf("host %d joins as a learner\n", h);
    learners = learners | BIT(h)
  }
}

inline promote(h) {
  d_step {
    ACTS && HAS(learners & up & intact, h) ->
    printf("host %d becomes a voter\n", h);
    learners = learners & ~BIT(h);
    voters = voters | BIT(h);
    /* A new voter holds the document before it votes. */
    if
    :: acked -> holders = holders | BIT(h)
    :: else
    fi;
    check_document()
  }
}

/* A majority syncs the document: all running voters without at most two of them. */
inline acknowledge(left_out) {
  d_step {
    !acked && FORMED && (RUNNING & left_out) == left_out &&
    COUNT(RUNNING & ~left_out) == COUNT(voters) / 2 + 1 ->
    printf("voters %d acknowledge\n", RUNNING & ~left_out);
    acked = true;
    holders = RUNNING & ~left_out;
#ifdef REACH_ACK
    /* Reachable document-acknowledged. */
    assert(false);
#endif
    check_document()
  }
}

inline stop(h) {
  d_step { HAS(up, h) -> printf("host %d stops\n", h); up = up & ~BIT(h) }
}

inline start(h) {
  d_step { !HAS(up, h) -> printf("host %d starts\n", h); up = up | BIT(h) }
}

inline remove_silent(h) {
  d_step {
    ACTS && HAS(voters & intact, h) && !HAS(up, h) && MAY_SHRINK &&
    COUNT(RUNNING) > (COUNT(voters) - 1) / 2 ->
    printf("silent voter %d is removed\n", h);
    voters = voters & ~BIT(h);
    removed = removed | BIT(h);
#ifdef REACH_REMOVAL
    /* Reachable silent-voter-removed. */
    assert(!acked);
#endif
    check_document()
  }
}

inline lose_disk(h) {
  d_step {
    lost < LOSSES && HAS(intact, h) ->
    printf("host %d loses its disk\n", h);
    lost++;
    intact = intact & ~BIT(h);
    holders = holders & ~BIT(h);
    check_document()
  }
}

active proctype system() {
end:
  do
  :: join(1) :: join(2) :: join(3) :: join(4) :: join(5)
  :: promote(1) :: promote(2) :: promote(3) :: promote(4) :: promote(5)
  :: acknowledge(0) :: acknowledge(1) :: acknowledge(2) :: acknowledge(4)
  :: acknowledge(8) :: acknowledge(16) :: acknowledge(32) :: acknowledge(3)
  :: acknowledge(5) :: acknowledge(9) :: acknowledge(17) :: acknowledge(33)
  :: acknowledge(6) :: acknowledge(10) :: acknowledge(18) :: acknowledge(34)
  :: acknowledge(12) :: acknowledge(20) :: acknowledge(36) :: acknowledge(24)
  :: acknowledge(40) :: acknowledge(48)
  :: stop(0) :: stop(1) :: stop(2) :: stop(3) :: stop(4) :: stop(5)
  :: start(0) :: start(1) :: start(2) :: start(3) :: start(4) :: start(5)
  :: remove_silent(0) :: remove_silent(1) :: remove_silent(2)
  :: remove_silent(3) :: remove_silent(4) :: remove_silent(5)
  :: lose_disk(0) :: lose_disk(1) :: lose_disk(2)
  :: lose_disk(3) :: lose_disk(4) :: lose_disk(5)
  od
}
