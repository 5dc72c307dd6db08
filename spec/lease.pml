// Lease, claim, completion and cancellation of one item of a batch job. Workers
// crash; leaders change, and a replaced leader may continue without knowing it;
// messages are lost, delayed and reordered.
//
// A lease is identified by its fencing number. Leases are kept in the memory of a
// leader. The claim of a non-idempotent item, its release and its result are
// entries of the log, to which only the current leader can append.
//
// bound: 2 workers, 2 leaders, 2 leases, 4 requests, 2 messages each way at a time, 3 faults of any kind
// broken: release term claim first cancel
// flags: -DVECTORSZ=512

#define WORKERS 2
#define TERMS   2
#define LEASES  2
#define ASKS    4
#define FAULTS  3

#define NONE    0
#define DONE    1
#define FAILED  2
#define NOT_RUN 3

// The replicated state.
bool idempotent;
bool settled;
bool cancelled;
byte started;
byte commits;
byte term = 1;

// The volatile state of the leader of each term.
byte lease[TERMS + 1];
byte leaseWorker[TERMS + 1];
byte leaseAsk[TERMS + 1];
bool acked[TERMS + 1];
bool claiming[TERMS + 1];
byte result[TERMS + 1];
byte resultLease[TERMS + 1];
byte seenAsk[6];
byte seenLife[6];
byte fence;

// Workers.
byte life[WORKERS];
byte asked[WORKERS];
byte asks;
bool waiting[WORKERS];
byte held[WORKERS];
byte reported[WORKERS];
byte reportedLease[WORKERS];
byte seenTerm[WORKERS];
byte faults;
byte runs;

#define AT(t, w) ((t - 1) * WORKERS + w)

// Requests: worker, incarnation of the worker, request number, held lease, result,
// lease of the result, highest term seen, term of the addressed leader.
chan requests = [2] of { byte, byte, byte, byte, byte, byte, byte, byte };
// Responses: worker, incarnation of the worker, request number, term of the leader,
// granted lease, revoked lease.
chan responses = [2] of { byte, byte, byte, byte, byte, byte };

// Appends a result to the log. Only the first result of the item is recorded.
inline append(kind, number) {
  if
#ifdef BROKEN_first
  :: kind != NOT_RUN && !cancelled && !idempotent && started == number -> settled = true; commits++
  :: kind != NOT_RUN && !cancelled && idempotent -> settled = true; commits++
#else
#ifdef BROKEN_cancel
  :: settled -> skip
#else
  :: settled || cancelled -> skip
#endif
  :: !settled && !idempotent && started != number -> skip
  :: !settled && kind == NOT_RUN && (idempotent || started == number) -> started = 0
#ifdef BROKEN_cancel
  :: !settled && kind != NOT_RUN && (idempotent || started == number) ->
       settled = true;
       commits++;
       assert(!cancelled)
#else
  :: !settled && !cancelled && kind != NOT_RUN && (idempotent || started == number) ->
       settled = true;
       commits++
#endif
#endif
  :: else -> skip
  fi;
  assert(commits <= 1)
}

// Queues a result at a leader, unless a result is queued already.
inline queue(t, kind, number) {
  if
  :: result[t] == NONE -> result[t] = kind; resultLease[t] = number
  :: else -> skip
  fi
}

inline forget(t) {
  lease[t] = 0;
  acked[t] = false;
  claiming[t] = false
}

// Ends the lease of a lost worker. The item may have run.
inline lose(t) {
  if
  :: idempotent || claiming[t] -> skip
#ifdef BROKEN_release
  :: else -> queue(t, NOT_RUN, lease[t])
#else
  :: else -> queue(t, FAILED, lease[t])
#endif
  fi;
  forget(t)
}

