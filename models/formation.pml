/*
 * Formation of the group without an operator (docs/platform.md).
 *
 * The model checks that hosts that start together, of which one may lose its disk at
 * any moment, never form two groups, and never lose a document that was
 * acknowledged while the group was still forming.
 *
 * Host 0 is the first seed. A host has a flag for the first start of the whole
 * system; a restart or the loss of its disk clears it, although a restart may come
 * before anything was written. Elections, replication and the
 * change of voters one at a time are the subject of replication.pml and voters.pml:
 * here a group acts only while a majority of its voters holds its disk, and an
 * acknowledged document is held by some majority of the voters of that time.
 *
 * Mutants: FOUND_AT_ANY_START (the first seed founds whenever its disk is empty),
 * ANY_SEED_FOUNDS (every seed with an empty disk founds), ACK_WHILE_FORMING (a
 * document is acknowledged before all seeds are voters).
 *
 * After a timeout, a majority of the seeds is enough (FORMATION_TIMES_OUT). Accepting
 * any number of seeds after the timeout is unsafe, as ACK_WHILE_FORMING shows.
 */

#define HOSTS 3
#define NONE 0

byte group[HOSTS];       /* group on the host's disk */
bool first_start[HOSTS];
byte groups;             /* groups founded so far */
byte voters[3];          /* bit set, by group */
byte holders;            /* hosts whose disk holds the acknowledged document */
byte acked_in;           /* group that acknowledged it */
bool disk_was_lost;

#define BIT(h) (1 << (h))
#define HAS(set, h) ((set) & BIT(h))
#define COUNT(set) ((((set) & 1) > 0) + (((set) & 2) > 0) + (((set) & 4) > 0))
#define DISKS(g) (((group[0] == (g)) * 1) + ((group[1] == (g)) * 2) + \
                  ((group[2] == (g)) * 4))
#define ACTS(g) (COUNT(DISKS(g) & voters[g]) > COUNT(voters[g]) / 2)

#ifdef FOUND_AT_ANY_START
#define MAY_FOUND(h) ((h) == 0)
#else
#ifdef ANY_SEED_FOUNDS
#define MAY_FOUND(h) (first_start[h])
#else
#define MAY_FOUND(h) ((h) == 0 && first_start[h])
#endif
#endif

#ifdef ACK_WHILE_FORMING
#define FORMED(g) true
#else
#ifdef FORMATION_TIMES_OUT
#define FORMED(g) (COUNT(voters[g]) > HOSTS / 2)
#else
#define FORMED(g) (COUNT(voters[g]) == HOSTS)
#endif
#endif

inline found(h) {
  d_step {
    group[h] == NONE && MAY_FOUND(h) && groups < 2 ->
    printf("host %d founds a group\n", h);
    groups++;
    group[h] = groups;
    voters[groups] = BIT(h);
    /* Property one-group: hosts never form two groups. */
    assert(groups == 1)
  }
}

inline join(h, g) {
  d_step {
    group[h] == NONE && groups >= g && ACTS(g) ->
    printf("host %d joins group %d\n", h, g);
    group[h] = g;
    voters[g] = voters[g] | BIT(h);
    /* A new voter holds the document before it votes. */
    if
    :: acked_in == g -> holders = holders | BIT(h)
    :: else
    fi
#ifdef REACH_FORMED
    ;
    /* Reachable all-seeds-joined. */
    assert(COUNT(voters[g]) < HOSTS)
#endif
  }
}

/* A document is acknowledged by a majority: any two voters, or the only voter. */
inline acknowledge(g, a, b) {
  d_step {
    acked_in == NONE && groups >= g && FORMED(g) &&
    HAS(voters[g], a) && HAS(voters[g], b) && group[a] == g && group[b] == g &&
    COUNT(BIT(a) | BIT(b)) > COUNT(voters[g]) / 2 ->
    printf("group %d acknowledges at hosts %d and %d\n", g, a, b);
    acked_in = g;
    holders = BIT(a) | BIT(b)
#ifdef REACH_ACK
    ;
    /* Reachable document-acknowledged. */
    assert(false)
#endif
  }
}

inline restart(h) {
  d_step { first_start[h] -> printf("host %d restarts\n", h); first_start[h] = false }
}

inline lose_disk(h) {
  d_step {
    !disk_was_lost ->
    printf("host %d loses its disk\n", h);
    disk_was_lost = true;
    first_start[h] = false;
    if
    :: group[h] != NONE && COUNT(voters[group[h]]) > 1 ->
       /* The leader removes the identity that can never return. */
       voters[group[h]] = voters[group[h]] & ~BIT(h)
    :: else
    fi;
    group[h] = NONE;
    holders = holders & ~BIT(h);
    /* Property acknowledged-document-kept: some disk still holds it. */
    assert(acked_in == NONE || holders != 0)
  }
}

active proctype system() {
  first_start[0] = true;
  first_start[1] = true;
  first_start[2] = true;
end:
  do
  :: found(0) :: found(1) :: found(2)
  :: join(0, 1) :: join(1, 1) :: join(2, 1)
  :: acknowledge(1, 0, 0) :: acknowledge(1, 1, 1) :: acknowledge(1, 2, 2)
  :: acknowledge(1, 0, 1) :: acknowledge(1, 0, 2) :: acknowledge(1, 1, 2)
  :: restart(0) :: restart(1) :: restart(2)
  :: lose_disk(0) :: lose_disk(1) :: lose_disk(2)
  od
}
