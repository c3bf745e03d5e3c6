/*
 * Orders: claim, dispatch, outcome, release and resend (design 3.4, 6.6).
 *
 * The model checks that one idempotency key is never sent to a backend server
 * twice, and that a caller never receives `not_run` for an order that ran or still
 * runs, when the caller resends to another entry host, replies are lost at every
 * step, entry hosts crash between any two steps, live holders are presumed dead
 * and leaders change.
 *
 * The ledger is one durable record, changed by one command at a time (the result
 * of replication.pml). A proposed command stays in flight until it is applied or
 * lost with its leader, even if its proposer has crashed or proposed the next
 * one. The caller receives only the reply to its latest attempt.
 *
 * The model adds rules that the design leaves open: a repeated claim or dispatch
 * with the current token gets the same result again; a release is final, so it
 * records the outcome `not_run`; an entry host without a result from the ledger
 * replies `outcome_unknown`.
 *
 * Mutants: DISPATCH_WITHOUT_TOKEN, TAKEOVER_AFTER_DISPATCH, SEND_BEFORE_DISPATCH,
 * SEND_WITHOUT_ANSWER, NOT_RUN_AFTER_LOST_ANSWER, NOT_DURABLE=CLAIM, =DISPATCH or
 * =RELEASE (the leader answers such a command before a quorum has it).
 * Rejected design variants: RELEASE_FREES (a release deletes the record) and
 * EARLY_NOT_RUN (a refusal before a ledger request says `not_run`).
 */

#ifndef MAX_ATTEMPTS
#define MAX_ATTEMPTS 2
#endif
#ifndef SLOTS
#define SLOTS 2 /* commands in flight at once */
#endif
#ifndef MAX_TOKENS
#define MAX_TOKENS 3
#endif

#define HOSTS 2
#define NONE 0

/* Commands, and the results that an entry host can get. */
#define CLAIM 1
#define TAKEOVER 2
#define DISPATCH 3
#define OUTCOME 4
#define RELEASE 5

/* States of the record. */
#define FREE 0
#define CLAIMED 1
#define DISPATCHED 2
#define FINISHED 3

/* Kinds of outcome, of answers of the backend server and of answers to callers. */
#define DONE 1
#define NOT_RUN 2
#define UNKNOWN 3

/* States of an entry host's work on the order. */
#define IDLE 0
#define CLAIMING 1    /* waits for the result of its claim or takeover */
#define OWNER 2       /* holds the claim */
#define DISPATCHING 3
#define READY 4       /* the dispatch is recorded; nothing is sent yet */
#define SENT 5
#define RECORDING 6
#define RELEASING 7
#define ATTACHED 8    /* another token holds the claim */
#define ASKING 9      /* has the request, has proposed nothing yet */

/* The record in the replicated log. */
byte state;
byte token;
byte outcome;
byte next_token = 1;

/* Commands in flight. */
byte command[SLOTS];
byte command_token[SLOTS];
byte command_outcome[SLOTS];
byte waiting[SLOTS]; /* host + 1 that waits for the result */

/* Entry hosts; all of it is lost in a crash. */
byte work[HOSTS];
byte own_token[HOSTS];
byte own_outcome[HOSTS];
byte attempt[HOSTS]; /* attempt of the caller that is answered */

/* The backend server's messages and answers, per entry host. */
bool request[HOSTS];
byte answer[HOSTS];

/* Caller. */
byte last_attempt;
bool listening;       /* waits for the answer to its last attempt */
bool finished;        /* has received `done` */

/* Observed by the properties. */
byte sends;
byte runs;
bool told_not_run;    /* has received `not_run` and has not resent since */
byte takeovers;

#ifdef NOT_DURABLE
/* The record before a command that only the leader holds. */
byte old_state;
byte old_token;
byte old_outcome;
bool unsafe;
#endif

/* Scratch variables, 0 outside one indivisible step. */
byte k;
byte result;

/* --- Caller --- */

inline send_order(to) {
  d_step {
    last_attempt < MAX_ATTEMPTS && !finished && !told_not_run &&
    (work[to] == IDLE || attempt[to] > 0) ->
    last_attempt++;
    listening = true;
    printf("caller sends attempt %d to host %d\n", last_attempt, to);
    attempt[to] = last_attempt; /* attaches to a running order of this key */
    if
    :: work[to] == IDLE -> work[to] = ASKING
    :: else
    fi
  }
}

