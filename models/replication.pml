/*
 * Replicated log: elections, replication, fsync and commit (design 3.3).
 *
 * The model checks that no accepted entry is lost and that no term has two
 * leaders when messages are lost, delayed, duplicated or
 * reordered and hosts crash between any two steps. Time is not modelled:
 * every host may start an election at any moment, so it includes every
 * behaviour that pre-vote and vote stickiness allow (lease.pml models time).
 *
 * Messages are not kept in channels. A candidate counts a vote at once and
 * may become leader at any later moment. The messages of a term's leader are the
 * prefixes of sent[term], which remain deliverable forever.
 *
 * An entry is represented by the term in which it was created: term and index
 * identify an entry.
 *
 * Mutants: VOTE_NOT_DURABLE, EMPTY_DISK_VOTES, ACK_BEFORE_FSYNC,
 * LEADER_COUNTS_UNSYNCED, COMMIT_OLDER_TERM, VOTE_IGNORES_LOG.
 */

#ifndef MAX_TERM
#define MAX_TERM 3
#endif
#ifndef MAX_LOG
#define MAX_LOG 2
#endif

#define HOSTS 3
#define QUORUM 2
#define NONE 0

#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

typedef Log {
  byte length;
  byte entry[MAX_LOG] /* term of each entry, NONE after the end */
}

typedef Indexes {
  byte from[HOSTS]
}

/* Hard state: written with an fsync before any answer that depends on it. */
byte term[HOSTS];
byte vote[HOSTS]; /* host + 1 */
Log disk[HOSTS];  /* survives a crash */

/* Lost in a crash. */
Log memory[HOSTS];
byte role[HOSTS];
byte votes[HOSTS];     /* bit set of voters, of a candidate */
byte pending[HOSTS];   /* index to acknowledge after the next fsync */
Indexes match[HOSTS];  /* acknowledged index per host, of a leader */

/* The network, and the history that the properties refer to. */
byte leader_of[MAX_TERM + 1]; /* host + 1 */
Log sent[MAX_TERM + 1];       /* the log that the leader of a term sent */
byte accepted[MAX_LOG];       /* committed entries */
byte accepted_in[MAX_LOG];    /* term of the leader that first committed each */

/* Scratch variables, used inside one indivisible step only. */
byte k;
byte n;
bool ok;

inline copy_log(target, source) {
  target.length = source.length;
  for (k : 0 .. MAX_LOG - 1) {
    target.entry[k] = source.entry[k]
  }
  k = 0
}

inline count_bits(mask) {
  n = (mask & 1) + ((mask >> 1) & 1) + ((mask >> 2) & 1)
}

inline reset_volatile(h) {
  role[h] = FOLLOWER;
  votes[h] = 0;
  pending[h] = 0;
  for (k : 0 .. HOSTS - 1) {
    match[h].from[k] = 0
  }
  k = 0
}

