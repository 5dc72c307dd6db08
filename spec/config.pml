/*
Distribution of the configuration: the revision in force at a daemon never
reverts.

The model has two replicas of a group; a majority outside the model always
accepts changes. A replica applies accepted revisions with any delay. It confirms
its state with a quorum: the request records the revision that is accepted when
it is sent, and completes at any time after the replica has applied that
revision. A partitioned replica is one that takes no step, for any length of
time. A daemon subscribes to any replica, unsubscribes at any time, and loses its
state in a restart. Updates in transit may be lost, duplicated and reordered.

Checked: the revision at the daemon never decreases while it runs, and the daemon
becomes ready only with every revision that was accepted before its start. Hence
it never serves an older revision than before a restart.
*/
// bound: 2 replicas, 2 changes, 1 daemon, 2 updates on the way, cuts, restarts and moves without limit
// broken: EARLY_CONFIRMATION
// broken: NO_QUORUM
// broken: ANY_UPDATE
// flags: -DMEMLIM=4000

#define REPLICAS 2
#define CHANGES 2
#define NONE 2

/* Stages of a subscription: its request for a confirmation by the quorum. */
#define WAITING 0   /* no request was sent since the subscription */
#define ASKED 1     /* a request was sent since the subscription */
#define SERVED 2    /* that request was confirmed */

byte accepted;
byte applied[REPLICAS];
bool questionOpen[REPLICAS];
byte questionIndex[REPLICAS];
bool confirmed[REPLICAS];

byte attached = NONE;
byte stage;
byte sent;

byte revision;
byte startedAt;

/* Updates in transit: base revision, revision, whether confirmed. */
chan updates = [2] of { byte, byte, bool };

inline send(r) {
  updates!!sent, applied[r], (stage == SERVED && confirmed[r]);
  if
  :: sent < applied[r] -> sent = applied[r]
  :: else
  fi
}

inline subscribe(r) {
  attached = r;
  sent = revision;
  stage = WAITING;
#ifdef BROKEN_EARLY_CONFIRMATION
  if
  :: confirmed[r] -> stage = SERVED
  :: else
  fi
#endif
}

inline handle(base, next, isConfirmed) {
  if
#ifdef BROKEN_ANY_UPDATE
  :: true ->
#else
  :: next > revision && base <= revision ->
#endif
    assert(next >= revision);
    revision = next
#ifndef BROKEN_ANY_UPDATE
  :: next > revision && base > revision && attached != NONE -> subscribe(attached)
  :: next > revision && base > revision && attached == NONE
  :: next <= revision
#endif
  fi;
  if
  :: isConfirmed && next >= revision && base <= revision ->
    assert(revision >= startedAt)
  :: else
  fi
}

inline learn(r) {
  applied[r] < accepted -> applied[r]++
}

inline ask(r) {
  !questionOpen[r] ->
    questionOpen[r] = true;
    questionIndex[r] = accepted;
    if
    :: attached == r && stage == WAITING -> stage = ASKED
    :: else
    fi
}

inline answer(r) {
#ifdef BROKEN_NO_QUORUM
  questionOpen[r] ->
#else
  questionOpen[r] && applied[r] >= questionIndex[r] ->
#endif
    questionOpen[r] = false;
    confirmed[r] = true;
    questionIndex[r] = 0;
    if
    :: attached == r && stage == ASKED -> stage = SERVED
    :: else
    fi
}

active proctype system() {
  byte base, next, r;
  bool isConfirmed;
  do
  :: atomic { accepted < CHANGES -> accepted++ }
  :: atomic { learn(0) }
  :: atomic { learn(1) }
  :: atomic { ask(0) }
  :: atomic { ask(1) }
  :: atomic { answer(0) }
  :: atomic { answer(1) }
  /* A request for a confirmation fails, or a confirmation expires. */
  :: atomic { questionOpen[0] -> questionOpen[0] = false; questionIndex[0] = 0 }
  :: atomic { questionOpen[1] -> questionOpen[1] = false; questionIndex[1] = 0 }
  :: atomic { confirmed[0] -> confirmed[0] = false }
  :: atomic { confirmed[1] -> confirmed[1] = false }
  /* The daemon subscribes to a replica, unsubscribes or restarts. */
  :: atomic { select(r : 0 .. 1); subscribe(r); r = 0 }
  :: atomic { attached != NONE -> attached = NONE; stage = WAITING; sent = 0 }
  :: atomic {
       do
       :: nempty(updates) -> updates?base, next, isConfirmed
       :: empty(updates) -> break
       od;
       base = 0; next = 0; isConfirmed = false;
       attached = NONE; stage = WAITING; sent = 0;
       revision = 0;
       startedAt = accepted
     }
  /* An update is sent, delivered in any order, duplicated or lost. */
  :: atomic { attached != NONE && nfull(updates) -> send(attached) }
  :: atomic {
       updates?base, next, isConfirmed ->
       if
       :: nempty(updates) -> updates!base, next, isConfirmed; updates?base, next, isConfirmed
       :: true
       fi;
       if
       :: handle(base, next, isConfirmed)
       :: handle(base, next, isConfirmed); updates!!base, next, isConfirmed
       :: true
       fi;
       base = 0; next = 0; isConfirmed = false
     }
  od
}
