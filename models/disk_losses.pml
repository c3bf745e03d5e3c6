/*
 * How many voters bear the loss of disks (docs/decisions/recovery.md).
 *
 * The model checks that an acknowledged document survives the loss of LOSSES disks, at
 * any moment and in any combination, while the group forms, while hosts are down, and
 * after silent voters were removed. A host that is down keeps its disk, and a loss of
 * power of all others changes nothing, because what a majority has acknowledged is synced.
 *
 * With ZONES the seven hosts are in zones of three, two and two, and either LOSSES disks
 * or all disks of one zone are lost. A host joins only if the group then bears no less
 * (docs/design/zone-loss.md), one at a time.
 *
 * With REPLACED the sixth host is the successor of another one, which is then removed
 * without notice at any moment, beside the two lost disks; half of an even number of
 * voters decides beside a lost disk (docs/incidents/half-quorums.md).
 *
 * Elections, replication and the change of voters one at a time are the subject of
 * replication.pml and voters.pml: here a group acts only while a majority of its voters
 * runs with its disk. A host whose disk was lost does not return, which leaves fewer
 * votes than its return as a new voter.
 *
 * Mutants: ACK_AT_SEEDS (a document is acknowledged as soon as three seeds are voters),
 * COUNT_LEARNER (a learner counts as a voter when the group is formed),
 * REMOVE_BELOW_BOUND (silent voters are removed from every group of more than three),
 * REMOVED_VOTER_VOTES (a removed voter still takes part in elections). With ZONES:
 * COUNT_DISKS (a group is formed by the number of its voters), JOIN_ANY (every host
 * becomes a voter at once), REMOVE_ANY (silent voters are removed by their number),
 * MANY_LEARNERS (several hosts join at once, and are promoted in any order),
 * IGNORE_LEARNER (a removal does not count the learner that becomes a voter next). With
 * REPLACED: MAJORITIES_ONLY, HALF_WITHOUT_LOSS (half of the voters always decides).
 */

#ifdef ZONES
#define HOSTS 7
#else
#define HOSTS 6
#endif
#define LOSSES 2
#define SEEDS 3
#define REQUIRED (2 * LOSSES + 1)

byte voters = 1;         /* bit sets of hosts; host 0 has founded the group */
byte learners;
byte removed;
byte up = (1 << HOSTS) - 1;
byte intact = (1 << HOSTS) - 1; /* disks that were not lost */
byte holders;            /* disks that hold the acknowledged document */
byte lost;
bool acked;
#ifdef REPLACED
byte gone;               /* the host that was removed for good */
#endif
#ifdef ZONES
byte need;               /* working storage of one step */
byte other;
#endif

#define BIT(h) (1 << (h))
#define HAS(set, h) ((set) & BIT(h))
#define ONE(set, h) (((set) >> (h)) & 1)
#define COUNT(set) (ONE(set, 0) + ONE(set, 1) + ONE(set, 2) + ONE(set, 3) + \
                    ONE(set, 4) + ONE(set, 5) + ONE(set, 6))
#define RUNNING (voters & up & intact)
#define IS_MAJORITY(set) (COUNT(set) > COUNT(voters) / 2)
#if !defined(REPLACED) || defined(MAJORITIES_ONLY)
#define DECIDE(set) IS_MAJORITY(set)
#elif defined(HALF_WITHOUT_LOSS)
#define DECIDE(set) (COUNT(set) * 2 >= COUNT(voters))
#else
#define DECIDE(set) \
  (IS_MAJORITY(set) || \
   ((voters & ~intact) && COUNT((set) & intact) * 2 >= COUNT(voters)))
#endif
#define ACTS DECIDE(RUNNING)

#ifdef REPLACED
#define IS_GONE(h) HAS(gone, h)
#define MAY_GIVE_UP(h) HAS(gone, h)
#else
#define IS_GONE(h) false
#define MAY_GIVE_UP(h) true
#endif

#ifdef ZONES
#define ZONE_X 7
#define ZONE_Y 24
#define ZONE_Z 96
#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define LARGEST(set) MAX(COUNT((set) & ZONE_X), \
                         MAX(COUNT((set) & ZONE_Y), COUNT((set) & ZONE_Z)))
/* How many disks more may be lost than are to be tolerated. */
#define MARGIN(set) ((COUNT(set) - 1) / 2 - MAX(LOSSES, LARGEST(set)))
#define KEEPS_MARGIN(after) \
  (MARGIN(after) >= (MARGIN(voters) < 0 -> MARGIN(voters) : 0))
#endif

#if defined(ZONES) && !defined(COUNT_DISKS)
#define FORMED (MARGIN(voters) >= 0)
#elif defined(ACK_AT_SEEDS)
#define FORMED (COUNT(voters) >= SEEDS)
#elif defined(COUNT_LEARNER)
#define FORMED (COUNT(voters | learners) >= REQUIRED)
#else
#define FORMED (COUNT(voters) >= REQUIRED)
#endif

#if defined(ZONES) && defined(MANY_LEARNERS)
#define MAY_JOIN(h) KEEPS_MARGIN(voters | learners | BIT(h))
#elif defined(ZONES) && !defined(JOIN_ANY)
#define MAY_JOIN(h) (!learners && KEEPS_MARGIN(voters | BIT(h)))
#else
#define MAY_JOIN(h) true
#endif

#ifdef REMOVE_BELOW_BOUND
#define MAY_SHRINK(h) (COUNT(voters) > 3)
#elif defined(ZONES) && defined(IGNORE_LEARNER)
#define MAY_SHRINK(h) (COUNT(voters) > REQUIRED && KEEPS_MARGIN(voters & ~BIT(h)))
#elif defined(ZONES) && !defined(REMOVE_ANY)
#define MAY_SHRINK(h) (COUNT(voters) > REQUIRED && KEEPS_MARGIN(voters & ~BIT(h)) && \
                       KEEPS_MARGIN((voters | learners) & ~BIT(h)))
