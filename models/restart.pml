/*
 * Serving by the saved routes after a loss of all hosts (docs/decisions/recovery.md).
 *
 * The model checks that a host never serves an uncommitted document, and never goes back
 * to an older one within one life of its process, although it serves before there is a
 * leader and takes documents from hosts that know no leader either.
 *
 * Hosts 0 to 2 have a disk with the log and the file of the last applied document; host 3
 * has none and polls the others. Elections are the subject of replication.pml: here a
 * document is committed once two logs hold it, and an entry that only one log holds may be
 * replaced by a later leader. Every host may crash at any moment, and one may lose its
 * disk.
 *
 * Mutants: SERVE_LOG_TAIL (a started host serves the last entry of its log),
 * SAVE_REPLAYED (the replay of the log overwrites the file with older documents),
 * TAKE_ANY (a host takes a document without comparing versions).
 */

#define HOSTS 4
#define VERSIONS 3

byte log[3];        /* newest version in the host's log */
byte applied[3];    /* newest version applied in this life of the replica */
byte saved[3];      /* version in the host's file */
byte serving[HOSTS]; /* version in force at the host, 0 without one */
byte committed;
bool disk_was_lost;

inline serve(h, version) {
#ifdef TAKE_ANY
  /* Property never-back: within one life no host serves an older version. */
  assert(version >= serving[h]);
  serving[h] = version;
#else
  if
  :: version > serving[h] -> serving[h] = version
  :: else
  fi;
#endif
  /* Property no-uncommitted: only committed documents are served. */
  assert(serving[h] <= committed)
}

inline append(h) {
  d_step {
    committed < VERSIONS && log[h] == committed ->
    printf("host %d appends version %d\n", h, committed + 1);
    log[h] = committed + 1
  }
}

inline commit(a, b) {
  d_step {
    log[a] == committed + 1 && log[b] == committed + 1 ->
    committed++;
    printf("hosts %d and %d commit version %d\n", a, b, committed)
  }
}

/* A later leader without the entry replaces it. */
inline replace(h) {
  d_step {
    log[h] == committed + 1 ->
    printf("a later leader replaces version %d at host %d\n", log[h], h);
    log[h] = committed
  }
}

/* The leader tells the commit index, one version at a time as in a replay. */
inline apply(h) {
  d_step {
    applied[h] < log[h] && applied[h] < committed ->
    applied[h]++;
    printf("host %d applies version %d\n", h, applied[h]);
#ifdef TAKE_ANY
    if
    :: applied[h] > serving[h] -> serve(h, applied[h])
    :: else
    fi
#else
    serve(h, applied[h])
#endif
  }
}

inline catch_up(h) {
  d_step {
    log[h] < committed ->
    printf("host %d catches up\n", h);
    log[h] = committed
  }
}

inline save(h) {
  d_step {
#ifdef SAVE_REPLAYED
    applied[h] > 0 && saved[h] != applied[h] ->
#else
    applied[h] > saved[h] ->
#endif
    printf("host %d saves version %d\n", h, applied[h]);
    /* Property file-never-back: the file never holds an older document than before. */
    assert(applied[h] >= saved[h]);
    saved[h] = applied[h]
  }
}

inline crash(h) {
  d_step {
    serving[h] > 0 || applied[h] > 0 ->
    printf("host %d restarts\n", h);
    applied[h] = 0;
    serving[h] = 0;
#ifdef SERVE_LOG_TAIL
    serve(h, log[h])
#else
    serve(h, saved[h])
#endif
#ifdef REACH_OLDER
    ;
    /* Reachable older-after-restart: a restarted host may serve an older document. */
    assert(serving[h] == 0 || serving[h] == committed)
#endif
  }
}

inline crash_without_disk() {
  d_step {
    serving[3] > 0 ->
    printf("host 3 restarts\n");
    serving[3] = 0
  }
}

inline poll(h) {
  d_step {
    serving[h] > 0 && serving[h] != serving[3] ->
    printf("host 3 learns version %d from host %d\n", serving[h], h);
    serve(3, serving[h])
  }
}

inline lose_disk(h) {
  d_step {
    !disk_was_lost && log[h] <= committed &&
    /* The log that replication.pml keeps: another disk still holds what is committed. */
    (log[(h + 1) % 3] >= committed || log[(h + 2) % 3] >= committed) ->
    printf("host %d loses its disk\n", h);
    disk_was_lost = true;
    log[h] = 0;
    applied[h] = 0;
    saved[h] = 0;
    serving[h] = 0
  }
}

active proctype system() {
end:
  do
  :: append(0) :: append(1) :: append(2)
  :: commit(0, 1) :: commit(0, 2) :: commit(1, 2)
  :: replace(0) :: replace(1) :: replace(2)
  :: catch_up(0) :: catch_up(1) :: catch_up(2)
  :: apply(0) :: apply(1) :: apply(2)
  :: save(0) :: save(1) :: save(2)
  :: crash(0) :: crash(1) :: crash(2) :: crash_without_disk()
  :: poll(0) :: poll(1) :: poll(2)
  :: lose_disk(0) :: lose_disk(1) :: lose_disk(2)
  od
}