/* The reply reaches the caller if it still waits for this attempt. */
inline reply(h, kind) {
  if
  :: attempt[h] == last_attempt && listening ->
     listening = false;
     if
     :: kind == DONE ->
        /* Property done-is-true. */
        assert(runs == 1);
        finished = true
#ifdef REACH_DONE
        ;
        /* Reachable done. */
        assert(false)
#endif
#ifdef REACH_DONE_BY_RESEND
        ;
        /* Reachable done-by-resend: through a host that did not dispatch it. */
        assert(last_attempt == 1 || own_token[h] == token)
#endif
#ifdef REACH_DONE_AFTER_TAKEOVER
        ;
        /* Reachable done-after-takeover. */
        assert(takeovers == 0)
#endif
     :: kind == NOT_RUN ->
        /* Property not-run-is-true: the order has not run. */
        assert(runs == 0);
        told_not_run = true
#ifdef REACH_NOT_RUN
        ;
        /* Reachable not-run. */
        assert(false)
#endif
     :: else
     fi
  :: else
  fi;
  clear_work(h)
}

inline clear_work(h) {
  work[h] = IDLE;
  own_token[h] = NONE;
  own_outcome[h] = NONE;
  attempt[h] = 0;
  answer[h] = NONE;
  stop_waiting(h)
}

inline stop_waiting(h) {
  for (k : 0 .. SLOTS - 1) {
    if
    :: waiting[k] == h + 1 -> waiting[k] = NONE
    :: else
    fi
  }
  k = 0
}

/* --- Entry host --- */

#if SLOTS > 2
#define FREE_SLOT (command[0] == NONE || command[1] == NONE || command[2] == NONE)
#define FIRST_FREE (command[0] == NONE -> 0 : (command[1] == NONE -> 1 : 2))
#else
#define FREE_SLOT (command[0] == NONE || command[1] == NONE)
#define FIRST_FREE (command[0] == NONE -> 0 : 1)
#endif

inline propose(h, kind, kind_outcome) {
  stop_waiting(h);
  k = FIRST_FREE;
  command[k] = kind;
  command_token[k] = own_token[h];
  command_outcome[k] = kind_outcome;
  waiting[k] = h + 1;
  k = 0
}

inline claim(h) {
  d_step {
    work[h] == ASKING && FREE_SLOT && next_token <= MAX_TOKENS ->
    printf("host %d proposes a claim with token %d\n", h, next_token);
    own_token[h] = next_token;
    next_token++;
    propose(h, CLAIM, NONE);
    work[h] = CLAIMING
  }
}

/* Refusal: overload, no quorum, an expired configuration lease or a shutdown. */
inline refuse_early(h) {
  d_step {
    work[h] == ASKING ->
#ifdef EARLY_NOT_RUN
    printf("host %d refuses with not_run\n", h);
    reply(h, NOT_RUN)
#else
    printf("host %d refuses with outcome_unknown\n", h);
    reply(h, UNKNOWN)
#endif
  }
}

/* The holder is presumed dead, correctly or not. */
inline take_over(h) {
  d_step {
    work[h] == ATTACHED && FREE_SLOT && next_token <= MAX_TOKENS ->
    printf("host %d proposes a takeover with token %d\n", h, next_token);
    own_token[h] = next_token;
    next_token++;
    propose(h, TAKEOVER, NONE);
    work[h] = CLAIMING
  }
}

inline dispatch(h) {
  d_step {
    work[h] == OWNER && FREE_SLOT ->
    printf("host %d proposes the dispatch with token %d\n", h, own_token[h]);
    propose(h, DISPATCH, NONE);
#ifdef SEND_BEFORE_DISPATCH
    work[h] = READY
#else
    work[h] = DISPATCHING
#endif
  }
}

inline release(h) {
  d_step {
    work[h] == OWNER && FREE_SLOT ->
    printf("host %d proposes a release of token %d\n", h, own_token[h]);
    propose(h, RELEASE, NONE);
    work[h] = RELEASING
  }
}