#else
#define MAY_SHRINK(h) (COUNT(voters) > REQUIRED)
#endif

#ifdef REMOVED_VOTER_VOTES
#define ELECTORS (voters | removed)
#else
#define ELECTORS voters
#endif

inline check_document() {
#ifdef REPLACED
  /* Property quorum-left: the disks that are left can elect a leader. */
  assert(!acked || DECIDE(voters & intact & ~gone));
  /* Property document-kept: no leader is elected without the document. */
  assert(!acked || !DECIDE(ELECTORS & intact & ~holders))
#else
  /* Property quorum-left: the disks that are left can elect a leader. */
  assert(!acked || COUNT(voters & intact) > COUNT(voters) / 2);
  /* Property document-kept: no leader is elected without the document. */
  assert(!acked || COUNT(ELECTORS & intact & ~holders) <= COUNT(voters) / 2)
#endif
}

inline join(h) {
  d_step {
    ACTS && !HAS(voters | learners | removed, h) && HAS(up & intact, h) &&
    MAY_JOIN(h) ->
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

#ifdef REPLACED
#define IS_SMALLEST_QUORUM(set) \
  (DECIDE(set) && COUNT(set) <= COUNT(voters) / 2 + 1)
#else
#define IS_SMALLEST_QUORUM(set) (COUNT(set) == COUNT(voters) / 2 + 1)
#endif

/* A majority syncs the document: all running voters without at most two of them. */
inline acknowledge(left_out) {
  d_step {
    !acked && FORMED && (RUNNING & left_out) == left_out &&
    IS_SMALLEST_QUORUM(RUNNING & ~left_out) ->
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
  d_step {
    !HAS(up, h) && !IS_GONE(h) -> printf("host %d starts\n", h); up = up | BIT(h)
  }
}

#ifdef REPLACED
inline remove_for_good(h) {
  d_step {
    !gone && COUNT(voters) == REQUIRED + 1 && HAS(intact, h) ->
    printf("host %d is removed\n", h);
    gone = BIT(h);
    up = up & ~BIT(h);
    check_document()
  }
}
#endif

inline remove_silent(h) {
  d_step {
    ACTS && HAS(voters & intact, h) && !HAS(up, h) && MAY_SHRINK(h) &&
    MAY_GIVE_UP(h) && COUNT(RUNNING) > (COUNT(voters) - 1) / 2 ->
    printf("silent voter %d is removed\n", h);
    voters = voters & ~BIT(h);
    removed = removed | BIT(h);
#ifdef ZONES
    /* The entry of the removal, after the document, is on a majority of the others. */
    if
    :: acked && COUNT(RUNNING & holders) < COUNT(voters) / 2 + 1 ->
       need = COUNT(voters) / 2 + 1 - COUNT(RUNNING & holders)
    :: else -> need = 0
    fi;
    other = 0;
    do
    :: need > 0 ->
       if
       :: HAS(RUNNING & ~holders, other) -> holders = holders | BIT(other); need--
       :: else
       fi;
       other++
    :: else -> break
    od;
    other = 0;
#endif
#ifdef REACH_REMOVAL
    /* Reachable silent-voter-removed. */
    assert(!acked);
#endif
    check_document()
  }
}

inline lose_disk(h) {
  d_step {
    lost < LOSSES && HAS(intact, h) && !IS_GONE(h) ->
    printf("host %d loses its disk\n", h);
    lost++;
    intact = intact & ~BIT(h);
    holders = holders & ~BIT(h);
    check_document()
  }
}

#ifdef ZONES
inline lose_zone(disks) {
  d_step {
    lost == 0 ->
    printf("disks %d of a zone are lost\n", disks);
    lost = LOSSES;
    intact = intact & ~(disks);
    holders = holders & ~(disks);
    check_document()
  }
}
#endif

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
#ifdef REPLACED
  :: remove_for_good(0) :: remove_for_good(1) :: remove_for_good(2)
  :: remove_for_good(3) :: remove_for_good(4) :: remove_for_good(5)
#endif
#ifdef ZONES
  :: join(6) :: promote(6) :: stop(6) :: start(6) :: remove_silent(6) :: lose_disk(6)
  :: lose_zone(ZONE_X) :: lose_zone(ZONE_Y) :: lose_zone(ZONE_Z)
  :: acknowledge(64) :: acknowledge(65) :: acknowledge(66) :: acknowledge(68)
  :: acknowledge(72) :: acknowledge(80) :: acknowledge(96) :: acknowledge(7)
  :: acknowledge(11) :: acknowledge(19) :: acknowledge(35) :: acknowledge(67)
  :: acknowledge(13) :: acknowledge(21) :: acknowledge(37) :: acknowledge(69)
  :: acknowledge(25) :: acknowledge(41) :: acknowledge(73) :: acknowledge(49)
  :: acknowledge(81) :: acknowledge(97) :: acknowledge(14) :: acknowledge(22)
  :: acknowledge(38) :: acknowledge(70) :: acknowledge(26) :: acknowledge(42)
  :: acknowledge(74) :: acknowledge(50) :: acknowledge(82) :: acknowledge(98)
  :: acknowledge(28) :: acknowledge(44) :: acknowledge(76) :: acknowledge(52)
  :: acknowledge(84) :: acknowledge(100) :: acknowledge(56) :: acknowledge(88)
  :: acknowledge(104) :: acknowledge(112)
#endif
  od
}