// Compares the lease at the leader with the one that the worker lists. A worker
// that sends a request drops all responses to earlier requests, so it never
// received a lease that it has never listed.
inline reconcile(t, w, ask, holds, kind, number) {
  if
  :: lease[t] != 0 && leaseWorker[t] == w && !claiming[t] ->
     if
     :: lease[t] == holds || (kind != NONE && lease[t] == number) -> acked[t] = true
     :: else ->
        if
        :: acked[t] -> lose(t)
        :: else ->
           if
           :: idempotent -> skip
           :: else -> queue(t, NOT_RUN, lease[t])
           fi;
           forget(t)
        fi
     fi
  :: else -> skip
  fi
}

inline answer(t, w, l, ask, leased, revoked) {
  if
  :: len(responses) < 2 -> responses!w, l, ask, t, leased, revoked
  :: faults < FAULTS -> faults++
  :: len(responses) == 2 && faults == FAULTS -> skip
  fi
}

inline grant(t, w, l, ask) {
  fence++;
  lease[t] = fence;
  leaseWorker[t] = w;
  leaseAsk[t] = ask;
  acked[t] = false;
  if
  :: idempotent ->
     assert(t != term || !cancelled);
     answer(t, w, l, ask, fence, 0)
  :: else ->
     claiming[t] = true
#ifdef BROKEN_claim
     ;
     claiming[t] = false;
     answer(t, w, l, ask, fence, 0)
#endif
  fi
}

// A leader handles a request. A replaced leader may miss the latest log entries,
// and may therefore grant a lease that the log rules out.
inline handle(t, w, l, ask, holds, kind, number, seen) {
  if
#ifdef BROKEN_term
  :: l < seenLife[AT(t, w)] || (l == seenLife[AT(t, w)] && ask <= seenAsk[AT(t, w)]) -> skip
#else
  :: seen > t || l < seenLife[AT(t, w)] || (l == seenLife[AT(t, w)] && ask <= seenAsk[AT(t, w)]) -> skip
#endif
  :: else ->
     if
     :: l > seenLife[AT(t, w)] && lease[t] != 0 && leaseWorker[t] == w -> lose(t)
     :: else -> skip
     fi;
     seenLife[AT(t, w)] = l;
     seenAsk[AT(t, w)] = ask;
     if
     :: kind != NONE -> queue(t, kind, number)
     :: else -> skip
     fi;
     reconcile(t, w, ask, holds, kind, number);
     if
     :: holds != 0 && lease[t] != holds && (t != term || settled || cancelled || lease[t] != 0 || (!idempotent && started != holds)) ->
        answer(t, w, l, ask, 0, holds)
     :: holds != 0 && lease[t] != holds && !(settled || cancelled || lease[t] != 0 || (!idempotent && started != holds)) ->
        lease[t] = holds;
        leaseWorker[t] = w;
        acked[t] = true;
        answer(t, w, l, ask, 0, 0)
     :: holds == 0 && kind == NONE && lease[t] == 0 && result[t] == NONE && fence < LEASES && (t != term || (!settled && !cancelled && started == 0)) ->
        grant(t, w, l, ask)
     :: else -> answer(t, w, l, ask, 0, 0)
     fi
  fi
}

// Commits the claim of the current leader. The lease is sent to the worker only if
// the request that it responds to is still the worker's latest.
inline commitClaim(t, w) {
  claiming[t] = false;
  if
  :: settled || cancelled || started != 0 -> forget(t)
  :: else ->
     started = lease[t];
     if
     :: seenAsk[AT(t, w)] == leaseAsk[t] -> answer(t, w, seenLife[AT(t, w)], leaseAsk[t], lease[t], 0)
     :: else -> queue(t, NOT_RUN, lease[t]); forget(t)
     fi
  fi
}

inline receive(w, ask, t, leased, revoked) {
  waiting[w] = false;
  if
#ifndef BROKEN_term
  :: t < seenTerm[w] -> skip
#endif
  :: else ->
     seenTerm[w] = t;
     if
     :: revoked != 0 && held[w] == revoked -> held[w] = 0
     :: else -> skip
     fi;
     if
     :: leased != 0 ->
        held[w] = leased;
        runs++;
        assert(idempotent || runs <= 1)
     :: else -> skip
     fi
  fi
}