/* The reply to a proposal is lost: propose the same command again. */
inline repeat(h) {
  d_step {
    FREE_SLOT && (work[h] == DISPATCHING || work[h] == RECORDING) ->
    printf("host %d repeats its proposal\n", h);
    if
    :: work[h] == DISPATCHING -> propose(h, DISPATCH, NONE)
    :: else -> propose(h, OUTCOME, own_outcome[h])
    fi
  }
}

/* The reply timed out; the host's own state shows what it has sent. */
inline give_up(h) {
  d_step {
    work[h] == CLAIMING || work[h] == DISPATCHING || work[h] == RELEASING ||
    work[h] == ATTACHED || work[h] == RECORDING ->
    printf("host %d gives up waiting\n", h);
#ifdef SEND_WITHOUT_ANSWER
    if
    :: work[h] == DISPATCHING -> work[h] = READY
    :: else ->
#endif
    if
    :: work[h] == RECORDING -> reply(h, own_outcome[h])
    :: else -> reply(h, UNKNOWN)
    fi
#ifdef SEND_WITHOUT_ANSWER
    fi
#endif
  }
}

inline send_to_server(h) {
  d_step {
    work[h] == READY ->
    printf("host %d sends the order to the backend server\n", h);
    sends++;
    /* Property one-dispatch: a key is sent at most once. */
    assert(sends <= 1);
    request[h] = true;
    work[h] = SENT
  }
}

/* The connection was refused, so nothing was sent. */
inline fail_to_connect(h) {
  d_step {
    work[h] == READY && FREE_SLOT ->
    printf("host %d can not connect to the backend server\n", h);
    own_outcome[h] = NOT_RUN;
    propose(h, OUTCOME, NOT_RUN);
    work[h] = RECORDING
  }
}

inline receive_answer(h) {
  d_step {
    work[h] == SENT && answer[h] != NONE && FREE_SLOT ->
    printf("host %d receives the server's answer %d\n", h, answer[h]);
    own_outcome[h] = answer[h];
    answer[h] = NONE;
    propose(h, OUTCOME, own_outcome[h]);
    work[h] = RECORDING
  }
}

inline miss_answer(h) {
  d_step {
    work[h] == SENT && FREE_SLOT ->
    printf("host %d gets no answer from the server\n", h);
    answer[h] = NONE;
#ifdef NOT_RUN_AFTER_LOST_ANSWER
    own_outcome[h] = NOT_RUN;
#else
    own_outcome[h] = UNKNOWN;
#endif
    propose(h, OUTCOME, own_outcome[h]);
    work[h] = RECORDING
  }
}

inline crash(h) {
  d_step {
    work[h] != IDLE ->
    printf("host %d crashes and restarts\n", h);
    clear_work(h)
  }
}

/* --- Backend server --- */

inline run_order(h) {
  d_step {
    request[h] ->
    printf("the server runs the order of host %d\n", h);
    request[h] = false;
    runs++;
    /* Property at-most-once. */
    assert(runs <= 1);
    /* Property not-run-is-true: nor does it run after the caller received not_run. */
    assert(!told_not_run);
    if
    :: work[h] == SENT -> answer[h] = DONE
    :: else
    fi
  }
}

inline refuse_order(h) {
  d_step {
    request[h] ->
    printf("the server refuses the order of host %d\n", h);
    request[h] = false;
    if
    :: work[h] == SENT -> answer[h] = NOT_RUN
    :: else
    fi
  }
}

/* --- Ledger --- */

#ifdef DISPATCH_WITHOUT_TOKEN
#define HOLDS_TOKEN(s) true
#else
#define HOLDS_TOKEN(s) (command_token[s] == token)
#endif
#ifdef TAKEOVER_AFTER_DISPATCH
#define CAN_TAKE_OVER (state == CLAIMED || state == DISPATCHED)
#else
#define CAN_TAKE_OVER (state == CLAIMED)
#endif