/* Clears terms that every host has left: they have no effect, and fewer states remain. */
inline forget_terms() {
  for (k : 1 .. MAX_TERM) {
    if
    :: k < term[0] && k < term[1] && k < term[2] && leader_of[k] != NONE ->
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

#define LAST_TERM(h) (memory[h].length == 0 -> 0 : memory[h].entry[memory[h].length - 1])

#ifdef VOTE_IGNORES_LOG
#define UP_TO_DATE(candidate, voter) true
#else
#define UP_TO_DATE(candidate, voter) \
  (LAST_TERM(candidate) > LAST_TERM(voter) || \
   (LAST_TERM(candidate) == LAST_TERM(voter) && \
    memory[candidate].length >= memory[voter].length))
#endif

#define CAN_VOTE(voter, candidate) \
  (voter != candidate && role[candidate] == CANDIDATE && \
   (term[voter] < term[candidate] || \
    (term[voter] == term[candidate] && role[voter] == FOLLOWER && vote[voter] == NONE)) && \
   UP_TO_DATE(candidate, voter))

inline grant_vote(voter, candidate) {
  d_step {
    CAN_VOTE(voter, candidate) ->
    printf("host %d votes for host %d in term %d\n", voter, candidate, term[candidate]);
    enter_term(voter, term[candidate]);
    vote[voter] = candidate + 1;
    votes[candidate] = votes[candidate] | (1 << voter)
  }
}

/* The hosts are symmetric, so without loss of generality host 0 is the first candidate. */
#define SOMEONE_STOOD (term[0] > 0 || term[1] > 0 || term[2] > 0)

inline stand(h) {
  d_step {
    role[h] != LEADER && term[h] < MAX_TERM && (h == 0 || SOMEONE_STOOD) ->
    printf("host %d stands for term %d\n", h, term[h] + 1);
    enter_term(h, term[h] + 1);
    vote[h] = h + 1;
    role[h] = CANDIDATE;
    votes[h] = 1 << h
  }
}

inline win(h) {
  d_step {
    role[h] == CANDIDATE ->
    printf("host %d counts its votes in term %d\n", h, term[h]);
    count_bits(votes[h]);
    if
    :: n >= QUORUM ->
       /* Property one-leader-per-term. */
       assert(leader_of[term[h]] == NONE);
       for (k : 0 .. MAX_LOG - 1) {
         /* Property accepted-entry-kept: leaders of later terms have every accepted entry. */
         assert(accepted_in[k] == NONE || accepted_in[k] >= term[h] ||
                memory[h].entry[k] == accepted[k])
       }
       k = 0;
       leader_of[term[h]] = h + 1;
       role[h] = LEADER;
       votes[h] = 0;
       copy_log(sent[term[h]], memory[h])
#ifdef REACH_LEADER
       ;
       /* Reachable leader-elected. */
       assert(false)
#endif
#ifdef REACH_LATER_LEADER
       ;
       /* Reachable leader-after-accepted-entry. */
       assert(accepted[0] == NONE)
#endif
    :: else
    fi;
    n = 0
  }
}

/* The leader accepts a command into its log; it is not synced yet. */
inline append_command(h) {
  d_step {
    role[h] == LEADER && memory[h].length < MAX_LOG ->
    printf("leader %d appends entry %d of term %d\n", h, memory[h].length + 1, term[h]);
    memory[h].entry[memory[h].length] = term[h];
    memory[h].length++;
    copy_log(sent[term[h]], memory[h])
#ifdef LEADER_COUNTS_UNSYNCED
    ; match[h].from[h] = memory[h].length
#endif
  }
}

inline acknowledge(h) {
  if
  :: pending[h] > 0 ->
     n = leader_of[term[h]] - 1;
     if
     :: role[n] == LEADER && term[n] == term[h] && match[n].from[h] < pending[h] ->
        match[n].from[h] = pending[h]
     :: else
     fi;
     n = 0;
     pending[h] = 0
  :: else
  fi
}

/*
 * Host h receives the entry after index `previous` from the leader of a term.
 * The consistency check compares the entry at `previous`.
 */
#define CAN_RECEIVE(h, from_term, previous) \
  (leader_of[from_term] != NONE && leader_of[from_term] != h + 1 && \
   term[h] <= from_term && previous < sent[from_term].length)

inline receive(h, from_term, previous) {
  d_step {
    CAN_RECEIVE(h, from_term, previous) ->
    printf("host %d receives entry %d from the leader of term %d\n", h, previous + 1, from_term);
    enter_term(h, from_term);
    if
    :: role[h] == CANDIDATE -> reset_volatile(h)
    :: else
    fi;
    ok = true;
    if
    :: previous > 0 ->
       ok = (memory[h].entry[previous - 1] == sent[from_term].entry[previous - 1])
    :: else
    fi;
    if
    :: ok && memory[h].entry[previous] != sent[from_term].entry[previous] ->
       /* Conflicting entries are truncated; then the new one is appended. */
       for (k : previous .. MAX_LOG - 1) {
         memory[h].entry[k] = NONE
       }
       memory[h].entry[previous] = sent[from_term].entry[previous];
       memory[h].length = previous + 1
    :: else
    fi;
    if
    :: ok ->
       for (k : 0 .. previous) {
         /* Property log-matching: logs that agree on an entry agree on all before it. */
         assert(memory[h].entry[k] == sent[from_term].entry[k])
       }
       k = 0;
       if
       :: pending[h] < previous + 1 -> pending[h] = previous + 1
       :: else
       fi
#ifdef ACK_BEFORE_FSYNC
       ; acknowledge(h)
#endif
    :: else
    fi;
    ok = false
  }
}

/* Group commit: one fsync of all entries written so far. */
inline sync(h) {
  d_step {
    printf("host %d syncs\n", h);
    copy_log(disk[h], memory[h]);
    if
    :: role[h] == LEADER -> match[h].from[h] = memory[h].length
    :: else -> acknowledge(h)
    fi
  }
}

#ifdef COMMIT_OLDER_TERM
#define MAY_COUNT(h, index) true
#else
#define MAY_COUNT(h, index) (memory[h].entry[index] == term[h])
#endif

inline commit(h, index) {
  d_step {
    role[h] == LEADER && index < memory[h].length && MAY_COUNT(h, index) &&
    ((match[h].from[0] > index) + (match[h].from[1] > index) + (match[h].from[2] > index)) >= QUORUM ->
    printf("leader %d commits up to entry %d in term %d\n", h, index + 1, term[h]);
    for (k : 0 .. index) {
      /* Property accepted-entry-unique: no other entry is accepted at its index. */
      assert(accepted[k] == NONE || accepted[k] == memory[h].entry[k]);
      if
      :: accepted[k] == NONE ->
         accepted[k] = memory[h].entry[k];
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
#ifdef REACH_COMMIT
    ;
    /* Reachable entry-committed. */
    assert(false)
#endif
#ifdef REACH_COMMIT_BY_TWO_LEADERS
    ;
    /* Reachable committed-by-two-leaders. */
    assert(index == 0 || accepted[0] == accepted[1])
#endif
  }
}

inline crash(h) {
  d_step {
    printf("host %d crashes and restarts\n", h);
    reset_volatile(h);
#ifdef VOTE_NOT_DURABLE
    vote[h] = NONE;
#endif
#ifdef EMPTY_DISK_VOTES
    /* The disk is replaced, but the host keeps its identity as a voter. */
    term[h] = 0;
    vote[h] = NONE;
    disk[h].length = 0;
    for (k : 0 .. MAX_LOG - 1) {
      disk[h].entry[k] = NONE
    }
#endif
    copy_log(memory[h], disk[h])
  }
}

active [HOSTS] proctype host() {
  byte h = _pid;
end:
  do
  :: stand(h)
  :: grant_vote(h, 0)
  :: grant_vote(h, 1)
  :: grant_vote(h, 2)
  :: win(h)
  :: append_command(h)
  :: receive(h, 1, 0)
  :: receive(h, 2, 0)
  :: receive(h, 3, 0)
#if MAX_TERM > 3
  :: receive(h, 4, 0)
#endif
#if MAX_LOG > 1
  :: receive(h, 1, 1)
  :: receive(h, 2, 1)
  :: receive(h, 3, 1)
#if MAX_TERM > 3
  :: receive(h, 4, 1)
#endif
#endif
  :: sync(h)
  :: commit(h, 0)
#if MAX_LOG > 1
  :: commit(h, 1)
#endif
  :: crash(h)
  od
}