// Clears the temporary variables after each step, so that they do not multiply the
// states.
inline clearScratch() {
  w = 0; l = 0; ask = 0; t = 0; holds = 0; kind = 0; number = 0; seen = 0; leased = 0; revoked = 0
}

active proctype system() {
  byte w, l, ask, t, holds, kind, number, seen, leased, revoked;

  if
  :: idempotent = true
  :: idempotent = false
  fi;

end:
  do
  // A worker sends a request to the current or to a replaced leader.
  :: atomic {
       select(w : 0 .. 1);
       select(t : 1 .. 2);
       if
       :: t <= term && !waiting[w] && asks < ASKS && len(requests) < 2 ->
          asked[w]++;
          asks++;
          waiting[w] = true;
          requests!w, life[w], asked[w], held[w], reported[w], reportedLease[w], seenTerm[w], t
       :: else -> skip
       fi;
       clearScratch()
     }
  // A request arrives, in any order. A request that arrives after a later one of the
  // same worker is ignored, which models its loss.
  :: atomic { len(requests) > 0 ->
       if
       :: requests?w, l, ask, holds, kind, number, seen, t -> handle(t, w, l, ask, holds, kind, number, seen)
       :: requests?w, l, ask, holds, kind, number, seen, t -> requests!w, l, ask, holds, kind, number, seen, t
       fi;
       clearScratch()
     }
  // A response arrives, in any order. A lost response is modelled as never sent.
  :: atomic { len(responses) > 0 ->
       if
       :: responses?w, l, ask, t, leased, revoked ->
          if
          :: waiting[w] && l == life[w] && ask == asked[w] -> receive(w, ask, t, leased, revoked)
          :: else -> skip
          fi
       :: responses?w, l, ask, t, leased, revoked -> responses!w, l, ask, t, leased, revoked
       fi;
       clearScratch()
     }
  // A worker stops waiting for a response, completes an item, lets its lease expire
  // or crashes.
  :: atomic {
       select(w : 0 .. 1);
       if
       :: waiting[w] && faults < FAULTS -> faults++; waiting[w] = false
       :: held[w] != 0 -> reported[w] = DONE; reportedLease[w] = held[w]; held[w] = 0
       :: held[w] != 0 && idempotent && faults < FAULTS -> faults++; held[w] = 0
       :: held[w] != 0 && !idempotent && faults < FAULTS -> faults++; reported[w] = FAILED; reportedLease[w] = held[w]; held[w] = 0
       :: faults < FAULTS ->
          faults++;
          life[w]++;
          waiting[w] = false;
          held[w] = 0;
          reported[w] = NONE;
          reportedLease[w] = 0
       :: else -> skip
       fi;
       clearScratch()
     }
  // A leader revokes the lease of a worker that sends no requests.
  :: atomic {
       select(t : 1 .. 2);
       if
       :: t <= term && lease[t] != 0 && !claiming[t] && faults < FAULTS -> faults++; lose(t)
       :: else -> skip
       fi;
       clearScratch()
     }
  // The proposals of the current leader are committed.
  :: atomic { claiming[term] -> w = leaseWorker[term]; t = term; commitClaim(t, w); clearScratch() }
  :: atomic { result[term] != NONE ->
       append(result[term], resultLease[term]);
       if
       :: resultLease[term] == lease[term] -> forget(term)
       :: else -> skip
       fi;
       result[term] = NONE;
       resultLease[term] = 0
     }
  // A new leader records the failure of a claimed item that no worker reports.
  :: atomic { !idempotent && started != 0 && lease[term] == 0 && !settled && result[term] == NONE ->
       t = term;
       queue(t, FAILED, started);
       clearScratch()
     }
  :: atomic { term < TERMS && faults < FAULTS -> faults++; term++ }
  :: atomic { !settled && !cancelled && faults < FAULTS -> faults++; cancelled = true }
  od
}