/* Sets `result` to true if the command is accepted. */
inline apply_command(s) {
  result = false;
  if
  :: command[s] == CLAIM || command[s] == TAKEOVER ->
     if
     :: state == FREE || (command[s] == TAKEOVER && CAN_TAKE_OVER) ->
        if
        :: state != FREE -> takeovers = 1
        :: else
        fi;
        state = CLAIMED;
        token = command_token[s];
        result = true
     :: else -> result = (state == CLAIMED && command_token[s] == token)
     fi
  :: command[s] == DISPATCH ->
     if
     :: (state == CLAIMED || state == DISPATCHED) && HOLDS_TOKEN(s) ->
        state = DISPATCHED;
        result = true
     :: else
     fi
  :: command[s] == OUTCOME ->
     if
     :: state == DISPATCHED && command_token[s] == token ->
        state = FINISHED;
        outcome = command_outcome[s];
        result = true
     :: else
     fi
  :: command[s] == RELEASE ->
     if
     :: state == CLAIMED && command_token[s] == token ->
#ifdef RELEASE_FREES
        state = FREE;
        token = NONE;
#else
        state = FINISHED;
        outcome = NOT_RUN;
#endif
        result = true
     :: else
     fi
  fi
}

/* Handles the result of a host's command. */
inline take_result(h) {
  if
  :: work[h] == CLAIMING ->
     if
     :: result -> work[h] = OWNER
     :: !result && state == FINISHED -> reply(h, outcome)
     :: !result && state == DISPATCHED -> reply(h, UNKNOWN)
     :: else -> work[h] = ATTACHED; own_token[h] = NONE
     fi
  :: work[h] == DISPATCHING ->
     if
     :: result -> work[h] = READY
     :: else ->
        /* Property claim-kept: only a takeover ends a claim that was answered. */
        assert(takeovers > 0);
        reply(h, UNKNOWN)
     fi
  :: work[h] == RECORDING -> reply(h, own_outcome[h])
  :: work[h] == RELEASING ->
     if
     :: result -> reply(h, NOT_RUN)
     :: else -> reply(h, UNKNOWN)
     fi
  :: else
  fi
}

inline clear_slot(s) {
  command[s] = NONE;
  command_token[s] = NONE;
  command_outcome[s] = NONE;
  waiting[s] = NONE
}

inline save_record(s) {
#ifdef NOT_DURABLE
  old_state = state;
  old_token = token;
  old_outcome = outcome;
  unsafe = (command[s] == NOT_DURABLE)
#else
  skip
#endif
}

inline commit_and_answer(s) {
  d_step {
    command[s] != NONE && waiting[s] != NONE ->
    printf("command %d with token %d commits\n", command[s], command_token[s]);
    save_record(s);
    apply_command(s);
    take_result((waiting[s] - 1));
    result = 0;
    clear_slot(s)
  }
}

inline commit_and_lose_answer(s) {
  d_step {
    command[s] != NONE ->
    printf("command %d with token %d commits, its answer is lost\n", command[s],
           command_token[s]);
    save_record(s);
    apply_command(s);
    result = 0;
    clear_slot(s)
  }
}

/* The leader changes before a quorum holds the command. */
inline lose_command(s) {
  d_step {
    command[s] != NONE ->
    printf("command %d with token %d is lost\n", command[s], command_token[s]);
    clear_slot(s)
  }
}

#ifdef NOT_DURABLE
inline change_leader() {
  d_step {
    unsafe ->
    printf("the new leader does not have the last command\n");
    state = old_state;
    token = old_token;
    outcome = old_outcome;
    unsafe = false
  }
}
#endif

active proctype system() {
end:
  do
  :: send_order(0)
  :: claim(0)
  :: refuse_early(0)
  :: take_over(0)
  :: dispatch(0)
  :: release(0)
  :: repeat(0)
  :: give_up(0)
  :: send_to_server(0)
  :: fail_to_connect(0)
  :: receive_answer(0)
  :: miss_answer(0)
  :: crash(0)
  :: run_order(0)
  :: refuse_order(0)
  :: send_order(1)
  :: claim(1)
  :: refuse_early(1)
  :: take_over(1)
  :: dispatch(1)
  :: release(1)
  :: repeat(1)
  :: give_up(1)
  :: send_to_server(1)
  :: fail_to_connect(1)
  :: receive_answer(1)
  :: miss_answer(1)
  :: crash(1)
  :: run_order(1)
  :: refuse_order(1)
  :: commit_and_answer(0)
  :: commit_and_lose_answer(0)
  :: lose_command(0)
  :: commit_and_answer(1)
  :: commit_and_lose_answer(1)
  :: lose_command(1)
#if SLOTS > 2
  :: commit_and_answer(2)
  :: commit_and_lose_answer(2)
  :: lose_command(2)
#endif
#ifdef NOT_DURABLE
  :: change_leader()
#endif
  od
}
